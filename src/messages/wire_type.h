/**
 * @file wire_type.h
 * The concepts that the outside world meets forwarding through: the format of requests and calls,
 * and the store that holds the configuration, the runners and the terms.
 */
#pragma once

#include "net/http_client.h"
#include "quarantine/quarantine_type.h"
#include "routing/config_type.h"
#include "runners/send_type.h"

#include <concepts>
#include <memory>

namespace dunehook {

/** An order to an engine to take another role. */
struct role_order
{
  std::string mRunnerName;                ///< Id of the runner's life.
  engine_role mRole = engine_role::eNone; ///< Role it shall take.
  std::string mHolder;                    ///< Daemon that gives the order.
  std::uint64_t mTerm = 0;                ///< The holder's term: the order's fence.
  std::uint64_t mAfterOrders = 0;         ///< Orders the runner has taken so far, as known.
};

/** Reads and writes the heads and the side calls of requests. */
template<typename T>
concept wire_format = requires(const http::fields& aHead,
                               http::fields& aOut,
                               const send_plan& aPlan,
                               const std::string& aText,
                               const role_order& aOrder,
                               const http_answer& aAnswer)
{
  // Request heads: what a caller says, and what may be passed on of it.
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
  // What an answer to a side call says of the runner.
  {
    T::ReadNotice(aAnswer)
    } -> std::same_as<runner_notice>;
  // Side calls to engines.
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
  std::uint64_t mTerm = 0; ///< Rises with each holder, and as the store comes back older.
  std::string mHolder;     ///< Name of the daemon that took it; empty if there's none.

  auto operator<=>(const term_record&) const = default;
};

/** A configuration and where it was read. */
struct config_reading
{
  std::optional<routing_config> mConfig;    ///< The newest; nothing if there's none to read.
  std::shared_ptr<const std::string> mText; ///< mConfig as the store has it, to be handed on.
  store_mark mNext;                         ///< Where to wait for the one after it.
  bool mMore = false;                       ///< There are newer ones already.
};

/** The store, as forwarding needs it. */
template<typename T>
concept control_store = requires(T& aStore,
                                 const store_mark& aFrom,
                                 std::uint64_t aAt,
                                 duration aWait,
                                 const std::string& aHolder,
                                 const quarantine_record& aRecord)
{
  // The newest configuration, read at once. The answer must begin within a time.
  {
    aStore.ReadConfig(aWait)
    } -> std::same_as<asio::awaitable<result<config_reading>>>;
  // The newest configuration from a position on, waiting for one; eRetentionPassed if the store has
  // it no more, or has come back from an older copy since.
  {
    aStore.AwaitConfig(aFrom, aWait)
    } -> std::same_as<asio::awaitable<result<config_reading>>>;
  // Ends ReadConfig() or AwaitConfig() with an error unless its answer has begun. Returns whether
  // it does.
  {
    aStore.StopWaiting()
    } -> std::same_as<bool>;
  {
    aStore.ReadRunners()
    } -> std::same_as<asio::awaitable<result<runner_listing>>>;
  // The newest term, without a holder if there's none. Its number is above all former ones, also of
  // those that the store has lost.
  {
    aStore.ReadTerm()
    } -> std::same_as<asio::awaitable<result<term_record>>>;
  // Takes the term after @p aAt; eVersionConflict if another daemon was first.
  {
    aStore.TakeTerm(aAt, aHolder)
    } -> std::same_as<asio::awaitable<result<term_record>>>;
  // Requests that were put into quarantine, also those whose time is over.
  {
    aStore.ReadQuarantines()
    } -> std::same_as<asio::awaitable<result<std::vector<quarantine_record>>>>;
  // Keeps one; the newest record of a request holds.
  {
    aStore.WriteQuarantine(aRecord)
    } -> std::same_as<asio::awaitable<result<void>>>;
  {
    aStore.RemoveQuarantine(aRecord.mRequest)
    } -> std::same_as<asio::awaitable<result<void>>>;
  // A configuration from its text, which another daemon has handed on.
  {
    T::DecodeText(std::string_view{})
    } -> std::same_as<result<routing_config>>;
  // Records of runners so far that could not be read.
  {
    aStore.UnreadableEntries()
    } -> std::same_as<std::uint64_t>;
  // Bytes taken in so far, also those of answers that broke off.
  {
    aStore.BytesIn()
    } -> std::same_as<std::uint64_t>;
};

} // namespace dunehook
