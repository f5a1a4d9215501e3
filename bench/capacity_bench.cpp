/**
 * @file capacity_bench.cpp
 * Measures the slopes behind docs/CAPACITY.md: heartbeats by daemons, decisions by engines, the
 * fold by resources, messages between frontend and owner. Prints one CSV row a measurement.
 */
#include "control/message_func.h"
#include "decide/placement_core.h"
#include "membership/member_base.h"
#include "peer/rpc_dispatcher.h"
#include "resources/replicated_state_base.h"

#include <absl/strings/str_format.h>

#include <ctime>
#include <iostream>
#include <malloc.h>
#include <memory>

namespace dunehook::bench {
namespace {

using namespace std::chrono_literals;

/** @return processor time of this process, in microseconds. */
double
CpuMicros()
{
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

/** @return bytes in use on the heap. */
double
HeapBytes()
{
  const struct mallinfo2 info = ::mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void
Print(const std::string& aWhat, double aSize, const std::string& aUnit, double aValue)
{
  std::cout << absl::StrFormat("%s,%.0f,%s,%.3f\n", aWhat, aSize, aUnit, aValue);
}

// Members -------------------------------------------------------------------------------------

/** Daemons that exchange heartbeats in virtual time. */
class group
{
public:
  explicit group(std::size_t aCount)
  {
    member_settings settings;
    settings.mBytesPerSecond = 6144;
    settings.mFailAfter = 60s; // Staleness is measured, not used.
    for (std::size_t index = 0; index < aCount; ++index) {
      member_info self;
      self.mIncarnation = { index + 1 };
      self.mName = "entry-" + std::to_string(index);
      self.mHall = "duluth-hall";
      self.mAddress = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
      self.mServing = true;
      mTables.push_back(std::make_unique<member_table>(self, settings, "secret"));
      mTables.back()->AddSeed({ "10.0.0.1", 1 });
    }
  }

  void Run(int aRounds)
  {
    for (int round = 0; round < aRounds; ++round) {
      mNow += 150ms;
      for (auto& table : mTables) {
        const heartbeat beat = table->BuildHeartbeat(mNow);
        for (const endpoint& to : beat.mTo) {
          mTables[to.mPort - 1U]->Receive(beat.mData, mNow);
          mBytes += static_cast<double>(beat.mData.size()) + kUdpHeader;
          ++mDatagrams;
        }
      }
    }
  }

  /** @return the longest time since one table heard news of one daemon, in milliseconds. */
  double WorstSilence() const
  {
    duration worst{ 0 };
    for (const auto& table : mTables) {
      for (const auto& [incarnation, entry] : table->Others()) {
        worst = std::max(worst, mNow - entry.mLastHeardAt);
      }
    }
    return ToSeconds(worst) * 1000.0;
  }
  std::size_t Known() const { return mTables.back()->Others().size() + 1; }

  static constexpr double kUdpHeader = 28;            ///< IP and UDP headers.
  std::vector<std::unique_ptr<member_table>> mTables; ///< One for each daemon.
  instant mNow{ 1s };                                 ///< Virtual time.
  double mBytes = 0;                                  ///< Sent, headers included.
  double mDatagrams = 0;                              ///< Sent.
};

void
MeasureMembers(std::size_t aCount)
{
  constexpr int kRounds = 100;
  group all(aCount);
  all.Run(kRounds);
  all.mBytes = 0;
  all.mDatagrams = 0;
  double silence = 0;
  const double before = CpuMicros();
  for (int round = 0; round < kRounds; ++round) {
    all.Run(1);
    silence = std::max(silence, round % 10 == 0 ? all.WorstSilence() : 0.0);
  }
  const double cpu = CpuMicros() - before;
  const auto count = static_cast<double>(aCount);
  const double seconds = kRounds * 0.15;
  Print("members", count, "known", static_cast<double>(all.Known()));
  Print("members", count, "bytes_per_second", all.mBytes / count / seconds);
  Print("members", count, "datagrams_per_second", all.mDatagrams / count / seconds);
  Print("members", count, "cpu_share_percent", 100 * cpu / 1e6 / count / seconds);
  Print("members", count, "worst_silence_ms", silence);
}

// Decisions -----------------------------------------------------------------------------------

void
MeasureDecisions(std::uint32_t aEngines)
{
  placement_core<cost_chooser> core{ cell_settings{} };
  instant now{ 1s };
  const std::uint32_t prefills = std::max(1U, aEngines / 3);
  for (std::uint32_t index = 0; index < aEngines; ++index) {
    const bool prefill = index < prefills;
    const engine_info info{
      { index + 1U }, "engine", prefill ? runner_role::ePrefill : runner_role::eDecode, 20,
      8000.0,         false
    };
    core.Handle(engine_updated{ info }, now);
  }
  constexpr std::uint64_t kRequests = 200;
  const double before = CpuMicros();
  for (std::uint64_t number = 1; number <= kRequests; ++number) {
    const attempt_id attempt{ { 1 }, number };
    core.Handle(request_arrived{ attempt, "practice", {}, 200, 60, { { 5, 256 } } }, now);
    core.Handle(prefill_finished{ attempt, 1000, 0 }, now);
    core.Handle(chunk_finished{ attempt }, now);
    core.Handle(stream_finished{ attempt, 60 }, now);
    now += 1ms;
  }
  const double cpu = CpuMicros() - before;
  Print("decide", aEngines, "us_per_request", cpu / kRequests);
  Print("decide", aEngines, "us_per_event", cpu / kRequests / 4);
  const double tick = CpuMicros();
  for (int count = 0; count < 100; ++count) {
    core.Tick(now);
  }
  Print("decide", aEngines, "us_per_idle_tick", (CpuMicros() - tick) / 100);
}

// Fold ----------------------------------------------------------------------------------------

log_record
TeamRecord(std::uint64_t aOffset)
{
  const put_command put{ "write-" + std::to_string(aOffset),
                         { resource_kind::eTeam, "team-" + std::to_string(aOffset) },
                         0,
                         team_spec{} };
  return { aOffset, static_cast<std::int64_t>(aOffset), EncodeCommand(put) };
}

void
MeasureFold(std::uint64_t aResources)
{
  const auto size = static_cast<double>(aResources);
  std::vector<log_record> records;
  double bytes = 0;
  for (std::uint64_t offset = 1; offset <= aResources; ++offset) {
    records.push_back(TeamRecord(offset));
    bytes += static_cast<double>(records.back().mData.size());
  }
  const double heap = HeapBytes();
  const double before = CpuMicros();
  replicated_state state;
  for (const log_record& record : records) {
    state.Apply(record);
  }
  Print("fold", size, "us_per_record", (CpuMicros() - before) / size);
  Print("fold", size, "heap_bytes_per_resource", (HeapBytes() - heap) / size);
  Print("fold", size, "log_bytes_per_record", bytes / size);
  const double save = CpuMicros();
  const std::vector<std::string> entries = state.SnapshotEntries();
  Print("snapshot", size, "ms_to_write", (CpuMicros() - save) / 1e3);
  double entryBytes = 0;
  for (const std::string& entry : entries) {
    entryBytes += static_cast<double>(entry.size());
  }
  Print("snapshot", size, "bytes", entryBytes);
  const double load = CpuMicros();
  const auto loaded = replicated_state::FromSnapshot(aResources, entries);
  Print("snapshot", size, "ms_to_load", (CpuMicros() - load) / 1e3);
  if (!loaded || loaded.value().Resources().size() != aResources) {
    std::cerr << "the snapshot was not read back\n";
    std::exit(1);
  }
}

void
MeasureClaims(std::uint64_t aClaims)
{
  const auto size = static_cast<double>(aClaims);
  const double heap = HeapBytes();
  const double before = CpuMicros();
  replicated_state state;
  for (std::uint64_t offset = 1; offset <= aClaims; ++offset) {
    const claim_command claimed{ "team/route/1796214294-" + std::to_string(offset),
                                 { { 7 }, offset } };
    state.Apply({ offset, 1000, EncodeCommand(claimed) });
  }
  Print("claims", size, "us_per_claim", (CpuMicros() - before) / size);
  Print("claims", size, "heap_bytes_per_claim", (HeapBytes() - heap) / size);
}

// Messages ------------------------------------------------------------------------------------

void
MeasureMessages()
{
  rpc_dispatcher dispatcher;
  std::uint64_t taken = 0;
  dispatcher.Add("event", [&taken](const std::string& aMessage) {
    const auto message = nlohmann::json::parse(aMessage);
    taken += EventFromJson(message.at("event")).has_value() ? 1 : 0;
    return std::string("{}");
  });
  constexpr int kCalls = 2000;
  double bytes = 0;
  const double before = CpuMicros();
  for (int number = 0; number < kCalls; ++number) {
    const request_arrived arrived{
      { { 1 }, 5 }, "practice", {}, 200, 60, { { 5, 256 }, { 6, 512 } }
    };
    nlohmann::json request{ { "jsonrpc", "2.0" }, { "id", number }, { "method", "event" } };
    request["params"]["message"] = { { "prefill", "tutor-prefill" },
                                     { "decode", "tutor-decode" },
                                     { "link", "great-lakes" },
                                     { "event", EventToJson(arrived) } };
    const std::string text = request.dump();
    bytes += static_cast<double>(text.size());
    bytes += static_cast<double>(dispatcher.Handle(text).size());
  }
  Print(
    "message", taken == kCalls ? 1 : 0, "us_per_call_both_sides", (CpuMicros() - before) / kCalls);
  Print("message", 1, "bytes_per_call", bytes / kCalls);
}

} // namespace
} // namespace dunehook::bench

int
main()
{
  std::cout << "what,size,unit,value\n";
  for (const std::size_t count : { 2, 4, 8, 16, 32, 64, 200 }) {
    dunehook::bench::MeasureMembers(count);
  }
  for (const std::uint32_t engines : { 9U, 100U, 700U, 12000U }) {
    dunehook::bench::MeasureDecisions(engines);
  }
  for (const std::uint64_t resources : { 1000U, 10000U, 100000U }) {
    dunehook::bench::MeasureFold(resources);
  }
  dunehook::bench::MeasureClaims(60000);
  dunehook::bench::MeasureMessages();
}
