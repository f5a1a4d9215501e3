/**
 * @file held_events.cpp
 * Counts what is held of events, and tells why a run broke off.
 */
#include "forward/held_events.h"

namespace dunehook {

void
held_events::BeginRun(upstream_ptr aConnection)
{
  mHeld.emplace(mAll, [connection = std::move(aConnection)] { connection->Abort(); });
}

std::string
held_events::Feed(std::string_view aBytes, instant aNow)
{
  std::string events = event_splitter::Feed(aBytes);
  if (mHeld) {
    if (!events.empty()) {
      mHeld->Clear();
    }
    mHeld->Set(PartialEvent().empty() ? 0 : PartialEvent().capacity(), aNow);
  }
  return events;
}

void
held_events::DropPartialEvent()
{
  event_splitter::DropPartialEvent();
  if (mHeld) {
    mHeld->Clear();
  }
}

std::optional<run_break>
held_events::BreakOf(const result<bool>& aRead, body_framing aFraming, std::uint32_t aBefore) const
{
  const bool ended = aRead && !aRead.value();
  if (!ended && mHeld && mHeld->IsGivenUp()) {
    return run_break::eOverMemory;
  }
  if (!aRead && aRead.error() != errc::eWrongAnswer) {
    return aRead.error() == errc::eConnectionLost ? run_break::eConnectionLost
                                                  : run_break::eTimedOut;
  }
  if (!aRead || IsOverlong()) {
    return run_break::eWrongAnswer;
  }
  if (aRead.value() || ProvesEnd(aFraming)) {
    return std::nullopt;
  }
  if (InsideEvent()) {
    return run_break::eEndedInsideEvent;
  }
  return Count() == aBefore ? std::optional(run_break::eEndedBeforeEvent) : std::nullopt;
}

} // namespace dunehook
