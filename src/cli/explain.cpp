/**
 * @file explain.cpp
 * The story of a request.
 */
#include "cli/explain_func.h"

#include "core/text_func.h"

#include <algorithm>
#include <functional>
#include <istream>
#include <map>
#include <set>

namespace dunehook {

namespace {

using json = nlohmann::json;

/** Changes of a runner this long before a try are part of its story, in seconds. */
constexpr double kContextSeconds = 10.0;
/** A daemon knows of a runner's new life so long after the former one's end: a read of the list and
 * the time in which the runner starts. */
constexpr double kRebirthKnownSeconds = 3.0;

std::string
Text(const json& aFields, const char* aName)
{
  const auto found = aFields.find(aName);
  if (found == aFields.end()) {
    return "?";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

/** @return what a reason of a refusal or failure means. */
std::string
ReasonText(const std::string& aReason)
{
  static const std::map<std::string, std::string> sTexts{
    { "no_engine", "no engine could be given work" },
    { "no_memory", "no decode engine would have memory for it in time" },
    { "too_late", "every prefill engine was so far behind that its first event would be late" },
    { "prefill_failed", "the engine that was to read the prompt did not" },
    { "handoff_refused", "the decode engine turned away the prompt that was read for it" },
    { "connection_lost", "the connection was lost" },
    { "ended_inside_event",
      "the connection closed inside an event, and nothing else marks the end" },
    { "ended_before_event",
      "the connection closed before any event, and nothing else marks the end" },
    { "timed_out", "the time limit passed" },
    { "wrong_answer", "the answer was not the engine's own to this request" },
    { "generation_broke", "the decode engine broke off and the request may not run again" },
    { "answer_broken", "the runner's answer was cut or not its own, and it may have run" },
    { "runner_silent", "the runner did not answer within the time limit, and it may have run" },
    { "runner_refused", "the runner took no work, and the request may go to no other" },
    { "relay_lost", "the daemon that it was passed to gave no answer, and it may have run" },
    { "no_runner", "no runner of the service could be given work" },
    { "runner_limit",
      "every runner that could serve it had got the requests that it said it accepts" },
    { "unreachable", "no connection to a runner could be made in time" },
    { "no_route", "no route of the configuration in force matches its host and path" },
    { "quarantined", "runners crashed under it before, so it was sent to no other" },
    { "software_gone", "no engine of the software version that began its stream is left" },
    { "starting", "the daemon had just started and knew no configuration or no runners" },
    { "stopping", "the daemon was about to end and took no more requests" },
  };
  const auto found = sTexts.find(aReason);
  return found == sTexts.end() ? aReason : found->second;
}

/** @return a line in plain words. */
std::string
Describe(const log_line& aLine)
{
  const json& fields = aLine.mFields;
  const auto text = [&](const char* aName) { return Text(fields, aName); };
  using describer = std::function<std::string()>;
  const std::map<std::string, describer> describers{
    { "request_answered",
      [&] {
        return Join("runner ",
                    text("runner"),
                    " answered ",
                    text("status"),
                    " after ",
                    text("ms"),
                    " ms, send ",
                    text("sends"));
      } },
    { "request_relayed",
      [&] {
        const std::string status = text("status");
        return Join("passed to the daemon at ",
                    text("daemon"),
                    ", since no runner was reached from here; ",
                    status == "0" ? "no answer came" : "it answered " + status,
                    " after ",
                    text("ms"),
                    " ms");
      } },
    { "answer_lost",
      [&] {
        return Join("the answer of runner ", text("runner"), " was lost: ", text("outcome"));
      } },
    { "request_given_up",
      [&] {
        return Join("given up with ",
                    text("status"),
                    " after ",
                    text("held_ms"),
                    " ms and ",
                    text("sends"),
                    " sends: ",
                    ReasonText(text("reason")));
      } },
    { "stream_not_taken_up",
      [&] {
        return Join("refused: which software began the stream of attempt \"",
                    text("resumes"),
                    "\" is not known, and several versions serve or have served");
      } },
    { "retry_granted",
      [&] {
        return Join(text("sends"),
                    " more sends to ",
                    text("service"),
                    " were granted, paid for by ",
                    text("by"));
      } },
    { "retry_denied",
      [&] {
        return Join(
          text("sends"), " more sends to ", text("service"), " were denied by ", text("by"));
      } },
    { "reservation_refused",
      [&] {
        return Join("engine ", text("runner"), " did not reserve ", text("tokens"), " tokens");
      } },
    { "prefill_repeated",
      [&] {
        return Join("engine ", text("runner"), " was asked again for a read whose answer was lost");
      } },
    { "prefill_failed",
      [&] {
        return Join("engine ",
                    text("runner"),
                    " did not read the prompt: ",
                    text("outcome"),
                    ", status ",
                    text("status"));
      } },
    { "handoff_failed",
      [&] {
        return Join("engine ",
                    text("runner"),
                    " did not take the prompt over: ",
                    text("outcome"),
                    ", status ",
                    text("status"));
      } },
    { "generation_started",
      [&] {
        return Join("engine ",
                    text("runner"),
                    " sent the first event after ",
                    text("first_ms"),
                    " ms; ",
                    text("expected_ms"),
                    " were expected");
      } },
    { "generation_broke",
      [&] {
        const std::string cause = text("cause"); // Former versions name none.
        const std::string why = cause == "?" ? "" : ": " + ReasonText(cause);
        return Join("engine ", text("runner"), " broke off after ", text("events"), " events", why);
      } },
    { "generation_served",
      [&] {
        const bool marked = text("framing") != "connection";
        return Join("served whole after ",
                    text("ms"),
                    " ms, longest pause ",
                    text("longest_gap_ms"),
                    " ms",
                    marked ? "" : "; only the close of the connection marks its end");
      } },
    { "generation_given_up",
      [&] {
        return Join("given up with ",
                    text("status"),
                    " after ",
                    text("held_ms"),
                    " ms, to come back in ",
                    text("come_back_ms"),
                    " ms: ",
                    ReasonText(text("reason")));
      } },
    { "caller_left", [&] { return Join("the caller left after ", text("ms"), " ms"); } },
    { "no_route",
      [&] { return Join("no route for ", text("path"), " in version ", text("config")); } },
    { "not_started", [&] { return std::string("refused, the daemon was starting"); } },
    { "not_taken", [&] { return std::string("refused, the daemon was about to end"); } },
    { "runner_changed",
      [&] {
        return Join("runner ",
                    text("runner"),
                    ": listed ",
                    text("listed"),
                    ", leaving ",
                    text("leaving"),
                    ", role ",
                    text("role"));
      } },
    { "runner_reborn",
      [&] { return Join("runner ", text("runner"), " began anew: what ran there is lost"); } },
    { "stood_still",
      [&] { return Join("its daemon stood still for ", text("ms"), " ms before this"); } },
    { "role_ordered",
      [&] { return Join("runner ", text("runner"), " was ordered to ", text("role")); } },
  };
  const auto found = describers.find(aLine.mEvent);
  return found == describers.end() ? aLine.mEvent : found->second();
}

/** @return whether a daemon stood still between two lines of a request. */
bool
IsStandstill(const log_line& aLine, const std::vector<const log_line*>& aOwn)
{
  if (aLine.mEvent != "stood_still") {
    return false;
  }
  const double began = aLine.mTime - aLine.mFields.value("ms", 0.0) / 1000.0;
  const auto before = [&](const log_line* aOne) {
    return aOne->mHost == aLine.mHost && aOne->mTime <= aLine.mTime;
  };
  const auto after = [&](const log_line* aOne) {
    return aOne->mHost == aLine.mHost && aOne->mTime >= began;
  };
  return std::any_of(aOwn.begin(), aOwn.end(), before) &&
         std::any_of(aOwn.begin(), aOwn.end(), after);
}

/** @return why a try ended, from its last line. */
std::string
CauseOf(const log_line& aLast)
{
  if (aLast.mEvent == "request_given_up" || aLast.mEvent == "generation_given_up") {
    return ReasonText(Text(aLast.mFields, "reason"));
  }
  if (aLast.mEvent == "generation_broke") {
    return ReasonText("generation_broke");
  }
  return Describe(aLast);
}

/** @return ids of all tries with the prompt of @p aRequest. */
std::set<std::string>
TriesOf(const std::vector<log_line>& aLines, const std::string& aRequest)
{
  std::set<std::string> prompts;
  for (const log_line& line : aLines) {
    if (line.mRequest == aRequest && line.mFields.contains("prompt_key")) {
      prompts.insert(Text(line.mFields, "prompt_key"));
    }
  }
  std::set<std::string> tries{ aRequest };
  for (const log_line& line : aLines) {
    const bool same =
      line.mFields.contains("prompt_key") && prompts.count(Text(line.mFields, "prompt_key")) > 0;
    if (same && !line.mRequest.empty()) {
      tries.insert(line.mRequest);
    }
  }
  return tries;
}

/** @return whether a line tells of a runner that the tries met, shortly before, or of a standstill.
 */
bool
IsContext(const log_line& aLine, const std::vector<const log_line*>& aOwn)
{
  if (IsStandstill(aLine, aOwn)) {
    return true;
  }
  const bool reborn = aLine.mEvent == "runner_reborn"; // It's known some time after the loss.
  if (aLine.mEvent != "runner_changed" && aLine.mEvent != "role_ordered" && !reborn) {
    return false;
  }
  const double latest = reborn ? -kRebirthKnownSeconds : 0.0;
  return std::any_of(aOwn.begin(), aOwn.end(), [&](const log_line* aOne) {
    const double before = aOne->mTime - aLine.mTime;
    return aOne->mHost == aLine.mHost && before >= latest && before <= kContextSeconds &&
           Text(aOne->mFields, "runner") == Text(aLine.mFields, "runner");
  });
}

/**
 * @return 1 for hosts that only saw the caller come back after a refusal, 0 for the others: clocks
 *   of hosts differ, but a return comes after the first try.
 */
std::map<std::string, int>
RanksOfHosts(const std::vector<const log_line*>& aOwn)
{
  std::set<std::string> returned;
  for (const log_line* const line : aOwn) {
    if (line->mFields.value("returned", false)) {
      returned.insert(line->mRequest);
    }
  }
  std::map<std::string, int> ranks;
  for (const log_line* const line : aOwn) {
    const int rank = returned.count(line->mRequest) > 0 ? 1 : 0;
    const auto [place, fresh] = ranks.try_emplace(line->mHost, rank);
    place->second = std::min(place->second, rank);
  }
  return ranks;
}

} // namespace

std::vector<log_line>
ReadLogLines(std::istream& aInput)
{
  std::vector<log_line> lines;
  std::string text;
  while (std::getline(aInput, text)) {
    const std::size_t brace = text.find('{');
    if (brace == std::string::npos) {
      continue;
    }
    json fields = json::parse(text.substr(brace), nullptr, false);
    if (!fields.is_object() || !fields.contains("event")) {
      continue;
    }
    log_line line;
    line.mTime = fields.value("time", 0.0);
    line.mHost = fields.value("host", "");
    line.mEvent = fields.value("event", "");
    line.mRequest = fields.value("request", "");
    line.mFields = std::move(fields);
    line.mPlace = lines.size();
    lines.push_back(std::move(line));
  }
  return lines;
}

request_story
ExplainRequest(const std::vector<log_line>& aLines, const std::string& aRequest)
{
  const std::set<std::string> tries = TriesOf(aLines, aRequest);
  std::vector<const log_line*> own;
  for (const log_line& line : aLines) {
    if (tries.count(line.mRequest) > 0) {
      own.push_back(&line);
    }
  }
  std::vector<const log_line*> told = own;
  for (const log_line& line : aLines) {
    if (IsContext(line, own)) {
      told.push_back(&line);
    }
  }
  const std::map<std::string, int> ranks = RanksOfHosts(own);
  std::stable_sort(told.begin(), told.end(), [&](const log_line* aLeft, const log_line* aRight) {
    const int left = ranks.at(aLeft->mHost);
    const int right = ranks.at(aRight->mHost);
    return left != right ? left < right : aLeft->mTime < aRight->mTime;
  });
  request_story story;
  std::map<std::string, double> firstOf;
  const log_line* last = nullptr;
  const log_line* standstill = nullptr;
  const log_line* reborn = nullptr;
  for (const log_line* const line : told) {
    standstill = line->mEvent == "stood_still" ? line : standstill;
    reborn = line->mEvent == "runner_reborn" ? line : reborn;
    const double first = firstOf.try_emplace(line->mHost, line->mTime).first->second;
    story.mSteps.push_back({ line->mTime - first, line->mHost, line->mRequest, Describe(*line) });
    last = line->mRequest == aRequest ? line : last;
  }
  story.mCause = last == nullptr ? "" : CauseOf(*last);
  if (standstill != nullptr && last != nullptr && last->mEvent == "caller_left") {
    story.mCause += "; " + Describe(*standstill);
  }
  if (reborn != nullptr && last != nullptr && last->mFields.value("status", 0) >= 500) {
    story.mCause += "; " + Describe(*reborn);
  }
  return story;
}

nlohmann::json
ToJson(const request_story& aStory)
{
  json steps = json::array();
  for (const story_step& step : aStory.mSteps) {
    steps.push_back({ { "after", step.mAfter },
                      { "host", step.mHost },
                      { "request", step.mRequest },
                      { "text", step.mText } });
  }
  return { { "steps", steps }, { "cause", aStory.mCause } };
}

} // namespace dunehook
