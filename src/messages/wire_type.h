/**
 * @file wire_type.h
 * Concepts for the external interfaces of forwarding: the format of requests and calls, and the
 * store that holds the configuration, the runners and the terms.
 */
#pragma once

#include "net/http_client.h"
#include "placement/stream_origin.h"
#include "quarantine/quarantine_type.h"
#include "routing/config_type.h"
#include "runners/send_type.h"

#include <concepts>
#include <memory>
#include <set>

namespace dunehook {

/** Largest body of an engine's answer to a side call, such as a reservation or an order. */
inline constexpr std::uint64_t kMaxSideAnswerBytes = 16384;

/** An order to an engine to change its role. */
struct role_order
{
  std::string mRunnerName;                ///< Id of the runner's incarnation.
  engine_role mRole = engine_role::eNone; ///< New role.
  std::string mHolder;                    ///< Daemon that gives the order.
  std::uint64_t mTerm = 0;                ///< The holder's term: the fencing token of the order.
  std::uint64_t mAfterOrders = 0;         ///< Orders that the runner has accepted so far, as known.
};

/** Stored records of the software that began streams. */
struct origin_reading
{
  std::vector<stream_origin> mOrigins; ///< The records, the oldest first.
  store_mark mNext;                    ///< Position of the next one.
};

/** Reads and writes the heads of requests and answers, and the auxiliary calls to engines. */
template<typename T>
concept wire_format = requires(const http::fields& aHead,
                               http::fields& aOut,
                               const send_plan& aPlan,
                               const std::string& aText,
                               const role_order& aOrder,
                               const http_answer& aAnswer)
{
  // Request heads: their metadata, and which header fields may be forwarded.
  {
    T::ReadRequest(aHead)
    } -> std::same_as<request_facts>;
  {
    T::IsOwnHeader(std::string_view{})
    } -> std::same_as<bool>;
  {
    T::IsFixedHeader(std::string_view{})
    } -> std::same_as<bool>;
  T::WritePlan(aPlan, aOut);
  T::WriteRefusal(aText, duration{}, aOut);
  // Answer heads.
  {
    T::ReadAnswer(aHead, 200U)
    } -> std::same_as<answer_facts>;
  // What the runner reports about itself in the answer to an auxiliary call.
  {
    T::ReadNotice(aAnswer)
    } -> std::same_as<runner_notice>;
  {
    T::ReadLimit(aAnswer)
    } -> std::same_as<named_limit>;
  // Auxiliary calls to engines.
  {
    T::ReserveCall(1U, duration{})
    } -> std::same_as<http_call>;
  {
    T::ReadReservation(aText)
    } -> std::same_as<result<reservation>>;
  {
    T::ReleaseCall(reservation{})
    } -> std::same_as<http_call>;
  {
    T::ReadPrefill(aText)
    } -> std::same_as<result<prefill_result>>;
  {
    T::FreePrefillCall(prefill_result{})
    } -> std::same_as<http_call>;
  {
    T::OrderCall(aOrder)
    } -> std::same_as<http_call>;
};

/** A term that a daemon holds, or held. */
struct term_record
{
  std::uint64_t mTerm = 0; ///< Rises with each holder, and if an older store is restored.
  std::string mHolder;     ///< Name of the daemon that holds it; empty if there's none.

  auto operator<=>(const term_record&) const = default;
};

/** A configuration and the position that it was read at. */
struct config_reading
{
  std::optional<routing_config> mConfig;    ///< The newest; empty if there's none.
  std::shared_ptr<const std::string> mText; ///< mConfig as stored, to pass on.
  store_mark mNext;                         ///< Position to wait at for the next.
  bool mMore = false;                       ///< Newer ones exist already.
};

/** The operations of the store that forwarding needs. */
template<typename T>
concept control_store = requires(T& aStore,
                                 const store_mark& aFrom,
                                 std::uint64_t aAt,
                                 duration aWait,
                                 const std::string& aHolder,
                                 const quarantine_record& aRecord,
                                 const std::vector<stream_origin>& aOrigins)
{
  // Reads the newest configuration. The answer must begin within the given time.
  {
    aStore.ReadConfig(aWait)
    } -> std::same_as<asio::awaitable<result<config_reading>>>;
  // Waits for a configuration after a position and returns the newest; eRetentionPassed if the
  // store no longer has that position, or was restored from an older copy since.
  {
    aStore.AwaitConfig(aFrom, aWait)
    } -> std::same_as<asio::awaitable<result<config_reading>>>;
  // Makes ReadConfig() or AwaitConfig() fail unless its answer has begun. Returns whether it does.
  {
    aStore.StopWaiting()
    } -> std::same_as<bool>;
  {
    aStore.ReadRunners()
    } -> std::same_as<asio::awaitable<result<runner_listing>>>;
  // Reads the newest term, without a holder if there's none. Its number is above all earlier ones,
  // even those that the store has lost.
  {
    aStore.ReadTerm()
    } -> std::same_as<asio::awaitable<result<term_record>>>;
  // Acquires the term after @p aAt; eVersionConflict if another daemon was first.
  {
    aStore.TakeTerm(aAt, aHolder)
    } -> std::same_as<asio::awaitable<result<term_record>>>;
  // Reads all quarantined requests, including those whose quarantine is over.
  {
    aStore.ReadQuarantines()
    } -> std::same_as<asio::awaitable<result<std::vector<quarantine_record>>>>;
  // Stores a quarantine; the newest record of a request counts.
  {
    aStore.WriteQuarantine(aRecord)
    } -> std::same_as<asio::awaitable<result<void>>>;
  {
    aStore.RemoveQuarantine(aRecord.mRequest)
    } -> std::same_as<asio::awaitable<result<void>>>;
  // Returns where the list of runners ends in the store; eRetentionPassed if the store no longer
  // has the position, or was restored from an older copy since.
  {
    aStore.FindRunnersEnd(aFrom)
    } -> std::same_as<asio::awaitable<result<store_mark>>>;
  // Reads the marks of services.
  {
    aStore.ReadSoftwareMarks()
    } -> std::same_as<asio::awaitable<result<software_marks>>>;
  // Marks a service: its only software, or none if it has had several.
  {
    aStore.WriteSoftwareMark(service_key{}, software_id{})
    } -> std::same_as<asio::awaitable<result<void>>>;
  // Stores which software began streams.
  {
    aStore.AppendOrigins(aOrigins)
    } -> std::same_as<asio::awaitable<result<void>>>;
  // Reads what was stored so from a position on; without one, the newest.
  {
    aStore.ReadOrigins(std::optional<store_mark>{})
    } -> std::same_as<asio::awaitable<result<origin_reading>>>;
  // Decodes a configuration from its text, as another daemon passed it on.
  {
    T::DecodeText(std::string_view{})
    } -> std::same_as<result<routing_config>>;
  // Number of runner entries so far that could not be read.
  {
    aStore.UnreadableEntries()
    } -> std::same_as<std::uint64_t>;
  // Bytes received so far, including those of incomplete answers.
  {
    aStore.BytesIn()
    } -> std::same_as<std::uint64_t>;
};

} // namespace dunehook
