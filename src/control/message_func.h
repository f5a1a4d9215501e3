/**
 * @file message_func.h
 * JSON encoding and decoding of the messages between a frontend and the owner of a cell.
 */
#pragma once

#include "decide/event_type.h"
#include "decide/order_type.h"
#include "net/net_type.h"

#include <nlohmann/json.hpp>

namespace dunehook {

/** An order with the address of its engine, which the frontend's host list may not have yet. */
struct addressed_order
{
  decide_order mOrder; ///< The order.
  endpoint mAddress;   ///< Its engine's address; empty for refusals.
};

/**
 * @return the event as JSON. The targets of a priority class aren't sent: the owner has them in its
 * fold.
 * @pre it's an event that frontends send.
 */
nlohmann::json
EventToJson(const decide_event& aEvent);

/** @return the event, or eBadRequest. */
result<decide_event>
EventFromJson(const nlohmann::json& aJson);

/** @return the order as JSON. */
nlohmann::json
OrderToJson(const addressed_order& aOrder);

/** @return the order, or eBadRequest. */
result<addressed_order>
OrderFromJson(const nlohmann::json& aJson);

/** @return the attempt an order is for. */
attempt_id
AttemptOf(const decide_order& aOrder);

/** @return the attempt an event is about, or a null id. */
attempt_id
AttemptOf(const decide_event& aEvent);

/** @return the engine an order is for, or a null id. */
engine_id
EngineOf(const decide_order& aOrder);

} // namespace dunehook
