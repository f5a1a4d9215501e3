/**
 * @file prompt_read.h
 * Has a prefill engine read a prompt, and keeps the result until a decode engine takes it.
 */
#pragma once

#include "forward/engine_calls.h"
#include "forward/upstream_send.h"

namespace dunehook {

/** A read that takes this much longer than expected is given up. */
inline constexpr duration kPrefillSlack = std::chrono::milliseconds(900);
/** A result isn't handed over within this time of its end: the handoff takes some milliseconds, and
 * the engine counts from a moment that this daemon doesn't know. */
inline constexpr duration kResultExpiryMargin = std::chrono::milliseconds(150);
/** Largest answer that is held whole. */
inline constexpr std::size_t kMaxHeldResponseBytes = 65536;

/** How a read ended. */
enum class read_outcome
{
  eRead,           ///< The result lies at the engine.
  eNotSent,        ///< Nothing reached the engine.
  eFailed,         ///< It reached the engine, and there's no result.
  eConnectionLost, ///< The same, and the connection to the engine ended.
};

/** The read of one request's prompt. */
template<wire_format Wire>
class prompt_read
{
public:
  prompt_read(forward_state& aState, caller_exchange& aExchange, std::string aRequest)
    : mState(aState)
    , mExchange(aExchange)
    , mRequestId(std::move(aRequest))
  {
  }

  /**
   * Has the chosen engine read the prompt. An answer that is lost on its way is asked for once more
   * at the same engine: a read may be repeated, and one that the engine has done is quick.
   * @param aPlan the send, without what concerns the read.
   * @param aDemand tells the prompt's tokens and the model.
   * @param aTakeRepeat asked before the read is repeated.
   */
  asio::awaitable<read_outcome> Read(const placement_choice& aChoice,
                                     send_plan aPlan,
                                     generation_demand aDemand,
                                     std::function<bool()> aTakeRepeat)
  {
    mResultLocation.clear();
    const service_runner_id id = *aChoice.mPrefill;
    const runner_state* const engine = mState.mRunners.Find(id);
    if (engine == nullptr || !mState.mRunners.MayReceive(*engine, mState.Now())) {
      co_return read_outcome::eNotSent;
    }
    mEngineName = engine->mEntry.mName;
    mEngineAddress = engine->mEntry.mAddress;
    mVersion = engine->mEntry.VersionOf(aDemand.mModel);
    aPlan.mRunnerName = mEngineName;
    aPlan.mRunner = id;
    aPlan.mPrefillOnly = true;
    const instant began = mState.Now();
    const duration limit = std::min(aPlan.mTimeLeft, aChoice.mUntilRead + kPrefillSlack);
    std::string body;
    upstream_response answer = co_await Send(aPlan, limit, body);
    bool broke = answer.mConnectionLost;
    const bool lost =
      answer.mSendStatus == send_status::eUnknown && !answer.mTimedOut && !mExchange.Disconnected();
    const duration spent = mState.Now() - began;
    if (lost && spent < limit && aTakeRepeat()) {
      LogRepeat();
      aPlan.mTimeLeft -= spent; // The engine is told what is left, not what there was.
      answer = co_await Send(aPlan, limit - spent, body);
      broke = broke || answer.mConnectionLost;
    }
    if (answer.mSendStatus != send_status::eAnswered || answer.mFacts.mStatus != 200) {
      NoteFailure(id, answer);
      if (broke && !mExchange.Disconnected()) {
        co_return read_outcome::eConnectionLost;
      }
      co_return answer.mSendStatus == send_status::eNotSent ? read_outcome::eNotSent
                                                            : read_outcome::eFailed;
    }
    const result<prefill_result> read = Wire::ReadPrefill(body);
    if (!read) {
      LogEvent(log_level::eWarning, "prefill_answer_unreadable", { { "request", mRequestId } });
      co_return read_outcome::eFailed;
    }
    mState.mMetrics.CountPromptTokens("read", aDemand.mPromptTokens);
    const instant now = mState.Now();
    const finished_read done{ aDemand.mRun, id, now - began };
    mState.mPlacement.NoteRead(done.mRun, done.mEngine, done.mTook, now);
    run_message message;
    message.mReads.push_back(done);
    mState.NoteEngine(id, send_outcome::eServed, std::move(message));
    mTokens = aDemand.mPromptTokens;
    mReadAt = mState.Now();
    mResult = read.value();
    mResultLocation = Join(ToText(mEngineAddress), "/", mResult.mHandle);
    co_return read_outcome::eRead;
  }

  /** @return whether there's a result that a decode engine with these weights may still take. */
  bool IsUsable(duration aLifetime, std::uint64_t aVersion) const
  {
    const bool lives = mState.Now() - mReadAt + kResultExpiryMargin < aLifetime;
    return !mResultLocation.empty() && lives && mVersion == aVersion;
  }
  /** @return where the result lies, empty if there's none. */
  const std::string& ResultLocation() const { return mResultLocation; }
  /** @return id of the engine that was asked last. */
  const std::string& EngineName() const { return mEngineName; }
  /** A decode engine has the prompt: the result is used. */
  void MarkConsumed() { mResultLocation.clear(); }

  /** Counts the prompt's tokens as thrown away, if it was read, and frees the result. */
  void Discard(std::string_view aWhy)
  {
    if (mTokens == 0) {
      return;
    }
    mState.mMetrics.CountPromptTokens(aWhy, mTokens);
    mTokens = 0;
    if (!mResultLocation.empty()) {
      engine_calls<Wire>(mState).Free(mEngineAddress, mResult);
      mResultLocation.clear();
    }
  }

private:
  /** Sends the request and reads the whole answer. */
  asio::awaitable<upstream_response> Send(send_plan aPlan, duration aLimit, std::string& aBody)
  {
    upstream_response answer = co_await SendToRunner<Wire>(
      mState, mExchange, mEngineAddress, aPlan, mRequestId, false, aLimit);
    if (answer.mConnection) {
      aBody.clear();
      const result<void> read =
        co_await ReadBody(*answer.mConnection, aBody, kMaxHeldResponseBytes, aLimit);
      ReturnConnection(mState, mExchange, mEngineAddress, answer.mConnection);
      if (!read) {
        answer.mSendStatus = send_status::eUnknown;
        answer.mConnectionLost = read.error() == errc::eConnectionLost;
      }
    }
    co_return answer;
  }

  void LogRepeat() const
  {
    mState.LogDecision(
      log_level::eWarning, "prefill_repeated", mRequestId, { { "runner", mEngineName } });
  }

  void NoteFailure(service_runner_id aEngine, const upstream_response& aAnswer)
  {
    if (mExchange.Disconnected()) {
      return;
    }
    const send_outcome outcome = OutcomeOf(aAnswer);
    mState.NoteEngine(aEngine, outcome);
    mState.LogDecision(log_level::eWarning,
                       "prefill_failed",
                       mRequestId,
                       { { "runner", mEngineName },
                         { "outcome", OutcomeName(outcome) },
                         { "status", aAnswer.mFacts.mStatus } });
  }

  forward_state& mState;       ///< Shared.
  caller_exchange& mExchange;  ///< The caller's side; outlives the read.
  std::string mRequestId;      ///< The request's id.
  std::string mEngineName;     ///< Id of the engine in the discovery.
  endpoint mEngineAddress;     ///< Its address.
  prefill_result mResult;      ///< The last result.
  std::string mResultLocation; ///< "address:port/handle" of a result not taken yet, or empty.
  std::uint64_t mVersion = 0;  ///< Weights of the engine that read it.
  instant mReadAt{ 0 };        ///< When the result was told.
  std::uint32_t mTokens = 0;   ///< Prompt tokens read and not counted as thrown away.
};

} // namespace dunehook
