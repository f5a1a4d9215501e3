/**
 * @file completion_session.h
 * One completions call, from its arrival to its final answer. The session carries out the orders
 * of the cell's owner: prefill, transfer in chunks, decode. It reports the result of each step to
 * the owner, and writes every token index to the caller exactly once.
 */
#pragma once

#include "callers/completion_type.h"
#include "callers/frontend_base.h"

#include <deque>
#include <variant>

namespace dunehook {

/** A prefill ended. */
struct prefill_ended
{
  engine_id mEngine;              ///< The prefill engine.
  result<prefill_answer> mAnswer; ///< The engine's answer, or the error.
};

/** The transfer of a chunk ended. */
struct chunk_ended
{
  engine_id mEngine;    ///< The decode engine.
  bool mLast = false;   ///< Whether it was the last chunk.
  result<void> mAnswer; ///< Success, or the error.
};

/** The caller closed its connection. */
struct caller_left
{};

/** A newer attempt with the same idempotency key replaces this one. */
struct taken_over
{};

using session_message =
  std::variant<addressed_order, prefill_ended, chunk_ended, caller_left, taken_over>;

/** Serves one completions call; handles its messages one after the other. */
class completion_session : public std::enable_shared_from_this<completion_session>
{
public:
  completion_session(frontend_context& aFrontend,
                     exchange_ptr aExchange,
                     completion_request aRequest,
                     std::string aRouteName,
                     const route_spec& aRoute,
                     const priority_class_spec& aTargets);

  /** Serves the call to its end. */
  asio::awaitable<void> Run();

  const attempt_id& Attempt() const { return mAttempt; }

private:
  /** An engine that may hold a slot or KV cache for this attempt. */
  struct used_engine
  {
    engine_id mId;     ///< Null if no engine is in use.
    endpoint mAddress; ///< The engine's listening address.
  };

  asio::awaitable<void> TakeOverKey();
  asio::awaitable<void> Serve();
  /** Announces the request to the owner again, if it waits for an order. An owner forgets requests
   * of a daemon that it hasn't heard for some time, and the daemon may not have noticed. */
  asio::awaitable<void> AnnounceAgain();
  asio::awaitable<void> Handle(addressed_order aOrder);
  asio::awaitable<void> Handle(prefill_ended aMessage);
  asio::awaitable<void> Handle(chunk_ended aMessage);
  asio::awaitable<void> Handle(caller_left aMessage);
  asio::awaitable<void> Handle(taken_over aMessage);
  void BeginPrefill(const start_prefill& aOrder, const endpoint& aAddress);
  void BeginChunk(const start_chunk& aOrder, const endpoint& aAddress);
  asio::awaitable<void> RunPrefill(start_prefill aOrder, endpoint aAddress);
  asio::awaitable<void> RunChunk(start_chunk aOrder, endpoint aAddress, endpoint aFrom);
  asio::awaitable<void> StreamTokens();
  asio::awaitable<result<void>> ReadTokens(http_connection_ptr aConnection);
  asio::awaitable<bool> WriteTokens(const std::vector<token>& aTokens);
  asio::awaitable<void> Finish();
  asio::awaitable<void> Fail(error_answer aAnswer);
  asio::awaitable<void> Report(decide_event aEvent);
  asio::awaitable<void> ReportFailure(engine_id aEngine, std::error_code aError);
  asio::awaitable<void> GiveUp();
  void FreeEngine(used_engine& aEngine);
  asio::awaitable<void> CancelAt(endpoint aEngine);
  void Post(session_message aMessage);
  void SetStage(request_stage aStage);
  std::string TokenEvent(const token& aToken) const;
  request_arrived DescribeRequest() const;
  call_outcome OutcomeSoFar() const;
  static instant Now() { return boot_clock_source().Now(); }

  frontend_context& mFrontend;                  ///< Shared parts of the daemon.
  exchange_ptr mExchange;                       ///< The HTTP exchange with the caller.
  completion_request mRequest;                  ///< The parsed call.
  std::string mRouteName;                       ///< The route's name.
  route_spec mRoute;                            ///< Copy of the route at arrival.
  priority_class_spec mClassTargets;            ///< Latency targets of the route's class.
  cell_key mCell;                               ///< Cell whose owner schedules the call.
  attempt_id mAttempt;                          ///< Identifies the call.
  instant mArrived;                             ///< Arrival time.
  instant mDeadline;                            ///< The call fails after this.
  std::deque<session_message> mPendingMessages; ///< Messages not handled yet.
  wake_list mMessageArrived;                    ///< Woken when mPendingMessages gets a message.
  used_engine mPrefill;                         ///< Prefill engine in use.
  used_engine mDecode;                          ///< Decode engine in use.
  http_connection_ptr mConnection;              ///< Engine connection in use; aborted on cancel.
  std::string mEventPrefix;                     ///< Start of every token's event, up to its index.
  std::uint64_t mKvBytes = 0;                   ///< Size of the prefill result in bytes.
  std::uint32_t mNextIndex = 0; ///< Index of the next token to write; never decreases.
  std::string mText;            ///< Text generated so far; also the start of a resumed prefill.
  std::uint32_t mChunksInFlight = 0;  ///< Transfers of chunks that haven't ended.
  bool mMayHaveReachedRunner = false; ///< Whether a byte of the call may have reached a runner.
  bool mEnded = false;                ///< The final answer was sent, or no caller waits for it.
};

} // namespace dunehook
