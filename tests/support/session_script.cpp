/**
 * @file session_script.cpp
 * Replays a session through the placement core.
 */
#include "tests/support/session_script.h"

#include "core/hash_func.h"
#include "core/text_func.h"
#include "decide/placement_core.h"

#include <nlohmann/json.hpp>

#include <map>
#include <sstream>

namespace dunehook::test {

namespace {

using json = nlohmann::json;

/** State of a replay. Runs a tick every 10 ms between the events. */
class replay
{
public:
  void HandleLine(const json& aLine)
  {
    const instant now = std::chrono::milliseconds(aLine.value("at", std::int64_t{ 0 }));
    while (mNextTick < now) {
      Print(mCore.Tick(mNextTick), mNextTick);
      mNextTick += std::chrono::milliseconds(10);
    }
    if (aLine.contains("class_targets")) {
      ReadTargets(aLine["class_targets"]);
    } else if (aLine.contains("event")) {
      Print(mCore.Handle(ReadEvent(aLine), now), now);
    }
  }

  std::string mOut; ///< Orders and decision records so far.

private:
  void ReadTargets(const json& aTargets)
  {
    for (const auto& [name, spec] : aTargets.items()) {
      finding_list findings;
      mTargets[name] = std::get<priority_class_spec>(
        ParseSpec(resource_kind::ePriorityClass, spec, findings).value());
    }
  }

  engine_id Engine(const json& aLine)
  {
    const auto name = aLine.at("engine").get<std::string>();
    const auto [row, fresh] = mEngines.try_emplace(name, engine_id{ mEngines.size() + 1 });
    return row->second;
  }

  static attempt_id Attempt(const json& aLine)
  {
    return { { aLine.value("daemon", std::uint64_t{ 1 }) },
             aLine.value("request", std::uint64_t{ 0 }) };
  }

  decide_event ReadEvent(const json& aLine)
  {
    const auto type = aLine.at("event").get<std::string>();
    if (type == "engine") {
      const bool prefill = aLine.at("role") == "prefill";
      return engine_updated{ { Engine(aLine),
                               aLine.at("engine").get<std::string>(),
                               prefill ? runner_role::ePrefill : runner_role::eDecode,
                               aLine.value("slots", 20U),
                               aLine.value("rate", 8000.0),
                               aLine.value("leaving", false) } };
    }
    if (type == "arrived") {
      request_arrived arrived{ Attempt(aLine),
                               aLine.at("class").get<std::string>(),
                               {},
                               aLine.at("prompt").get<std::uint32_t>(),
                               aLine.value("max", 60U),
                               {} };
      arrived.mTargets = mTargets.at(arrived.mClass);
      if (aLine.contains("shared")) {
        const auto shared = aLine["shared"].get<std::string>();
        arrived.mBlocks.push_back({ HashBytes(shared), aLine.value("shared_tokens", 0U) });
      }
      return arrived;
    }
    if (type == "prefilled") {
      return prefill_finished{ Attempt(aLine),
                               aLine.at("bytes").get<std::uint64_t>(),
                               aLine.value("cached", 0U) };
    }
    if (type == "chunk") {
      return chunk_finished{ Attempt(aLine) };
    }
    if (type == "finished") {
      return stream_finished{ Attempt(aLine), aLine.value("tokens", 0U) };
    }
    if (type == "failed") {
      return work_failed{
        Attempt(aLine), Engine(aLine), aLine.value("refused", false), aLine.value("kv_lost", false)
      };
    }
    if (type == "cancelled") {
      return request_cancelled{ Attempt(aLine) };
    }
    if (type == "daemon_gone") {
      return incarnation_ended{ { aLine.value("daemon", std::uint64_t{ 1 }) } };
    }
    if (type == "gone") {
      return engine_removed{ Engine(aLine) };
    }
    throw std::runtime_error("unknown event " + type);
  }

  void Print(const tick_result& aResult, instant aNow)
  {
    const std::string at = Join(aNow.count() / 1000, "ms ");
    for (const decision_record& record : aResult.mRecords) {
      mOut += at + "decision " + ToJson(record).dump() + "\n";
    }
    for (const decide_order& order : aResult.mOrders) {
      mOut += at + "order " + Describe(order) + "\n";
    }
  }

  placement_core<cost_chooser> mCore{ cell_settings{}, 7 }; ///< The core under test.
  std::map<std::string, priority_class_spec>
    mTargets;                                ///< Targets of the script's priority classes, by name.
  std::map<std::string, engine_id> mEngines; ///< Engine ids by name, assigned from 1.
  instant mNextTick{ 0 };                    ///< Time of the next tick.
};

} // namespace

std::string
ReplaySession(const std::string& aScript)
{
  replay session;
  std::istringstream lines(aScript);
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.front() != '#') {
      session.HandleLine(json::parse(line));
    }
  }
  return session.mOut;
}

} // namespace dunehook::test
