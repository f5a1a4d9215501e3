/**
 * @file replicated_state_test.cpp
 * The replicated state: equal logs give equal states, a repeated write is executed once, one of two
 * racing writers wins, and a snapshot is equivalent to the records that it covers.
 */
#include "resources/replicated_state_base.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;

namespace {

const attempt_id kFirst{ { 11 }, 1 };
const attempt_id kSecond{ { 22 }, 1 };

/** A log in memory that assigns offsets and has a clock set by the test. */
struct fake_log
{
  void Append(const command& aCommand)
  {
    mRecords.push_back({ mRecords.size() + 1, mTimeMs, EncodeCommand(aCommand) });
  }
  replicated_state Replay(std::size_t aCount = SIZE_MAX) const
  {
    replicated_state state;
    for (std::size_t at = 0; at < std::min(aCount, mRecords.size()); ++at) {
      state.Apply(mRecords[at]);
    }
    return state;
  }
  std::vector<log_record> mRecords; ///< Records appended so far.
  std::int64_t mTimeMs = 1000;      ///< Time that the next record gets, in milliseconds.
};

put_command
PutLink(const std::string& aWriteId, std::uint64_t aExpected, std::uint64_t aRate = 5)
{
  return { aWriteId, { resource_kind::eLink, "l" }, aExpected, link_spec{ aRate, 1 } };
}

} // namespace

TEST_GROUP(replicated_state_group){};

TEST(replicated_state_group, OneOfTwoRacingWritersWinsAndTheOtherGetsAConflict)
{
  fake_log log;
  log.Append(PutLink("a", 0, 1));
  log.Append(PutLink("b", 0, 2));
  const replicated_state state = log.Replay();
  CHECK_FALSE(static_cast<bool>(state.OutcomeOf("a")->mError));
  CHECK_TRUE(state.OutcomeOf("b")->mError == errc::eVersionConflict);
  LONGS_EQUAL(1, state.FindSpec<link_spec>(resource_kind::eLink, "l")->mBytesPerSecond);
}

TEST(replicated_state_group, ARepeatedAppendIsExecutedOnce)
{
  fake_log log;
  log.Append(PutLink("a", 0, 1));
  log.Append(PutLink("a", 0, 1));
  const replicated_state state = log.Replay();
  CHECK_FALSE(static_cast<bool>(state.OutcomeOf("a")->mError));
  LONGS_EQUAL(1, state.Find({ resource_kind::eLink, "l" })->mVersion);
}

TEST(replicated_state_group, TheFirstClaimWinsAndOnlyItsHolderReleasesIt)
{
  fake_log log;
  log.Append(claim_command{ "k", kFirst });
  log.Append(claim_command{ "k", kSecond });
  log.Append(release_command{ "k", kSecond });
  CHECK_TRUE(log.Replay().ClaimOf("k")->mAttempt == kFirst);
  log.Append(release_command{ "k", kFirst });
  log.Append(claim_command{ "k", kSecond });
  CHECK_TRUE(log.Replay().ClaimOf("k")->mAttempt == kSecond);
}

TEST(replicated_state_group, ClaimsOutliveTheWindowInWhichTheirKeysAreAccepted)
{
  fake_log log;
  log.Append(claim_command{ "k", kFirst });
  log.mTimeMs += kClaimWindowMs + kClockSkewMs;
  log.Append(PutLink("a", 0));
  CHECK_TRUE(log.Replay().ClaimOf("k").has_value());
  log.mTimeMs += 2 * kClockSkewMs;
  log.Append(PutLink("b", 2));
  CHECK_FALSE(log.Replay().ClaimOf("k").has_value());
}

TEST(replicated_state_group, ASnapshotAndTheTailGiveTheStateOfTheWholeLog)
{
  fake_log log;
  log.Append(PutLink("a", 0, 1));
  log.Append(claim_command{ "k", kFirst });
  const replicated_state early = log.Replay();
  for (const command& part : SplitSnapshot(2, early.SnapshotEntries(), 40)) {
    log.Append(part);
  }
  log.Append(PutLink("b", 1, 2));
  CHECK_TRUE(log.mRecords.size() > 4);

  snapshot_reader reader;
  std::optional<replicated_state> state;
  for (std::size_t at = 2; at < log.mRecords.size(); ++at) {
    if (std::optional<replicated_state> loaded = reader.AddRecord(log.mRecords[at])) {
      state = std::move(loaded);
    }
  }
  CHECK_TRUE(state.has_value());
  LONGS_EQUAL(3, state->NextOffset());
  for (std::size_t at = 2; at < log.mRecords.size(); ++at) {
    state->Apply(log.mRecords[at]);
  }
  CHECK_TRUE(state->Digest() == log.Replay().Digest());
  LONGS_EQUAL(2, state->LastSnapshot());
}

TEST(replicated_state_group, TwoSnapshotsOfTheSameOffsetAreEqual)
{
  fake_log log;
  log.Append(PutLink("a", 0, 1));
  log.Append(claim_command{ "k", kFirst });
  CHECK_TRUE(log.Replay().SnapshotEntries() == log.Replay().SnapshotEntries());
}

TEST(replicated_state_group, ARecordThatCantBeReadChangesNothingButTheOffset)
{
  replicated_state state;
  state.Apply({ 1, 5, "not json" });
  state.Apply({ 2, 5, R"({"type":"put","kind":"link"})" });
  LONGS_EQUAL(3, state.NextOffset());
  LONGS_EQUAL(0, state.Resources().size());
}

TEST(replicated_state_group, DeletingNeedsTheCurrentVersion)
{
  fake_log log;
  log.Append(PutLink("a", 0));
  log.Append(delete_command{ "b", { resource_kind::eLink, "l" }, 7 });
  log.Append(delete_command{ "c", { resource_kind::eLink, "l" }, 1 });
  const replicated_state state = log.Replay();
  CHECK_TRUE(state.OutcomeOf("b")->mError == errc::eVersionConflict);
  LONGS_EQUAL(0, state.Resources().size());
}
