/**
 * @file completion_session.h
 * One completions call, from its arrival to its final answer. The session carries out the orders
 * of the cell's owner step by step: prefill, transfer in pieces, decode; it tells the owner what
 * came of each, and writes the tokens to its one caller, each index once.
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
  engine_id mEngine;              ///< Where.
  result<prefill_answer> mAnswer; ///< What came of it.
};

/** A piece of a transfer ended. */
struct chunk_ended
{
  engine_id mEngine;    ///< The decode engine.
  bool mLast = false;   ///< Whether it was the last piece.
  result<void> mAnswer; ///< What came of it.
};

/** The caller closed its connection. */
struct caller_left
{};

/** A newer attempt with the same key took over. */
struct taken_over
{};

using session_message =
  std::variant<addressed_order, prefill_ended, chunk_ended, caller_left, taken_over>;

/** One completions call. */
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
  /** An engine that may hold something for this attempt. */
  struct used_engine
  {
    engine_id mId;     ///< Its id; null if none is used.
    endpoint mAddress; ///< Where it listens.
  };

  asio::awaitable<void> TakeOverKey();
  asio::awaitable<void> Serve();
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

  frontend_context& mFrontend;                  ///< The daemon.
  exchange_ptr mExchange;                       ///< The caller.
  completion_request mRequest;                  ///< What the caller asks for.
  std::string mRouteName;                       ///< The route's name.
  route_spec mRoute;                            ///< The route as it was when the call came.
  priority_class_spec mClassTargets;            ///< Targets of its class.
  cell_key mCell;                               ///< Who is asked for orders.
  attempt_id mAttempt;                          ///< Identifies the call.
  instant mArrived;                             ///< When the call came.
  instant mDeadline;                            ///< Given up after this.
  std::deque<session_message> mPendingMessages; ///< Messages to take.
  wake_list mMessageArrived;                    ///< Woken when mPendingMessages gets a message.
  used_engine mPrefill;                         ///< Prefill engine in use.
  used_engine mDecode;                          ///< Decode engine in use.
  http_connection_ptr mConnection;              ///< Connection in use, to be aborted.
  std::string mEventPrefix;                     ///< Start of every token's event, up to its index.
  std::uint64_t mKvBytes = 0;                   ///< Size of the prefill result.
  std::uint32_t mNextIndex = 0;       ///< Index of the next token to write; never goes down.
  std::string mText;                  ///< Tokens so far, for the whole answer and for resuming.
  bool mMayHaveReachedRunner = false; ///< Some byte of the call may have reached a runner.
  bool mEnded = false;                ///< The final answer was given, or nobody waits for it.
};

} // namespace dunehook
