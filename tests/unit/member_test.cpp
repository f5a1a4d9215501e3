/**
 * @file member_test.cpp
 * Members: heartbeats spread news, silent members are removed, and a key has one owner.
 */
#include "membership/member_base.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

/** Member tables that exchange datagrams in virtual time. */
struct fake_group
{
  fake_group(std::size_t aCount, duration aFailAfter)
  {
    member_settings settings;
    settings.mFailAfter = aFailAfter;
    for (std::size_t index = 0; index < aCount; ++index) {
      member_info self;
      self.mIncarnation = { index + 1 };
      self.mAddress = { "127.0.0.1", static_cast<std::uint16_t>(index + 1) };
      self.mServing = true;
      mTables.push_back(std::make_unique<member_table>(self, settings, "secret"));
      mTables.back()->AddSeed({ "127.0.0.1", 1 });
    }
  }
  void Run(duration aSpan)
  {
    for (const instant end = mNow + aSpan; mNow < end; mNow += 150ms) {
      for (std::size_t index = 0; index < mTables.size(); ++index) {
        if (mSilentIndex != index) {
          const heartbeat beat = mTables[index]->BuildHeartbeat(mNow);
          for (const endpoint& to : beat.mTo) {
            mTables[to.mPort - 1U]->Receive(beat.mData, mNow);
          }
        }
        mTables[index]->DropSilent(mNow);
      }
    }
  }
  std::vector<std::unique_ptr<member_table>> mTables; ///< One table for each daemon.
  instant mNow{ 1s };                                 ///< Virtual time.
  std::size_t mSilentIndex = SIZE_MAX;                ///< Index of a daemon that sends nothing.
};

} // namespace

TEST_GROUP(members){};

TEST(members, EightDaemonsFindEachOtherThroughOneSeed)
{
  fake_group group(8, 900ms);
  group.Run(3s);
  for (const auto& table : group.mTables) {
    LONGS_EQUAL(7, table->Others().size());
  }
}

// With heartbeats alone, 295 daemons that started together knew only 181 of 294 others after 14 s
// in a replay, and 100 of 294 after 3 s in this test.
TEST(members, ManyDaemonsStartedTogetherFindAllMembersByRequests)
{
  constexpr std::size_t kMany = 295;
  fake_group group(kMany, 900ms);
  for (int round = 0; round < 6; ++round) {
    group.Run(500ms);
    for (const auto& table : group.mTables) {
      const auto asked = table->PickMemberToAsk();
      CHECK(asked.has_value());
      member_table& other = *group.mTables[asked->mPort - 1U];
      const member_changes changes = other.Receive(table->BuildMemberRequest(), group.mNow);
      CHECK(changes.mRequestFrom == table->Self().mAddress);
      for (const std::string& answer : other.BuildMemberList()) {
        table->Receive(answer, group.mNow);
      }
    }
  }
  for (const auto& table : group.mTables) {
    LONGS_EQUAL(kMany - 1, table->Others().size());
  }
}

TEST(members, MembersWithMoreWeightRankFirst)
{
  member_info thin;
  thin.mName = "a";
  thin.mWeight = 120;
  member_info wide = thin;
  wide.mName = "b";
  wide.mWeight = 500;
  member_info second = wide;
  second.mName = "c";
  CHECK_TRUE(RanksBefore(wide, thin));
  CHECK_FALSE(RanksBefore(thin, wide));
  CHECK_TRUE(RanksBefore(wide, second));
}

TEST(members, AKeyHasTheSameOwnerEverywhere)
{
  fake_group group(8, 900ms);
  group.Run(3s);
  for (const auto& table : group.mTables) {
    CHECK_TRUE(table->OwnerOf("cell:a").mIncarnation ==
               group.mTables[0]->OwnerOf("cell:a").mIncarnation);
  }
}

TEST(members, ASilentDaemonIsDroppedAndOthersTakeItsKeys)
{
  fake_group group(8, 900ms);
  group.Run(3s);
  const incarnation_id owner = group.mTables[0]->OwnerOf("cell:a").mIncarnation;
  group.mSilentIndex = owner.mValue - 1;
  group.Run(1500ms);
  const std::size_t other = group.mSilentIndex == 0 ? 1 : 0;
  CHECK_TRUE(group.mTables[other]->Find(owner) == nullptr);
  CHECK_TRUE(group.mTables[other]->OwnerOf("cell:a").mIncarnation != owner);
}

TEST(members, AFrozenDaemonThatResumesComesBackAsTheSameProcess)
{
  fake_group group(3, 900ms);
  group.Run(2s);
  group.mSilentIndex = 2;
  group.Run(1500ms);
  CHECK_TRUE(group.mTables[0]->Find({ 3 }) == nullptr);
  group.mSilentIndex = SIZE_MAX;
  group.Run(600ms);
  CHECK_TRUE(group.mTables[0]->Find({ 3 }) != nullptr);
}

TEST(members, AnUnsignedDatagramChangesNothing)
{
  member_table good({ { 1 }, "a", "h", { "127.0.0.1", 1 } }, {}, "secret");
  member_table stranger({ { 2 }, "b", "h", { "127.0.0.1", 2 } }, {}, "another");
  CHECK_TRUE(good.Receive(stranger.BuildHeartbeat(1s).mData, 1s).mJoined.empty());
  CHECK_TRUE(good.Receive("x", 1s).mJoined.empty());
}

TEST(members, ANewProcessAtTheSameAddressEndsTheEarlierOne)
{
  member_table here({ { 1 }, "a", "h", { "127.0.0.1", 1 } }, {}, "secret");
  member_table before({ { 2 }, "b", "h", { "127.0.0.1", 2 } }, {}, "secret");
  member_table after({ { 3 }, "b", "h", { "127.0.0.1", 2 } }, {}, "secret");
  here.Receive(before.BuildHeartbeat(1s).mData, 1s);
  const member_changes changes = here.Receive(after.BuildHeartbeat(2s).mData, 2s);
  LONGS_EQUAL(1, changes.mGone.size());
  CHECK_TRUE(here.IsKnownGone({ 2 }));
}

TEST(members, AnUnreachableDaemonOwnsNothingUntilItsNextHeartbeat)
{
  member_table here({ { 1 }, "a", "h", { "127.0.0.1", 1 } }, {}, "secret");
  member_table there({ { 2 }, "b", "h", { "127.0.0.1", 2 } }, {}, "secret");
  there.SetSelf(1, true);
  here.Receive(there.BuildHeartbeat(1s).mData, 1s);
  LONGS_EQUAL(2, here.OwnerOf("k").mIncarnation.mValue);
  here.MarkUnreachable({ 2 }, 1s);
  LONGS_EQUAL(1, here.OwnerOf("k").mIncarnation.mValue);
  here.Receive(there.BuildHeartbeat(2s).mData, 2s);
  LONGS_EQUAL(2, here.OwnerOf("k").mIncarnation.mValue);
}
