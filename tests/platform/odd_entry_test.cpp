/**
 * @file odd_entry_test.cpp
 * Entries among the runners' that another writer left, with real processes: whatever they hold,
 * daemons start beside them, go on, and follow what runners write.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Time in which a daemon has read what the store says of runners, in ms. */
constexpr int kReadMs = 3000;
constexpr int kRequests = 12;
/** Odd entries of one kind that are written at once. */
constexpr int kMany = 400;

const std::string kNested = std::string(30000, '[') + std::string(30000, ']');
const std::string kDigits(400, '9');

} // namespace

TEST_GROUP(odd_entries)
{
  void Start()
  {
    mBed.AddRunner("desk-1");
    mBed.PutConfig(1);
  }

  /** @return an entry like a sound one but for one field, which is JSON of any kind. */
  std::string EntryWith(const std::string& aField, const std::string& aJson) const
  {
    json entry = mBed.EntryOf("desk-1");
    entry["state"] = "ready";
    entry.erase(aField);
    std::string text = entry.dump();
    text.pop_back();
    return text + ",\"" + aField + "\":" + aJson + "}";
  }

  /** Writes odd entries of all kinds. */
  void ListOdd()
  {
    int number = 0;
    const std::vector<std::string> fields{ "service", "address", "zone",     "version", "slots",
                                           "state",   "models",  "sequence", "born",    "unread" };
    for (const std::string& field : fields) {
      for (const std::string& odd : { kNested, kDigits, std::string("1e999"), "-" + kDigits }) {
        mBed.ListRaw("odd-" + std::to_string(++number), EntryWith(field, odd));
      }
    }
    for (const std::string at : { "127.0.0.1:0",
                                  "127.0.0.1:65536",
                                  "127.0.0.1:99999999999",
                                  "127.0.0.1:-1",
                                  "127.0.0.1:",
                                  "",
                                  "::1:80",
                                  "[::1]:80",
                                  "0.0.0.0:80",
                                  "224.0.0.1:80",
                                  "255.255.255.255:80" }) {
      mBed.ListRaw("odd-" + std::to_string(++number), EntryWith("address", json(at).dump()));
    }
    mBed.ListRaw("nested", kNested);
    mBed.ListRaw("large", std::string(250000, 'x'));
    for (const std::string& key : { std::string("a b&part=1"),
                                    std::string("a\r\nX-Stage: prefill"),
                                    std::string("\xff\xfe"),
                                    std::string("\xff\xff\xfd"),
                                    std::string("%41"),
                                    std::string(255, 'k') }) {
      mBed.ListRaw(key, EntryWith("slots", "-1"));
    }
  }

  /** Checks that the daemon serves with sound runners only, and follows what is written. */
  void CheckFollows()
  {
    mBed.AddRunner("desk-2");
    std::this_thread::sleep_for(std::chrono::milliseconds(kReadMs));
    mBed.List("desk-1", "");
    std::this_thread::sleep_for(std::chrono::milliseconds(kReadMs));
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = "r" + std::to_string(i);
      const answer got = Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders(id));
      CHECK_EQUAL(200U, got.mStatus);
      for (const json& seen : mBed.Seen(id)) {
        CHECK_EQUAL("desk-2", seen.value("runner", ""));
      }
    }
    CHECK_TRUE(mBed.Daemon().Running());
  }

  fleet_bed mBed;
};

TEST(odd_entries, ADaemonFollowsTheRunnersBesideOddEntries)
{
  Start();
  mBed.StartDaemon();
  ListOdd();
  CheckFollows();
}

TEST(odd_entries, ADaemonStartsBesideOddEntries)
{
  Start();
  ListOdd();
  mBed.StartDaemon();
  CheckFollows();
}

/** Guards against a key of another writer that makes the read of the next page a wrong request. */
TEST(odd_entries, AKeyOfAnotherWriterAtTheEndOfAPageDoesNotStopTheReading)
{
  Start();
  ListOdd();
  mBed.SetStorePage(1);
  mBed.StartDaemon();
  CheckFollows();
}

TEST(odd_entries, ManyOddEntriesWriteFewLines)
{
  Start();
  mBed.StartDaemon();
  for (int i = 0; i < kMany; ++i) {
    mBed.ListRaw("odd-" + std::to_string(i), EntryWith("slots", "-1"));
  }
  CheckFollows();
  const std::string lines = mBed.Daemon().Output();
  int count = 0;
  for (std::size_t at = lines.find("runner_entry_unreadable"); at != std::string::npos;
       at = lines.find("runner_entry_unreadable", at + 1)) {
    ++count;
  }
  CHECK_TRUE(count <= 256);
}
