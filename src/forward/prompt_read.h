/**
 * @file prompt_read.h
 * Has a prefill engine process a prompt, and keeps track of the result until a decode engine takes
 * it.
 */
#pragma once

#include "forward/engine_calls.h"
#include "forward/upstream_send.h"

namespace dunehook {

/** A prefill that takes this much longer than expected is abandoned. */
inline constexpr duration kPrefillSlack = std::chrono::milliseconds(900);
/**
 * A result this close to its expiry isn't handed over: the handoff takes some milliseconds, and the
 * engine's lifetime of the result starts at a moment that this daemon doesn't know.
 */
inline constexpr duration kResultExpiryMargin = std::chrono::milliseconds(150);
/** Largest response that is read whole into memory, in bytes. */
inline constexpr std::size_t kMaxHeldResponseBytes = 65536;

/** Outcome of a prefill. */
enum class read_outcome
{
  eRead,           ///< The result is stored at the engine.
  eNotSent,        ///< Nothing was sent to the engine.
  eFailed,         ///< The request was sent, but there's no result.
  eConnectionLost, ///< As eFailed, and the connection to the engine was lost.
};

/** The prefill of one request's prompt. */
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
   * Has the chosen engine process the prompt. If the response is lost, the same engine is asked
   * once more: a prefill may be retried, and one that the engine has completed returns quickly.
   * @param aPermit the right to ask it once.
   * @param aPlan the send plan; the fields that concern the prefill are filled in here.
   * @param aDemand supplies the number of prompt tokens and the model.
   * @param aTakeRetry asks the retry budget before the prefill is retried.
   */
  asio::awaitable<read_outcome> Read(const placement_choice& aChoice,
                                     send_permit aPermit,
                                     send_plan aPlan,
                                     generation_demand aDemand,
                                     std::function<asio::awaitable<bool>()> aTakeRetry)
  {
    mResultLocation.clear();
    const service_runner_id id = *aChoice.mPrefill;
    const runner_state* const engine = mState.mRunners.Find(id);
    if (engine == nullptr || !mState.mRunners.MayReceive(*engine, mState.Now())) {
      co_return read_outcome::eNotSent;
    }
    mEngine = id;
    mEngineName = engine->mEntry.mName;
    mEngineAddress = engine->mEntry.mAddress;
    mVersion = engine->mEntry.VersionOf(aDemand.mModel);
    aPlan.mRunnerName = mEngineName;
    aPlan.mRunner = id;
    aPlan.mPrefillOnly = true;
    const instant began = mState.Now();
    const duration limit = std::min(aPlan.mTimeLeft, aChoice.mUntilRead + kPrefillSlack);
    const instant until = began + limit;
    std::string body;
    upstream_response answer = co_await Send(aPlan, aPermit, until, body);
    bool broke = answer.mConnectionLost;
    const bool lost =
      answer.mSendStatus == send_status::eUnknown && !answer.mTimedOut && !mExchange.Disconnected();
    const duration spent = mState.Now() - began;
    bool retries = lost && spent < limit;
    if (retries) {
      const permit_demand demand{ id, 1, aPlan.mRank, limit - spent };
      const result<send_permit> permit = co_await mState.mTakePermit(demand);
      retries = permit.has_value();
      if (retries) {
        retries = co_await aTakeRetry();
      }
      aPermit = permit ? permit.value() : aPermit;
    }
    if (retries) {
      LogRetry();
      aPlan.mTimeLeft -= spent; // The engine gets the remaining time, not the original limit.
      answer = co_await Send(aPlan, aPermit, until, body);
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

  /**
   * @return whether there's a result that a decode engine with this version of the weights can
   * still take.
   */
  bool IsUsable(duration aLifetime, std::uint64_t aVersion) const
  {
    const bool lives = mState.Now() - mReadAt + kResultExpiryMargin < aLifetime;
    return !mResultLocation.empty() && lives && mVersion == aVersion;
  }
  /** @return the location of the result, empty if there's none. */
  const std::string& ResultLocation() const { return mResultLocation; }
  /** @return id of the engine that was asked last. */
  const std::string& EngineName() const { return mEngineName; }
  /** @return address of the engine that was asked last. */
  const endpoint& EngineAddress() const { return mEngineAddress; }
  /** A decode engine has taken the result. */
  void MarkConsumed() { mResultLocation.clear(); }

  /** Counts the prompt tokens as wasted, if the prompt was processed, and frees the result. */
  void Discard(std::string_view aWhy)
  {
    if (mTokens == 0) {
      return;
    }
    mState.mMetrics.CountPromptTokens(aWhy, mTokens);
    mTokens = 0;
    if (!mResultLocation.empty()) {
      engine_calls<Wire>(mState).Free(mEngine, mEngineAddress, mResult);
      mResultLocation.clear();
    }
  }

private:
  /** Sends the request and reads the whole response. */
  asio::awaitable<upstream_response> Send(send_plan aPlan,
                                          send_permit aPermit,
                                          instant aUntil,
                                          std::string& aBody)
  {
    upstream_response answer = co_await SendToRunner<Wire>(
      mState, mExchange, mEngineAddress, aPlan, aPermit, mRequestId, false, aUntil);
    if (answer.mConnection) {
      aBody.clear();
      const result<void> read = co_await ReadBody(
        mState, answer.mConnection, large_body::eRejected, aBody, kMaxHeldResponseBytes, aUntil);
      ReturnConnection(mState, mExchange, mEngineAddress, answer.mConnection);
      if (!read) {
        answer.mSendStatus = send_status::eUnknown;
        answer.mConnectionLost = read.error() == errc::eConnectionLost;
      }
    }
    co_return answer;
  }

  void LogRetry() const
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

  forward_state& mState;      ///< State shared by the daemon's components.
  caller_exchange& mExchange; ///< The caller's side; outlives this object.
  std::string mRequestId;     ///< The request's id.
  service_runner_id mEngine;  ///< The engine asked last.
  std::string mEngineName;    ///< Its service discovery id.
  endpoint mEngineAddress;    ///< Its address.
  prefill_result mResult;     ///< The last result.
  std::string
    mResultLocation;          ///< "address:port/handle" of a result that isn't taken yet, or empty.
  std::uint64_t mVersion = 0; ///< Version of the weights that made the result.
  instant mReadAt{ 0 };       ///< When the result arrived here.
  std::uint32_t mTokens = 0;  ///< Prompt tokens processed and not counted as wasted.
};

} // namespace dunehook
