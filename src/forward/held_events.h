/**
 * @file held_events.h
 * The events of a request's stream over all its runs, with the memory that an event takes until
 * it's whole.
 */
#pragma once

#include "forward/event_splitter.h"
#include "forward/run_break.h"
#include "runners/upstream_connection.h"
#include "state/held_answers.h"

#include <optional>

namespace dunehook {

/** Splits the events of a stream; what it holds of an event counts with that of all streams. */
class held_events : public event_splitter
{
public:
  explicit held_events(held_answers& aAll)
    : mAll(aAll)
  {
  }

  /** Begins with a run's events. @param aConnection closed if there's no room for an event. */
  void BeginRun(upstream_ptr aConnection);
  /** As of event_splitter. @param aNow the time now. */
  std::string Feed(std::string_view aBytes, instant aNow);
  void DropPartialEvent();

  /**
   * @param aRead the outcome of the last read.
   * @param aBefore events of earlier runs.
   * @return why the run has broken off, if it has. A response that ends with its connection is
   * complete only between two events.
   */
  std::optional<run_break> BreakOf(const result<bool>& aRead,
                                   body_framing aFraming,
                                   std::uint32_t aBefore) const;

private:
  held_answers& mAll;               ///< Counts what all streams hold.
  std::optional<held_answer> mHeld; ///< Of the current run; none before the first.
};

} // namespace dunehook
