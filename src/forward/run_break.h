/**
 * @file run_break.h
 * Why a run at an engine ended without a complete response.
 */
#pragma once

#include <string_view>

namespace dunehook {

/** Why a run broke off. */
enum class run_break
{
  eConnectionLost,   ///< The connection ended before the response did.
  eEndedInsideEvent, ///< A response that ends with its connection ended within an event.
  eEndedBeforeEvent, ///< A response that ends with its connection had no event.
  eTimedOut,         ///< The time limit passed.
  eWrongAnswer,      ///< The response isn't the runner's own to this request.
  eOverMemory,       ///< There was no room for the rest of an event.
};

/** @return whether the runner closed or lost the connection, as one that crashes does. */
constexpr bool
IsConnectionLoss(run_break aBreak)
{
  return aBreak == run_break::eConnectionLost || aBreak == run_break::eEndedInsideEvent ||
         aBreak == run_break::eEndedBeforeEvent;
}

/** @return the name used in logs. */
constexpr std::string_view
BreakName(run_break aBreak)
{
  switch (aBreak) {
    case run_break::eConnectionLost:
      return "connection_lost";
    case run_break::eEndedInsideEvent:
      return "ended_inside_event";
    case run_break::eEndedBeforeEvent:
      return "ended_before_event";
    case run_break::eTimedOut:
      return "timed_out";
    case run_break::eWrongAnswer:
      return "wrong_answer";
    case run_break::eOverMemory:
      return "over_memory";
  }
  return "unknown";
}

} // namespace dunehook
