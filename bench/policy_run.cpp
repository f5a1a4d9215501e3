/**
 * @file policy_run.cpp
 * One run of the policy bench.
 */
#include "bench/policy_run.h"

namespace dunehook::bench {

namespace {

constexpr std::size_t kDaemons = 8;
constexpr duration kTick = std::chrono::milliseconds(10);
constexpr duration kCacheLag = std::chrono::milliseconds(500);
/** A caller without a first token leaves after this many times its target. */
constexpr double kPatience = 2.0;
/** Share of gaps between tokens that may be over the target. */
constexpr double kSlowGapShare = 0.05;

/** A request as it really is. */
struct truth
{
  std::size_t mClass = 0;      ///< Index of its class.
  std::size_t mDaemon = 0;     ///< Daemon that its caller reached.
  instant mArrived{ 0 };       ///< When.
  std::uint32_t mPrompt = 0;   ///< Prompt tokens.
  std::uint32_t mAnswer = 0;   ///< Answer tokens.
  std::uint64_t mPrefix = 0;   ///< Shared prefix; 0 for none.
  std::uint32_t mTokens = 0;   ///< Tokens given.
  std::uint32_t mSlowGaps = 0; ///< Gaps over the target.
  std::uint32_t mComputed = 0; ///< Prompt tokens computed and not used yet.
  instant mFirst{ 0 };         ///< When the first token came.
  instant mLast{ 0 };          ///< When the latest token came.
  instant mKvExpires{ 0 };     ///< End of the prefill result's life.
  std::uint64_t mRun = 0;      ///< Counts prefills, so that old ones are dropped.
  bool mEnded = false;         ///< Whole, refused or left.
};

template<engine_chooser Chooser>
class policy_run
{
public:
  policy_run(const workload& aLoad, const run_options& aOptions)
    : mLoad(aLoad)
    , mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mLink(mQueue, aLoad.mLinkBytesPerSecond * aOptions.mLinkScale)
  {
    mResult.mClasses.resize(aLoad.mClasses.size());
    const auto seconds = static_cast<std::size_t>(ToSeconds(End())) + 1;
    mResult.mGoodBySecond.resize(seconds);
    mResult.mArrivedBySecond.resize(seconds);
    AddCores();
    AddEngines();
  }

  run_result Run()
  {
    ScheduleArrivals();
    mQueue.After(kTick, [this] { TickCores(); });
    mQueue.After(mLoad.mLoadLag, [this] { ReportLoad(); });
    if (mOptions.mEngineDeath) {
      mQueue.At(mOptions.mWarmUp + mOptions.mSpan / 3, [this] { KillEngine(); });
      mQueue.At(mOptions.mWarmUp + 2 * mOptions.mSpan / 3, [this] { mDecodes[0]->SetAlive(true); });
    }
    mQueue.RunUntil(End() + std::chrono::seconds(15));
    return mResult;
  }

private:
  using core_type = placement_core<Chooser>;

  instant End() const { return mOptions.mWarmUp + mOptions.mSpan; }
  bool Counted(const truth& aTruth) const
  {
    return aTruth.mArrived >= mOptions.mWarmUp && aTruth.mArrived < End();
  }
  const class_load& ClassOf(const truth& aTruth) const { return mLoad.mClasses[aTruth.mClass]; }
  class_result& ResultOf(const truth& aTruth) { return mResult.mClasses[aTruth.mClass]; }
  bool IsPrefill(engine_id aEngine) const { return aEngine.mValue <= mLoad.mPrefillEngines; }
  fake_prefill& Prefill(engine_id aEngine) { return *mPrefills[aEngine.mValue - 1]; }
  fake_decode& Decode(engine_id aEngine)
  {
    return *mDecodes[aEngine.mValue - 1 - mLoad.mPrefillEngines];
  }

  // Set-up ------------------------------------------------------------------------------------

  void AddCores()
  {
    cell_settings settings;
    settings.mKvLifetime = mLoad.mKvLifetime;
    settings.mKvBytesPerToken = mLoad.mKvBytesPerToken;
    settings.mLink.mBytesPerSecond = static_cast<std::uint64_t>(mLoad.mLinkBytesPerSecond);
    settings.mSwitches = mOptions.mSwitches;
    const std::size_t count = mOptions.mOwnerQueue ? 1 : kDaemons;
    for (std::size_t index = 0; index < count; ++index) {
      mCores.push_back(std::make_unique<core_type>(settings, mOptions.mSeed + index));
    }
  }

  void AddEngines()
  {
    for (std::uint32_t index = 0; index < mLoad.mPrefillEngines; ++index) {
      mPrefills.push_back(std::make_unique<fake_prefill>(mQueue, mLoad));
      const engine_id id{ index + 1U };
      mPrefills.back()->mOnCache = [this, id](std::uint64_t aPrefix, bool aPresent) {
        TellCache(id, aPrefix, aPresent);
      };
      SeeEngine({ id, "p", runner_role::ePrefill, 0, mLoad.mTokensPerSecond, false });
    }
    for (std::uint32_t index = 0; index < mLoad.mDecodeEngines; ++index) {
      mDecodes.push_back(std::make_unique<fake_decode>(mQueue, mLoad));
      const engine_id id{ mLoad.mPrefillEngines + index + 1U };
      SeeEngine({ id, "d", runner_role::eDecode, mLoad.mSlots, 0.0, false });
    }
  }

  void SeeEngine(const engine_info& aInfo)
  {
    for (auto& core : mCores) {
      core->Handle(engine_updated{ aInfo }, mQueue.Now());
    }
  }

  double RateAt(instant aNow) const
  {
    const bool inBurst =
      mOptions.mBurst > 0 && aNow >= std::chrono::seconds(20) && aNow < std::chrono::seconds(25);
    return mLoad.Capacity() * (inBurst ? mOptions.mBurst : mOptions.mLoad);
  }

  void ScheduleArrivals()
  {
    std::uint64_t number = 0;
    for (instant now{ 0 }; now < End();) {
      std::exponential_distribution<double> gap(RateAt(now));
      now += FromSeconds(gap(mRandom));
      const truth drawn = DrawRequest(now);
      const bool lower = ClassOf(drawn).mTargets.mRank > 0;
      // Drawn in any case, so that runs without the lower classes see the same others.
      const double keep = std::uniform_real_distribution<double>(0, 1)(mRandom);
      const double leave = std::uniform_real_distribution<double>(0, 1)(mRandom);
      const double leaveAfter = std::uniform_real_distribution<double>(0, 4)(mRandom);
      ++number;
      if (lower && keep >= mOptions.mLowerShare) {
        continue;
      }
      const attempt_id attempt{ { drawn.mDaemon + 1 }, number };
      mQueue.At(now, [this, attempt, drawn] { Arrive(attempt, drawn); });
      if (leave < mOptions.mCancelShare) {
        mQueue.At(now + FromSeconds(leaveAfter), [this, attempt] { Leave(attempt, false); });
      }
    }
  }

  truth DrawRequest(instant aNow)
  {
    std::vector<double> shares;
    for (const class_load& one : mLoad.mClasses) {
      shares.push_back(one.mShare);
    }
    truth drawn;
    drawn.mClass = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(mRandom);
    const class_load& load = mLoad.mClasses[drawn.mClass];
    drawn.mDaemon = std::uniform_int_distribution<std::size_t>(0, kDaemons - 1)(mRandom);
    drawn.mArrived = aNow;
    drawn.mPrompt =
      std::uniform_int_distribution<std::uint32_t>(load.mPromptLeast, load.mPromptMost)(mRandom);
    drawn.mAnswer =
      std::uniform_int_distribution<std::uint32_t>(load.mAnswerLeast, load.mAnswerMost)(mRandom);
    if (load.mSharedPrefixes > 0) {
      const std::uint32_t most = load.mSharedPrefixes;
      drawn.mPrefix =
        1000 * (drawn.mClass + 1) + std::uniform_int_distribution<std::uint32_t>(1, most)(mRandom);
    }
    return drawn;
  }

  // Messages ----------------------------------------------------------------------------------

  std::size_t CoreOf(const attempt_id& aAttempt) const
  {
    return mOptions.mOwnerQueue ? 0 : aAttempt.mIncarnation.mValue - 1;
  }
  /** @return time between a request's frontend and its core. */
  duration FrontendHop(const attempt_id& aAttempt) const
  {
    const bool same = !mOptions.mOwnerQueue || aAttempt.mIncarnation.mValue == 1;
    return same ? duration{ 0 } : mLoad.mHop;
  }

  void Tell(const attempt_id& aAttempt, const decide_event& aEvent)
  {
    const std::size_t core = CoreOf(aAttempt);
    mQueue.After(FrontendHop(aAttempt),
                 [this, core, aEvent] { CarryOut(mCores[core]->Handle(aEvent, mQueue.Now())); });
  }

  void CarryOut(const tick_result& aResult)
  {
    for (const decide_order& order : aResult.mOrders) {
      std::visit([this](const auto& aOne) { Take(aOne); }, order);
    }
  }

  void TickCores()
  {
    for (auto& core : mCores) {
      CarryOut(core->Tick(mQueue.Now()));
    }
    mQueue.After(kTick, [this] { TickCores(); });
  }

  void ReportLoad()
  {
    for (std::size_t index = 0; index < mDecodes.size(); ++index) {
      const engine_id id{ mLoad.mPrefillEngines + index + 1U };
      const auto held = static_cast<std::uint32_t>(mDecodes[index]->Held());
      for (auto& core : mCores) {
        if (!mDecodes[index]->Alive()) {
          CarryOut(core->Handle(engine_unreachable{ id }, mQueue.Now()));
          continue;
        }
        const auto own =
          static_cast<std::uint32_t>(core->State().mEngines.at(id).mActiveAttempts.size());
        const std::uint32_t foreign = mOptions.mOwnerQueue || held < own ? 0 : held - own;
        CarryOut(core->Handle(load_reported{ id, held, foreign }, mQueue.Now()));
      }
    }
    mQueue.After(mLoad.mLoadLag, [this] { ReportLoad(); });
  }

  void TellCache(engine_id aEngine, std::uint64_t aPrefix, bool aPresent)
  {
    if (std::uniform_real_distribution<double>(0, 1)(mRandom) < mOptions.mCacheGaps) {
      return;
    }
    mQueue.After(kCacheLag, [this, aEngine, aPrefix, aPresent] {
      for (auto& core : mCores) {
        CarryOut(core->Handle(cache_changed{ aEngine, aPrefix, aPresent }, mQueue.Now()));
      }
    });
  }

  void KillEngine()
  {
    mDecodes[0]->SetAlive(false);
    const engine_id id{ mLoad.mPrefillEngines + 1U };
    for (auto& [attempt, one] : mTruths) {
      if (!one.mEnded && one.mTokens > 0 && mDecodeOf[attempt] == id) {
        Tell(attempt, work_failed{ attempt, id, false, true });
      }
    }
  }

  // Life of a request -------------------------------------------------------------------------

  void Arrive(const attempt_id& aAttempt, const truth& aTruth)
  {
    mTruths[aAttempt] = aTruth;
    if (Counted(aTruth)) {
      ++ResultOf(aTruth).mArrived;
    }
    if (ClassOf(aTruth).mTargets.mRank == 0) {
      mResult.mArrivedBySecond[SecondOf(aTruth)] += 1;
    }
    const class_load& load = ClassOf(aTruth);
    request_arrived arrived{ aAttempt,       load.mName,       load.mTargets,
                             aTruth.mPrompt, load.mAnswerMost, {} };
    if (aTruth.mPrefix != 0) {
      arrived.mBlocks.push_back({ aTruth.mPrefix, load.mSharedTokens });
    }
    Tell(aAttempt, arrived);
    const duration patience = FromSeconds(kPatience * load.mTargets.mFirstTokenMs / 1000.0);
    mQueue.After(patience, [this, aAttempt] {
      if (mTruths[aAttempt].mTokens == 0) {
        Leave(aAttempt, true);
      }
    });
  }

  static std::size_t SecondOf(const truth& aTruth)
  {
    return static_cast<std::size_t>(ToSeconds(aTruth.mArrived));
  }

  void Leave(const attempt_id& aAttempt, bool aImpatient)
  {
    truth& one = mTruths[aAttempt];
    if (one.mEnded) {
      return;
    }
    one.mEnded = true;
    if (Counted(one)) {
      if (aImpatient) {
        ++ResultOf(one).mLeft;
      } else {
        --ResultOf(one).mArrived; // Nobody could have served it.
      }
    }
    (aImpatient ? mResult.mWasted : mResult.mCancelled) += std::exchange(one.mComputed, 0);
    Tell(aAttempt, request_cancelled{ aAttempt });
  }

  void Take(const start_prefill& aOrder)
  {
    mQueue.After(FrontendHop(aOrder.mAttempt) + mLoad.mHop, [this, aOrder] {
      truth& one = mTruths[aOrder.mAttempt];
      if (one.mEnded) {
        return;
      }
      mResult.mStarted += one.mRun == 0 ? 1 : 0;
      ++mResult.mAttempts;
      Waste(one);
      const std::uint64_t run = ++one.mRun;
      Prefill(aOrder.mEngine)
        .Read(aOrder.mAttempt,
              one.mPrompt + one.mTokens,
              one.mPrefix,
              ClassOf(one).mSharedTokens,
              aOrder.mPriority,
              [this, aOrder, run](std::uint32_t aComputed) {
                FinishPrefill(aOrder.mAttempt, run, aComputed);
              });
    });
  }

  void FinishPrefill(const attempt_id& aAttempt, std::uint64_t aRun, std::uint32_t aComputed)
  {
    truth& one = mTruths[aAttempt];
    mResult.mComputed += aComputed;
    if (one.mEnded || one.mRun != aRun) {
      mResult.mCancelled += aComputed;
      return;
    }
    one.mComputed = aComputed;
    one.mKvExpires = mQueue.Now() + mLoad.mKvLifetime;
    const std::uint32_t cached = one.mPrompt + one.mTokens - aComputed;
    const std::uint64_t bytes = one.mPrompt * mLoad.mKvBytesPerToken;
    mQueue.After(mLoad.mHop, [this, aAttempt, bytes, cached] {
      Tell(aAttempt, prefill_finished{ aAttempt, bytes, cached });
    });
  }

  void Waste(truth& aTruth) { mResult.mWasted += std::exchange(aTruth.mComputed, 0); }

  void Take(const start_chunk& aOrder)
  {
    mQueue.After(FrontendHop(aOrder.mAttempt) + mLoad.mHop, [this, aOrder] {
      truth& one = mTruths[aOrder.mAttempt];
      fake_decode& engine = Decode(aOrder.mEngine);
      if (one.mEnded) {
        return;
      }
      if (!engine.Hold(aOrder.mAttempt)) {
        FailChunk(aOrder, false);
        return;
      }
      mDecodeOf[aOrder.mAttempt] = aOrder.mEngine;
      if (aOrder.mOffset == 0 && mQueue.Now() >= one.mKvExpires) {
        engine.Free(aOrder.mAttempt);
        FailChunk(aOrder, true);
        return;
      }
      mLink.Send(aOrder.mBytes, [this, aOrder] { FinishChunk(aOrder); });
    });
  }

  void FailChunk(const start_chunk& aOrder, bool aLost)
  {
    if (aLost) {
      Waste(mTruths[aOrder.mAttempt]);
    }
    mQueue.After(mLoad.mHop, [this, aOrder, aLost] {
      Tell(aOrder.mAttempt, work_failed{ aOrder.mAttempt, aOrder.mEngine, !aLost, aLost });
    });
  }

  void FinishChunk(const start_chunk& aOrder)
  {
    truth& one = mTruths[aOrder.mAttempt];
    if (one.mEnded || !Decode(aOrder.mEngine).Holds(aOrder.mAttempt)) {
      return;
    }
    mQueue.After(mLoad.mHop,
                 [this, aOrder] { Tell(aOrder.mAttempt, chunk_finished{ aOrder.mAttempt }); });
    if (!aOrder.mLast) {
      return;
    }
    mQueue.After(2 * mLoad.mHop, [this, aOrder] {
      if (!mTruths[aOrder.mAttempt].mEnded && Decode(aOrder.mEngine).Holds(aOrder.mAttempt)) {
        Decode(aOrder.mEngine).Start(aOrder.mAttempt, [this, aOrder] {
          return GiveToken(aOrder.mAttempt);
        });
      }
    });
  }

  bool GiveToken(const attempt_id& aAttempt)
  {
    truth& one = mTruths[aAttempt];
    if (one.mEnded) {
      return false;
    }
    one.mComputed = 0; // Used.
    const instant now = mQueue.Now() + mLoad.mHop;
    if (one.mTokens == 0) {
      one.mFirst = now;
    } else if (now - one.mLast >
               std::chrono::milliseconds(ClassOf(one).mTargets.mBetweenTokensMs)) {
      ++one.mSlowGaps;
    }
    one.mLast = now;
    if (++one.mTokens < one.mAnswer) {
      return true;
    }
    one.mEnded = true;
    Judge(one);
    mQueue.After(mLoad.mHop, [this, aAttempt, tokens = one.mTokens] {
      Tell(aAttempt, stream_finished{ aAttempt, tokens });
    });
    return false;
  }

  void Judge(const truth& aTruth)
  {
    const priority_class_spec& targets = ClassOf(aTruth).mTargets;
    const bool first =
      aTruth.mFirst - aTruth.mArrived <= std::chrono::milliseconds(targets.mFirstTokenMs);
    const bool gaps = aTruth.mSlowGaps <= kSlowGapShare * aTruth.mTokens;
    if (first && gaps && targets.mRank == 0) {
      mResult.mGoodBySecond[SecondOf(aTruth)] += 1;
    }
    if (Counted(aTruth)) {
      ++(first && gaps ? ResultOf(aTruth).mGood : ResultOf(aTruth).mLate);
    }
  }

  void Take(const refuse_request& aOrder)
  {
    mQueue.After(FrontendHop(aOrder.mAttempt), [this, aOrder] {
      truth& one = mTruths[aOrder.mAttempt];
      if (one.mEnded) {
        return;
      }
      one.mEnded = true;
      Waste(one);
      if (!Counted(one)) {
        return;
      }
      ++ResultOf(one).mRefused;
      const double waited = ToSeconds(mQueue.Now() - one.mArrived) * 1000.0;
      if (waited <= 2 * ToSeconds(mLoad.mHop) * 1000.0 + 0.001) {
        mResult.mSlowestRefusalMs = std::max(mResult.mSlowestRefusalMs, waited);
      } else {
        ++mResult.mLateRefusals;
      }
    });
  }

  void Take(const cancel_work& aOrder)
  {
    mQueue.After(mLoad.mHop, [this, aOrder] {
      if (IsPrefill(aOrder.mEngine)) {
        Prefill(aOrder.mEngine).Cancel(aOrder.mAttempt);
      } else {
        Decode(aOrder.mEngine).Free(aOrder.mAttempt);
      }
    });
  }

  const workload& mLoad;                                ///< The workload.
  const run_options& mOptions;                          ///< What the run is made of.
  event_queue mQueue;                                   ///< Virtual time.
  std::mt19937_64 mRandom;                              ///< Draws requests.
  fake_link mLink;                                      ///< Between the pools.
  std::vector<std::unique_ptr<core_type>> mCores;       ///< The decision cores.
  std::vector<std::unique_ptr<fake_prefill>> mPrefills; ///< Ids from 1.
  std::vector<std::unique_ptr<fake_decode>> mDecodes;   ///< Ids after those.
  std::unordered_map<attempt_id, truth> mTruths;        ///< Requests as they are.
  std::unordered_map<attempt_id, engine_id> mDecodeOf;  ///< Where each decodes.
  run_result mResult;                                   ///< What the run gives.
};

} // namespace

template<engine_chooser Chooser>
run_result
RunPolicy(const workload& aLoad, const run_options& aOptions)
{
  return policy_run<Chooser>(aLoad, aOptions).Run();
}

template run_result
RunPolicy<cost_chooser>(const workload&, const run_options&);
template run_result
RunPolicy<round_robin_chooser>(const workload&, const run_options&);
template run_result
RunPolicy<least_loaded_chooser>(const workload&, const run_options&);

} // namespace dunehook::bench
