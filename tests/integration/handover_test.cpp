/**
 * @file handover_test.cpp
 * The events that a new owner of a cell receives for an attempt in progress. The owner is a fake: a
 * listener for calls between daemons that records the events.
 */
#include "control/message_func.h"
#include "control/owner_router.h"
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;
using namespace dunehook::test;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

/** Refuses connections: these tests need no log, host list or engines. */
const endpoint kUnreachable{ "127.0.0.250", 9 };
constexpr incarnation_id kFrontend{ 0x1111 };
constexpr incarnation_id kFormerOwner{ 0x2222 };
constexpr incarnation_id kOwner{ 0x3333 };
const attempt_id kAttempt{ kFrontend, 1 };
const cell_key kCell{ "prefill", "decode", "link" };
/** Time for the owner to receive all events; each test waits for all of it. */
constexpr duration kEventWait = 1s;

member_info
InfoOf(incarnation_id aIncarnation, const endpoint& aAddress)
{
  member_info info;
  info.mIncarnation = aIncarnation;
  info.mName = ToText(aIncarnation);
  info.mAddress = aAddress;
  return info;
}

} // namespace

TEST_GROUP(handover)
{
  asio::io_context mIo{ 1 };                     ///< Runs the owner and the frontend.
  rpc_dispatcher mDispatcher;                    ///< Calls that the owner answers.
  std::unique_ptr<peer_listener> mOwnerListener; ///< Accepts calls to the owner.
  std::vector<std::string> mTypes;               ///< Types of the events that the owner received.
  std::vector<int> mStages;                      ///< Stages that it received, in order.
  std::function<void()> mOnEvent;                ///< Called when an event arrives.

  member_table mMembers{ InfoOf(kFrontend, kUnreachable), {}, kPeerSecret };
  peer_directory mPeers{ mIo, mMembers, kPeerSecret };
  log_follower mLog{ mIo, kUnreachable, {}, mMembers, mPeers };
  host_directory mHosts{ mIo, kUnreachable, 1s };
  engine_client mEngines;
  attempt_registry mAttempts;
  cell_owner mCells{ mIo, mLog, mHosts, mMembers, mPeers, mEngines, mAttempts };
  owner_router mRouter{ mIo, mMembers, mPeers, mCells, mAttempts }; ///< Under test.

  void setup() override
  {
    mDispatcher.Add("event", [this](const std::string& aMessage) {
      const json event = json::parse(aMessage).at("event");
      mTypes.push_back(event.at("type").get<std::string>());
      if (event.contains("stage")) {
        mStages.push_back(event.at("stage").get<int>());
      }
      if (mOnEvent) {
        mOnEvent();
      }
      return json{ { "taken", true } }.dump();
    });
    mOwnerListener =
      std::move(peer_listener::Open(mIo, { "127.0.0.1", 0 }, kPeerSecret, mDispatcher).value());
    member_table owner(InfoOf(kOwner, mOwnerListener->Address()), {}, kPeerSecret);
    owner.SetSelf(1, true);
    owner.AddSeed(kUnreachable);
    mMembers.Receive(owner.BuildHeartbeat(boot_clock_source{}.Now()).mData,
                     boot_clock_source{}.Now());
    CHECK_TRUE(mMembers.OwnerOf(ToText(kCell)).mIncarnation == kOwner);
  }

  /** Adds an attempt at this stage that only the former owner has been told of. */
  void Add(request_stage aStage)
  {
    attempt_entry entry;
    entry.mCell = kCell;
    entry.mRequest.mAttempt = kAttempt;
    entry.mStage = aStage;
    entry.mOwner = kFormerOwner;
    mAttempts.Add(kAttempt, std::move(entry));
  }
  asio::awaitable<void> Report(decide_event aEvent)
  {
    co_await mRouter.Send(kCell, aEvent);
  }
  void TellOwner()
  {
    mRouter.Start();
    mIo.run_for(kEventWait);
  }
};

// The owner drops an event of an attempt that it doesn't know, and gives no further order for it.
TEST(handover, AnOwnerThatFirstHearsOfAnAttemptByItsProgressIsToldOfTheAttempt)
{
  Add(request_stage::eReady);
  Spawn(mIo, Report(prefill_finished{ kAttempt, 1000, 0 }));
  TellOwner();
  CHECK_TRUE(mTypes == (std::vector<std::string>{ "prefilled", "adopted" }));
  CHECK_TRUE(mStages == (std::vector<int>{ static_cast<int>(request_stage::eReady) }));
}

TEST(handover, AStageReachedWhileTheOwnerIsNotifiedIsSentToo)
{
  Add(request_stage::ePrefilling);
  mOnEvent = [this] { mAttempts.Find(kAttempt)->mStage = request_stage::eReady; };
  TellOwner();
  CHECK_TRUE(mStages == (std::vector<int>{ static_cast<int>(request_stage::ePrefilling),
                                           static_cast<int>(request_stage::eReady) }));
}

TEST(handover, AnAttemptThatFailsWhileTheOwnerIsNotifiedIsCancelledAndSentAsNew)
{
  Add(request_stage::ePrefilling);
  mOnEvent = [this] { mAttempts.Find(kAttempt)->mStage = request_stage::eWaiting; };
  TellOwner();
  CHECK_TRUE(mTypes == (std::vector<std::string>{ "adopted", "cancelled", "arrived" }));
}

TEST(handover, AnAttemptThatEndsWhileItsOwnerIsToldOfItIsCancelledThere)
{
  Add(request_stage::eDecoding);
  mOnEvent = [this] { mAttempts.Remove(kAttempt); };
  TellOwner();
  CHECK_TRUE(mTypes == (std::vector<std::string>{ "adopted", "cancelled" }));
}

TEST(handover, AnAttemptWhoseOwnerChangesIsToldOnce)
{
  Add(request_stage::ePrefilling);
  TellOwner();
  CHECK_TRUE(mTypes == (std::vector<std::string>{ "adopted" }));
}
