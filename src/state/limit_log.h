/**
 * @file limit_log.h
 * Log lines about the limits that runners name.
 */
#pragma once

#include "limits/limit_table.h"

#include <set>
#include <string>

namespace dunehook {

/** A changed limit is logged if it differs from the last one logged by this share. */
inline constexpr double kLoggedLimitChange = 0.1;

/** Logs when a limit begins, changes and ends, each once. */
class limit_log
{
public:
  /**
   * Logs a change of a runner's limit.
   * @param aLimit requests a second; none after the end.
   */
  void Note(service_runner_id aRunner,
            const std::string& aName,
            limit_change aChange,
            std::optional<double> aLimit);
  /** Logs that a runner's limit isn't a rate, once a runner. */
  void NoteUnreadable(service_runner_id aRunner, const std::string& aName);
  /** Forgets runners that no longer exist. */
  void Prune(const std::function<bool(service_runner_id)>& aExists);

private:
  std::map<service_runner_id, double> mLogged; ///< Last limits logged, of those in force.
  std::set<service_runner_id> mUnreadable;     ///< Runners whose unreadable limit was logged.
};

} // namespace dunehook
