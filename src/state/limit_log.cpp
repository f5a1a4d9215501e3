/**
 * @file limit_log.cpp
 * Log lines about the limits that runners name.
 */
#include "state/limit_log.h"

#include "core/log_func.h"

#include <cmath>

namespace dunehook {

namespace {

/** @return the change's name in log lines. */
std::string_view
ChangeName(limit_change aChange)
{
  switch (aChange) {
    case limit_change::eNone:
      return "none";
    case limit_change::eLearned:
      return "began";
    case limit_change::eChanged:
      return "changed";
    case limit_change::eEnded:
      return "ended";
  }
  return "unknown";
}

} // namespace

void
limit_log::Note(service_runner_id aRunner,
                const std::string& aName,
                limit_change aChange,
                std::optional<double> aLimit)
{
  const auto logged = mLogged.find(aRunner);
  const double former = logged == mLogged.end() ? 0.0 : logged->second;
  const double limit = aLimit.value_or(0.0);
  const bool small = std::abs(limit - former) <= kLoggedLimitChange * former;
  if (aChange == limit_change::eNone || (aChange == limit_change::eChanged && small)) {
    return;
  }
  LogEvent(log_level::eInfo,
           "runner_limit",
           { { "runner", aName },
             { "change", ChangeName(aChange) },
             { "per_second", limit },
             { "former", former } });
  if (aLimit) {
    mLogged[aRunner] = limit;
  } else {
    mLogged.erase(aRunner);
  }
}

void
limit_log::NoteUnreadable(service_runner_id aRunner, const std::string& aName)
{
  if (mUnreadable.insert(aRunner).second) {
    LogEvent(log_level::eWarning, "limit_unreadable", { { "runner", aName } });
  }
}

void
limit_log::Prune(const std::function<bool(service_runner_id)>& aExists)
{
  std::erase_if(mLogged, [&](const auto& aRow) { return !aExists(aRow.first); });
  std::erase_if(mUnreadable, [&](service_runner_id aRunner) { return !aExists(aRunner); });
}

} // namespace dunehook
