/**
 * @file permit_bucket.h
 * Permits that the grantor of one runner has to give. Part of the rate is kept for the less urgent
 * requests while more urgent ones want more than there is, so that none is starved. Pure.
 */
#pragma once

#include "core/clock_type.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace dunehook {

/** Share of the rate that stays for less urgent requests while more urgent ones are denied. */
inline constexpr double kLessUrgentShare = 0.2;
/** Permits saved up while few are asked for: the rate over this time, and one. */
inline constexpr duration kPermitSaving = std::chrono::milliseconds(250);
/** Requests of a rank count as wanting for this long after one was denied. */
inline constexpr duration kDeniedRankMemory = std::chrono::milliseconds(1000);

/** Permits of one runner. */
class permit_bucket
{
public:
  /**
   * @param aNow when the daemon began to grant; it has no permits then.
   * @param aSaving permits are saved up for this long.
   */
  explicit permit_bucket(instant aNow, duration aSaving = kPermitSaving)
    : mFilledAt(aNow)
    , mSaving(aSaving)
  {
  }

  /** Fills the bucket. @param aRate permits a second since the last call. */
  void Fill(double aRate, instant aNow)
  {
    const double made = aRate * ToSeconds(std::max(duration{ 0 }, aNow - mFilledAt));
    mFilledAt = std::max(mFilledAt, aNow);
    const double saved = aRate * ToSeconds(mSaving);
    const double general = mGeneral + made * (1.0 - kLessUrgentShare);
    const double kept = mKept + made * kLessUrgentShare;
    const double mostGeneral = 1.0 + saved * (1.0 - kLessUrgentShare);
    const double mostKept = 1.0 + saved * kLessUrgentShare;
    // What one part has no room for goes to the other.
    const double toKept = std::max(0.0, general - mostGeneral);
    const double toGeneral = std::max(0.0, kept - mostKept);
    mGeneral = std::min(mostGeneral, general + toGeneral);
    mKept = std::min(mostKept, kept + toKept);
  }

  /**
   * Takes permits. One is enough for several, which are then owed: the parts of a generation are
   * worth nothing by themselves.
   * @return whether they were taken.
   */
  bool Take(std::uint32_t aPermits, std::uint32_t aRank, instant aNow)
  {
    const bool moreUrgent = IsWanting(0, aRank, aNow);
    const bool lessUrgent = IsWanting(aRank + 1, kRankLimit, aNow);
    if (!moreUrgent && mGeneral >= 1.0) {
      mGeneral -= aPermits;
      return true;
    }
    if ((moreUrgent || !lessUrgent) && mKept >= 1.0) {
      mKept -= aPermits;
      return true;
    }
    mDeniedAt[std::min(aRank, kRankLimit - 1)] = aNow;
    return false;
  }

  /** Counts sends that were made without asking. */
  void Charge(std::uint32_t aPermits) { mGeneral = std::max(-kMaxOwed, mGeneral - aPermits); }

private:
  /** Ranks are below this. */
  static constexpr std::uint32_t kRankLimit = 16;
  /** Most permits owed for sends without asking, so that these alone never stop all others. */
  static constexpr double kMaxOwed = 5.0;

  /** @return whether a rank from @p aFrom to below @p aUntil was denied lately. */
  bool IsWanting(std::uint32_t aFrom, std::uint32_t aUntil, instant aNow) const
  {
    return std::any_of(mDeniedAt.begin(), mDeniedAt.end(), [&](const auto& aRow) {
      return aRow.first >= aFrom && aRow.first < aUntil && aNow - aRow.second < kDeniedRankMemory;
    });
  }

  double mGeneral = 0.0; ///< Permits for any request, the more urgent first; may be owed.
  double mKept = 0.0;    ///< Permits kept for the less urgent; may be owed.
  instant mFilledAt;     ///< When the bucket was last filled.
  duration mSaving;      ///< Permits are saved up for this long.
  std::map<std::uint32_t, instant> mDeniedAt; ///< When a rank was last denied; kRankLimit rows.
};

} // namespace dunehook
