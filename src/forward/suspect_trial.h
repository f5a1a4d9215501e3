/**
 * @file suspect_trial.h
 * The trial of one caller's request, if the request is suspected of crashing runners: it's sent
 * only where and when the daemon that grants trials allows it.
 */
#pragma once

#include "forward/crash_watch.h"

namespace dunehook {

/** A suspected request waits this long for a trial at most; its caller then has to return. A daemon
 * that takes over the granting of trials grants none for kTrialWarmUp. */
inline constexpr duration kMaxTrialWait = std::chrono::milliseconds(1000);

/** The trial of one request; without effect while the request isn't suspected. */
class suspect_trial
{
public:
  /** Both arguments must outlive this object. */
  suspect_trial(forward_state& aState, crash_watch& aWatch)
    : mState(aState)
    , mWatch(aWatch)
  {
  }

  /** Asks for the right to send the request to some runners; a former one is given back.
   * @return whether it may be sent. */
  asio::awaitable<bool> Begin(std::vector<service_runner_id> aRunners)
  {
    mDenied.reset();
    mFoundBusy = false;
    Release();
    if (!mWatch.Suspected()) {
      co_return true;
    }
    if (!mWaitsSince) {
      mWaitsSince = mState.Now();
    }
    mKey = mWatch.TrialKey();
    const duration held = mState.mCrashes.HeldUntil(mKey) - mState.Now();
    if (held > duration{ 0 }) {
      mDenied = trial_reply{ mKey, 0, trial_state::eHeld, held, {} };
      co_return false;
    }
    mTrial = { mState.mRandom() | 1U };
    trial_request request{ mTrial, mKey, {}, 0 };
    mSites.clear();
    for (const service_runner_id runner : aRunners) {
      mSites[runner] = mWatch.SiteOf(runner);
      request.mRunners.push_back(mSites[runner]);
    }
    const trial_reply reply = co_await mState.mRequestTrial(std::move(request));
    mUnderWay = reply.mState == trial_state::eGranted;
    const bool maySend = mUnderWay || reply.mState == trial_state::eNotSuspected;
    mState.mMetrics.CountQuarantine(maySend ? "trial" : "trial_denied");
    LogEvent(log_level::eInfo,
             "crash_trial",
             { { "fingerprint", reply.mRequest.mValue },
               { "state", TrialStateName(reply.mState) },
               { "wait_ms", reply.mWait.count() / 1000 } });
    if (maySend) {
      mWaitsSince.reset();
    } else {
      mDenied = reply;
      mFoundBusy = NoteBusy(aRunners, reply);
    }
    co_return maySend;
  }

  /** Frees the runners of the trial but for one. */
  void KeepOnly(service_runner_id aRunner)
  {
    if (mUnderWay) {
      mState.mKeepTrial({ mTrial, mKey, { mSites.at(aRunner) }, 0 });
    }
  }

  /** Ends the trial. A crash must have been reported before. */
  void End()
  {
    Release();
    ForgetBusy();
  }

  /** Waits until a denied trial may be asked for again, unless that takes too long.
   * @param aTimeLeft until the request's deadline. @return whether to ask again. */
  asio::awaitable<bool> WaitForRetry(duration aTimeLeft)
  {
    const duration wait = Wait();
    const duration waited = mState.Now() - mWaitsSince.value_or(mState.Now());
    if (wait > std::min(kMaxTrialWait - waited, aTimeLeft)) {
      co_return false;
    }
    co_await Sleep(wait);
    co_return true;
  }

  /** @return whether the last request for a trial was denied. */
  bool WasDenied() const { return mDenied.has_value(); }
  /** @return whether it was denied because of other suspected requests at the runners, which
   * Busy() contains now and didn't before: other runners may be asked for at once. */
  bool WasBusy() const { return mFoundBusy; }
  /** Lets the runners of Busy() be asked for again. */
  void ForgetBusy()
  {
    mBusy.clear();
    mFoundBusy = false;
  }
  /** @return time until the trial may be granted, after it was denied. */
  duration Wait() const { return mDenied ? std::max(mDenied->mWait, kMinWait) : duration{ 0 }; }
  /** @return runners at which other suspected requests are on trial. */
  const std::set<service_runner_id>& Busy() const { return mBusy; }

private:
  void Release()
  {
    if (mUnderWay) {
      mUnderWay = false;
      mState.mKeepTrial({ mTrial, mKey, {}, 0 });
    }
  }

  /** @return whether the reply names busy runners that weren't known to be. */
  bool NoteBusy(const std::vector<service_runner_id>& aRunners, const trial_reply& aReply)
  {
    const std::size_t known = mBusy.size();
    for (const service_runner_id runner : aRunners) {
      const auto& busy = aReply.mBusy;
      if (std::find(busy.begin(), busy.end(), mSites.at(runner)) != busy.end()) {
        mBusy.insert(runner);
      }
    }
    return aReply.mState == trial_state::eRunnerBusy && mBusy.size() > known;
  }

  /** Shortest time before a trial is asked for again. */
  static constexpr duration kMinWait = std::chrono::milliseconds(10);

  forward_state& mState;    ///< State shared by the daemon's components.
  crash_watch& mWatch;      ///< Tells whether the request is suspected.
  trial_id mTrial;          ///< The last trial that was asked for.
  request_fingerprint mKey; ///< What it was asked for: the request, or parts of its prompt.
  /** The runners it was asked for: their rows may be replaced while it's under way. */
  std::map<service_runner_id, runner_site> mSites;
  bool mUnderWay = false;             ///< A trial was granted, and hasn't ended.
  std::optional<trial_reply> mDenied; ///< Last reply, if it was a denial.
  std::set<service_runner_id> mBusy;  ///< See Busy().
  bool mFoundBusy = false;            ///< See WasBusy().
  std::optional<instant> mWaitsSince; ///< When a trial was first asked for since the last one.
};

} // namespace dunehook
