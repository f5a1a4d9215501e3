/**
 * @file limit_table.h
 * The rate limits that runners name in their answers, as this daemon knows them. It does no I/O:
 * the caller passes in what answers and other daemons say, and the time.
 *
 * Answers overtake one another. A runner writes an answer after its request was sent and before it
 * is received, so one answer is known to be newer than another only if its request was sent after
 * the other was received. Among those that may be the newest, the lowest limit counts.
 */
#pragma once

#include "limits/limit_type.h"

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace dunehook {

/** After a limit has ended, permits are still needed for this long, at a rate that doubles each
 * kReleaseDoubling: otherwise all daemons would turn to the runner at once. */
inline constexpr duration kReleaseTime = std::chrono::seconds(3);
inline constexpr duration kReleaseDoubling = std::chrono::milliseconds(500);
/** Rate at which the release of a lower limit begins, in requests a second. */
inline constexpr double kMinReleaseRate = 1.0;
/** Lowest rate of sends, in requests a second: a runner that is sent nothing can't say that its
 * limit has ended. */
inline constexpr double kMinLimitedRate = 0.2;
/** Most answers kept of a runner that may be the newest. */
inline constexpr std::size_t kMaxAnswersKept = 16;

/** What a report changed. */
enum class limit_change
{
  eNone,    ///< Nothing.
  eLearned, ///< The runner has a limit now.
  eChanged, ///< It has another limit.
  eEnded,   ///< It has none any more.
};

/** Known limits, by incarnation of the runner. */
class limit_table
{
public:
  /**
   * Records an answer that names a limit.
   * @param aSentAt when its request was sent. @param aNow when it was received.
   */
  limit_change NoteNamed(service_runner_id aRunner,
                         double aPerSecond,
                         instant aSentAt,
                         instant aNow);
  /** Records an answer of the runner itself that names none. */
  limit_change NoteNotNamed(service_runner_id aRunner, instant aSentAt, instant aNow);
  /** Applies what another daemon knows. */
  limit_change Apply(const limit_notice& aNotice, instant aNow);
  /** Removes the limits of runners that no longer exist. */
  void Prune(const std::function<bool(service_runner_id)>& aExists);

  /** @return whether a send to the runner needs a permit. */
  bool NeedsPermit(service_runner_id aRunner, instant aNow) const;
  /** @return the limit that the runner names, if it names one. */
  std::optional<double> LimitOf(service_runner_id aRunner) const;
  /** @return requests a second that may be sent to a runner that needs permits. */
  double RateOf(service_runner_id aRunner, instant aNow) const;
  /** @return what this daemon knows of a runner's limit, to be sent to another one. */
  std::optional<limit_notice> NoticeOf(service_runner_id aRunner, instant aNow) const;
  /** @return what it knows of the runners that need permits, and of limits that ended lately. */
  std::vector<limit_notice> Notices(instant aNow) const;
  /** @return the limits of the runners that name one. */
  std::map<service_runner_id, double> InForce() const;

private:
  /** An answer that named a limit. */
  struct named_answer
  {
    double mPerSecond = 0.0; ///< The limit.
    instant mSeenAt{ 0 };    ///< When the answer was received.
  };
  /** Knowledge of one runner. */
  struct limit_row
  {
    std::deque<named_answer> mAnswers; ///< Those that may be the newest, in order of receipt.
    double mPerSecond = 0.0;           ///< Lowest limit among mAnswers; the last one after the end.
    instant mSeenAt{ 0 };              ///< When the last answer that named one was received.
    std::optional<instant> mEndedAt;   ///< When the limit ended; none while it's in force.
    instant mEndSentAt{ 0 };           ///< When the request was sent whose answer named none.
  };

  limit_change Record(service_runner_id aRunner,
                      double aPerSecond,
                      instant aSentAt,
                      instant aSeenAt);
  static limit_change End(limit_row& aRow, instant aSentAt, instant aNow);

  std::unordered_map<service_runner_id, limit_row> mRows; ///< By incarnation.
};

} // namespace dunehook
