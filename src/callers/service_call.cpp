/**
 * @file service_call.cpp
 * Calls of plain services. A call that may not be repeated runs at most once, and its caller gets
 * exactly one of the outcomes done, not-run and unknown. The outcome is not-run only if no byte of
 * the call can have reached a runner, or the runner refused it, and this daemon will never send it.
 */
#include "callers/frontend_base.h"

#include "core/log_func.h"
#include "resources/claim_func.h"

#include <absl/strings/numbers.h>

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr int kMaxTries = 3;
constexpr duration kConnectTimeout = 1s;
/** Largest answer of a runner, which is held until it's whole. */
constexpr std::uint64_t kMaxServiceAnswerBytes = std::uint64_t{ 8 } << 20U;
constexpr duration kClaimTimeout = 3s;          ///< Limit for a claim to appear in the log state.
constexpr duration kClaimStatusTimeout = 300ms; ///< Time limit of asking the holder of a key.
constexpr duration kKeyRetryAfter = 1s;
constexpr duration kNoRunnerRetryAfter = 2s;
constexpr std::string_view kRefusedHeader = "X-Runner-Refused";

/** The result of sending a call to one runner. */
struct send_result
{
  bool mSent = false;                 ///< A byte of the call may have reached the runner.
  bool mRefused = false;              ///< The runner said that it did not run the call.
  std::optional<http_answer> mAnswer; ///< The complete answer, if there was one.
};

/** Serves one call of a plain service. */
class service_call
{
public:
  service_call(frontend_context& aFrontend,
               exchange_ptr aExchange,
               const route_spec& aRoute,
               std::string aName)
    : mFrontend(aFrontend)
    , mExchange(std::move(aExchange))
    , mRoute(aRoute)
    , mRouteName(std::move(aName))
    , mAttempt(aFrontend.NextAttempt())
    , mDeadline(Now() + std::chrono::milliseconds(aRoute.mTimeoutMs))
  {
  }

  asio::awaitable<void> Run()
  {
    const std::string key = mExchange->Header("Idempotency-Key");
    if (mRoute.mRepeatable) {
      co_await SendRepeatable();
    } else if (key.empty()) {
      co_await SendAtMostOnce("");
    } else {
      co_await SendWithKey(key);
    }
  }

private:
  static instant Now() { return boot_clock_source().Now(); }

  http_call BuildCall() const
  {
    http_call call;
    call.mMethod = mExchange->Method();
    call.mTarget = std::string(mExchange->Target());
    call.mBody = mExchange->Body();
    call.mHeaders = { { "Content-Type", mExchange->Header("Content-Type") },
                      { "X-Dunehook-Attempt", ToText(mAttempt) } };
    const std::string key = mExchange->Header("Idempotency-Key");
    if (!key.empty()) {
      call.mHeaders.emplace_back("Idempotency-Key", key);
    }
    return call;
  }

  /** @return the next runner to try, or null. @param aTry counts the tries from 0. */
  const host* ChooseRunner(std::size_t aTry)
  {
    std::vector<const host*> hosts = mFrontend.mHosts.AvailableHostsOf(mRoute.mServicePool);
    std::erase_if(
      hosts, [this](const host* aHost) { return mFrontend.mAvoided.Avoids(aHost->mName, Now()); });
    if (hosts.empty()) {
      return nullptr;
    }
    const host* const chosen = hosts[(mAttempt.mCounter + aTry) % hosts.size()];
    LogEvent(log_level::eInfo,
             "route",
             { { "request", ToText(mAttempt) },
               { "route", mRouteName },
               { "candidates", hosts.size() },
               { "chosen", chosen->mName },
               { "reason", aTry == 0 ? "in turn" : "another runner failed" } });
    return chosen;
  }

  /** Sends the call to one runner, on a new connection: if connecting fails, nothing was sent. */
  asio::awaitable<send_result> Send(host aHost)
  {
    send_result sent;
    const result<http_connection_ptr> connection =
      co_await http_connection::Connect(aHost.mAddress, kConnectTimeout);
    if (!connection) {
      mFrontend.mAvoided.Avoid(aHost.mName, Now());
      co_return sent;
    }
    if (mExchange->CallerGone() || Now() >= mDeadline) {
      mGivenUp = true; // A daemon resumed after the deadline must not send.
      co_return sent;
    }
    sent.mSent = true;
    const result<http_answer> answer =
      co_await connection.value()->Call(BuildCall(), mDeadline - Now(), kMaxServiceAnswerBytes);
    if (!answer) {
      co_return sent;
    }
    if (!answer.value().Header(kRefusedHeader).empty()) {
      mFrontend.mAvoided.Avoid(aHost.mName, Now());
      sent.mRefused = true;
      co_return sent;
    }
    const std::string echoed = answer.value().Header("X-Dunehook-Attempt");
    if (!echoed.empty() && echoed != ToText(mAttempt)) {
      mFrontend.mMetrics.CountWrongAnswer();
      co_return sent;
    }
    sent.mAnswer = answer.value();
    co_return sent;
  }

  asio::awaitable<void> SendRepeatable()
  {
    bool mayHaveRun = false;
    for (int tries = 0; tries < kMaxTries && Now() < mDeadline; ++tries) {
      const host* const chosen = ChooseRunner(static_cast<std::size_t>(tries));
      if (chosen == nullptr) {
        break;
      }
      const send_result sent = co_await Send(*chosen);
      if (sent.mAnswer) {
        co_await RespondDone(*sent.mAnswer);
        co_return;
      }
      if (mGivenUp) {
        break;
      }
      mayHaveRun = mayHaveRun || (sent.mSent && !sent.mRefused);
    }
    co_await RespondFailed(mayHaveRun);
  }

  /** Sends a call that may not be repeated. @param aKey its claimed key, or empty. */
  asio::awaitable<void> SendAtMostOnce(std::string aKey)
  {
    for (int tries = 0; tries < kMaxTries && Now() < mDeadline; ++tries) {
      const host* const chosen = ChooseRunner(static_cast<std::size_t>(tries));
      if (chosen == nullptr) {
        break;
      }
      const send_result sent = co_await Send(*chosen);
      if (sent.mAnswer) {
        RecordState(aKey, keyed_state::eDone, *sent.mAnswer);
        co_await RespondDone(*sent.mAnswer);
        co_return;
      }
      if (sent.mSent && !sent.mRefused) {
        RecordState(aKey, keyed_state::eUnknown, {});
        co_await RespondFailed(true);
        co_return;
      }
      if (mGivenUp) {
        break;
      }
    }
    AbandonKey(aKey);
    co_await RespondFailed(false);
  }

  void AbandonKey(const std::string& aKey)
  {
    if (!aKey.empty()) {
      RecordState(aKey, keyed_state::eAbandoned, {});
      mFrontend.mLog.Release(aKey, mAttempt);
    }
  }

  void RecordState(const std::string& aKey, keyed_state aState, const http_answer& aAnswer)
  {
    if (!aKey.empty()) {
      mFrontend.mKeys.Calls().Set(aKey, { mAttempt, aState, aAnswer.mStatus, aAnswer.mBody });
    }
  }

  /** @return success if the key starts with an issue time within the claim window. */
  result<void> CheckKey(const std::string& aKey) const
  {
    std::int64_t issued = 0;
    const std::size_t dash = aKey.find('-');
    if (dash == std::string::npos || !absl::SimpleAtoi(aKey.substr(0, dash), &issued)) {
      return make_error_code(errc::eKeyMalformed);
    }
    // The log's time is a lower bound for the current time. So a key whose claim has expired from
    // the replicated state is refused here, even if this host's clock is behind.
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    const std::int64_t now = std::max(wall.count(), mFrontend.mLog.State().TimeMs());
    const std::int64_t age = now - issued * 1000;
    if (age > kClaimWindowMs) {
      return make_error_code(errc::eKeyExpired);
    }
    if (age < -kClockSkewMs) {
      return make_error_code(errc::eKeyMalformed);
    }
    return boost::outcome_v2::success();
  }

  asio::awaitable<void> SendWithKey(std::string aKey)
  {
    const result<void> checked = CheckKey(aKey);
    if (!checked && checked.error() == errc::eKeyExpired) {
      co_await RespondKeyError(409, checked.error(), call_outcome::eUnknown);
      co_return;
    }
    if (!checked) {
      co_await RespondKeyError(400, checked.error(), call_outcome::eNotRun);
      co_return;
    }
    const std::string key = ScopedKey(TeamOf(*mExchange), mRouteName, aKey);
    if (const auto held = mFrontend.mLog.State().ClaimOf(key)) {
      co_await RespondFromHolder(key, held->mAttempt);
      co_return;
    }
    const keyed_call* const own = mFrontend.mKeys.Calls().Find(key);
    if (own != nullptr && own->mState != keyed_state::eAbandoned) {
      co_await RespondFromHolder(key, own->mAttempt); // Not yet read back from the log.
      co_return;
    }
    mFrontend.mKeys.Calls().Set(key, { mAttempt, keyed_state::eRunning, 0, "" });
    const result<claim> claimed = co_await mFrontend.mLog.Claim(key, mAttempt, kClaimTimeout);
    if (!claimed) {
      AbandonKey(key);
      co_await RespondError(mExchange,
                            { 503,
                              claimed.error(),
                              "the key can't be claimed now; the call was not sent",
                              call_outcome::eNotRun,
                              kKeyRetryAfter });
      Count(call_outcome::eNotRun);
      co_return;
    }
    if (!HoldsKey(mFrontend.mLog.State(), key, mAttempt)) {
      co_await RespondFromHolder(key, claimed.value().mAttempt);
      co_return;
    }
    co_await SendAtMostOnce(key);
  }

  /** Answers with the state of the call that holds the key, as its daemon reports it. */
  asio::awaitable<void> RespondFromHolder(std::string aKey, attempt_id aHolder)
  {
    keyed_call call{ aHolder, keyed_state::eUnknown, 0, "" };
    if (aHolder.mIncarnation == mFrontend.mMembers.Self().mIncarnation) {
      const keyed_call* const own = mFrontend.mKeys.Calls().Find(aKey);
      call = own == nullptr ? call : *own;
    } else if (const member_info* const member = mFrontend.mMembers.Find(aHolder.mIncarnation)) {
      const json message{ { "key", aKey } };
      const result<json> answer = co_await mFrontend.mPeers.Call(
        member_info(*member), "claim_status", message, kClaimStatusTimeout);
      call = answer ? KeyedCallFromJson(answer.value()) : call;
    }
    switch (call.mState) {
      case keyed_state::eDone: {
        header_list headers = OutcomeHeaders(call_outcome::eDone, aHolder);
        headers.emplace_back("X-Dunehook-Replayed", "1");
        co_await mExchange->Respond(call.mStatus, call.mBody, headers);
        Count(call_outcome::eDone);
        break;
      }
      case keyed_state::eAbandoned:
        co_await RespondKeyError(409, make_error_code(errc::eKeyClaimed), call_outcome::eNotRun);
        break;
      case keyed_state::eRunning:
      case keyed_state::eUnknown:
        co_await RespondKeyError(409, make_error_code(errc::eKeyClaimed), call_outcome::eUnknown);
        break;
    }
  }

  asio::awaitable<void> RespondKeyError(unsigned aStatus,
                                        std::error_code aError,
                                        call_outcome aOutcome)
  {
    const bool mayRetry = aError == errc::eKeyClaimed;
    co_await RespondError(mExchange,
                          { aStatus,
                            aError,
                            mayRetry ? "another call holds this key" : "the key can't be used",
                            aOutcome,
                            mayRetry ? duration(kKeyRetryAfter) : duration{ 0 } });
    Count(aOutcome);
  }

  asio::awaitable<void> RespondDone(http_answer aAnswer)
  {
    header_list headers = OutcomeHeaders(call_outcome::eDone, mAttempt);
    std::string type = aAnswer.Header("Content-Type");
    if (type.empty()) {
      type = "application/octet-stream";
    }
    co_await mExchange->Respond(aAnswer.mStatus, std::move(aAnswer.mBody), headers, type);
    Count(call_outcome::eDone);
  }

  asio::awaitable<void> RespondFailed(bool aMayHaveRun)
  {
    const call_outcome outcome = aMayHaveRun ? call_outcome::eUnknown : call_outcome::eNotRun;
    co_await RespondError(
      mExchange,
      { aMayHaveRun ? 502U : 503U,
        make_error_code(aMayHaveRun ? errc::eConnectionLost : errc::eNoRunner),
        aMayHaveRun ? "the connection ended before the answer" : "no runner took the call",
        outcome,
        aMayHaveRun ? duration{ 0 } : duration(kNoRunnerRetryAfter) });
    Count(outcome);
  }

  void Count(call_outcome aOutcome)
  {
    mFrontend.mMetrics.CountCall("service", std::string(OutcomeName(aOutcome)));
  }

  frontend_context& mFrontend; ///< Shared parts of the daemon.
  exchange_ptr mExchange;      ///< The HTTP exchange with the caller.
  route_spec mRoute;           ///< Copy of the route at arrival.
  std::string mRouteName;      ///< Name of the route.
  attempt_id mAttempt;         ///< Identifies the call; the same for every runner tried.
  instant mDeadline;           ///< Nothing is sent after this.
  bool mGivenUp = false;       ///< The caller is gone or the deadline has passed.
};

} // namespace

asio::awaitable<void>
ServeService(frontend_context& aFrontend, exchange_ptr aExchange, std::string aRoute)
{
  const auto* route = aFrontend.mLog.State().FindSpec<route_spec>(resource_kind::eRoute, aRoute);
  service_call call(aFrontend, std::move(aExchange), *route, std::move(aRoute));
  co_await call.Run();
}

} // namespace dunehook
