/**
 * @file decide_test.cpp
 * The placement core: tests each mechanism alone, with a clock that the test sets.
 */
#include "decide/placement_core.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

constexpr engine_id kPrefill{ 1 };
constexpr engine_id kOtherPrefill{ 2 };
constexpr engine_id kDecode{ 11 };
constexpr engine_id kOtherDecode{ 12 };

priority_class_spec
InteractiveTargets()
{
  priority_class_spec spec;
  spec.mMeanTokens = 60;
  return spec;
}

priority_class_spec
BatchTargets()
{
  priority_class_spec spec;
  spec.mRank = 1;
  spec.mFirstTokenMs = 10000;
  spec.mMaxWaitMs = 6000;
  spec.mMeanTokens = 4;
  return spec;
}

/** A placement core with one prefill and one decode engine, and helpers that send it events. */
struct cell_fixture
{
  explicit cell_fixture(std::uint32_t aSlots = 2, const cell_settings& aSettings = {})
    : mCore(aSettings)
  {
    UpdateEngine({ kPrefill, "p1", runner_role::ePrefill });
    UpdateEngine({ kDecode, "d1", runner_role::eDecode, aSlots });
  }
  void UpdateEngine(const engine_info& aInfo) { mCore.Handle(engine_updated{ aInfo }, mNow); }
  tick_result Arrive(std::uint64_t aRequest,
                     std::uint32_t aPrompt = 200,
                     const priority_class_spec& aTargets = InteractiveTargets(),
                     std::vector<prefix_block> aBlocks = {})
  {
    const std::string name = aTargets.mRank == 0 ? "practice" : "placement";
    return mCore.Handle(
      request_arrived{ Attempt(aRequest), name, aTargets, aPrompt, 60, std::move(aBlocks) }, mNow);
  }
  static attempt_id Attempt(std::uint64_t aRequest) { return { { 9 }, aRequest }; }
  tick_result FinishPrefill(std::uint64_t aRequest, std::uint64_t aBytes = 1000)
  {
    return mCore.Handle(prefill_finished{ Attempt(aRequest), aBytes, 0 }, mNow);
  }
  tick_result FinishChunk(std::uint64_t aRequest)
  {
    return mCore.Handle(chunk_finished{ Attempt(aRequest) }, mNow);
  }
  /** Sends the events that bring a new request to the decoding stage. */
  void AdvanceToDecoding(std::uint64_t aRequest)
  {
    Arrive(aRequest);
    FinishPrefill(aRequest);
    FinishChunk(aRequest);
  }
  placement_core<cost_chooser> mCore; ///< The core under test.
  instant mNow{ 1s };                 ///< Time of the next event.
};

template<typename Order>
std::size_t
Count(const tick_result& aResult)
{
  std::size_t count = 0;
  for (const decide_order& order : aResult.mOrders) {
    count += std::holds_alternative<Order>(order) ? 1 : 0;
  }
  return count;
}

template<typename Order>
Order
First(const tick_result& aResult)
{
  for (const decide_order& order : aResult.mOrders) {
    if (const auto* const found = std::get_if<Order>(&order)) {
      return *found;
    }
  }
  FAIL("no such order");
  return {};
}

} // namespace

TEST_GROUP(decide){};

TEST(decide, ARequestGoesThroughPrefillTransferAndDecode)
{
  cell_fixture cell;
  CHECK_TRUE(First<start_prefill>(cell.Arrive(1)).mEngine == kPrefill);
  const auto chunk = First<start_chunk>(cell.FinishPrefill(1));
  CHECK_TRUE(chunk.mEngine == kDecode);
  CHECK_TRUE(chunk.mLast);
  cell.FinishChunk(1);
  cell.mCore.Handle(stream_finished{ cell_fixture::Attempt(1), 60 }, cell.mNow + 3s);
  LONGS_EQUAL(1, cell.mCore.State().mCounters.mFinished);
  LONGS_EQUAL(0, cell.mCore.State().mRequests.size());
}

TEST(decide, NoPrefillStartsWithoutASlotExpectedAtItsEnd)
{
  cell_fixture cell(2);
  cell.AdvanceToDecoding(1);
  cell.AdvanceToDecoding(2);
  LONGS_EQUAL(0, Count<start_prefill>(cell.Arrive(3)));
  const auto freed = cell.mCore.Handle(stream_finished{ cell_fixture::Attempt(1), 60 }, cell.mNow);
  LONGS_EQUAL(1, Count<start_prefill>(freed) + Count<start_prefill>(cell.Arrive(4)));
}

TEST(decide, WithSlotGatingOffPrefillsStartAtOnce)
{
  cell_settings settings;
  settings.mSwitches.mDecodeSlotGating = false;
  settings.mSwitches.mAdmission = false;
  cell_fixture cell(2, settings);
  cell.AdvanceToDecoding(1);
  cell.AdvanceToDecoding(2);
  LONGS_EQUAL(1, Count<start_prefill>(cell.Arrive(3)));
}

TEST(decide, ARequestThatWouldWaitTooLongIsRefusedAtOnceWithARetryAfter)
{
  cell_fixture cell(2);
  cell.AdvanceToDecoding(1);
  cell.AdvanceToDecoding(2);
  tick_result last;
  for (std::uint64_t request = 3; request < 12; ++request) {
    last = cell.Arrive(request);
  }
  const auto refusal = First<refuse_request>(last);
  CHECK_TRUE(refusal.mReason == errc::eOverloaded);
  CHECK_TRUE(refusal.mRetryAfter >= 200ms);
}

TEST(decide, ALostPrefillIsRetriedWithinTheBudgetAndRefusedBeyondIt)
{
  cell_settings settings;
  settings.mSwitches.mAdmission = false;
  cell_fixture cell(1, settings);
  cell.Arrive(1);
  for (int retry = 0; retry < 10; ++retry) {
    const auto failed =
      cell.mCore.Handle(work_failed{ cell_fixture::Attempt(1), kPrefill, false, true }, cell.mNow);
    LONGS_EQUAL(0, Count<refuse_request>(failed));
    cell.mNow += 1100ms;
    LONGS_EQUAL(1, Count<start_prefill>(cell.mCore.Tick(cell.mNow)));
  }
  const auto last =
    cell.mCore.Handle(work_failed{ cell_fixture::Attempt(1), kPrefill, false, true }, cell.mNow);
  LONGS_EQUAL(1, Count<refuse_request>(last));
}

TEST(decide, AnAgedRequestGoesBeforeARequestOfAnEarlierRank)
{
  cell_settings settings;
  settings.mSwitches.mAging = true;
  cell_fixture cell(1, settings);
  cell.AdvanceToDecoding(1);
  cell.Arrive(2, 6000, BatchTargets());
  cell.mNow += 2100ms;
  cell.Arrive(3);
  const auto freed = cell.mCore.Handle(stream_finished{ cell_fixture::Attempt(1), 60 }, cell.mNow);
  CHECK_TRUE(First<start_prefill>(freed).mAttempt == cell_fixture::Attempt(2));
}

TEST(decide, ARequestPassesOneOfALaterRankWhosePrefillEnginesAreBusy)
{
  cell_fixture cell(20);
  cell.Arrive(1, 6000, BatchTargets());
  cell.Arrive(2, 6000, BatchTargets());
  LONGS_EQUAL(0, Count<start_prefill>(cell.Arrive(3, 6000, BatchTargets())));
  LONGS_EQUAL(1, Count<start_prefill>(cell.Arrive(4)));
}

TEST(decide, SmallTransfersRunBetweenTheChunksOfALargeOne)
{
  cell_fixture cell(20);
  cell.UpdateEngine({ kOtherPrefill, "p2", runner_role::ePrefill });
  cell.Arrive(1, 6000, BatchTargets());
  cell.Arrive(2);
  const std::uint64_t large = 10 * cell_settings{}.mLink.mChunkBytes;
  LONGS_EQUAL(2, Count<start_chunk>(cell.FinishPrefill(1, large)));
  LONGS_EQUAL(0, Count<start_chunk>(cell.FinishPrefill(2)));
  CHECK_TRUE(First<start_chunk>(cell.FinishChunk(1)).mAttempt == cell_fixture::Attempt(2));
}

TEST(decide, ALinkSlowerThanDeclaredLowersTheMeasuredRate)
{
  cell_fixture cell(20);
  const std::uint64_t chunk = cell_settings{}.mLink.mChunkBytes;
  cell.Arrive(1, 6000, BatchTargets());
  cell.FinishPrefill(1, 20 * chunk);
  const duration declared = LinkBacklog(cell.mCore.State(), 1, request_stage::eReady);
  for (int index = 0; index < 10; ++index) {
    cell.mNow += 100ms;
    cell.FinishChunk(1);
  }
  CHECK_TRUE(LinkRate(cell.mCore.State()) < 1.0e9);
  CHECK_TRUE(LinkBacklog(cell.mCore.State(), 1, request_stage::eReady) > declared);
}

TEST(decide, TheEngineThatHoldsThePrefixIsPreferredWhileItsQueueIsShort)
{
  cell_fixture cell(20);
  cell.UpdateEngine({ kOtherPrefill, "p2", runner_role::ePrefill });
  const std::vector<prefix_block> sharedPrefix{ { 77, 4000 } };
  const engine_id first =
    First<start_prefill>(cell.Arrive(1, 6000, BatchTargets(), sharedPrefix)).mEngine;
  cell.FinishPrefill(1);
  cell.mNow += 100ms;
  CHECK_TRUE(First<start_prefill>(cell.Arrive(2, 6000, BatchTargets(), sharedPrefix)).mEngine ==
             first);
  cell.mCore.Handle(cache_changed{ first, 77, false }, cell.mNow);
  CHECK_FALSE(First<start_prefill>(cell.Arrive(3, 6000, BatchTargets(), sharedPrefix)).mEngine ==
              first);
}

TEST(decide, ALeavingEngineGetsNoNewWork)
{
  cell_fixture cell(2);
  cell.UpdateEngine({ kOtherDecode, "d2", runner_role::eDecode, 2 });
  cell.UpdateEngine({ kDecode, "d1", runner_role::eDecode, 2, 8000.0, true });
  cell.Arrive(1);
  CHECK_TRUE(First<start_chunk>(cell.FinishPrefill(1)).mEngine == kOtherDecode);
}

TEST(decide, ACancelFreesBothEngines)
{
  cell_fixture cell;
  cell.Arrive(1);
  cell.FinishPrefill(1);
  const auto cancelled =
    cell.mCore.Handle(request_cancelled{ cell_fixture::Attempt(1) }, cell.mNow);
  LONGS_EQUAL(2, Count<cancel_work>(cancelled));
  LONGS_EQUAL(0, cell.mCore.State().mEngines.at(kDecode).mActiveAttempts.size());
  LONGS_EQUAL(0, cell.mCore.State().mInFlightChunks.size());
}

TEST(decide, TheEndOfADaemonRunFreesItsRequestsAndSlots)
{
  cell_fixture cell(4);
  cell.AdvanceToDecoding(1);
  cell.Arrive(2);
  const auto gone = cell.mCore.Handle(incarnation_ended{ { 9 } }, cell.mNow);
  LONGS_EQUAL(2, Count<cancel_work>(gone));
  LONGS_EQUAL(0, cell.mCore.State().mRequests.size());
  LONGS_EQUAL(4, cell.mCore.State().mEngines.at(kDecode).FreeSlots());
}

TEST(decide, ARefusedTransferGoesToAnotherEngineWithoutASecondPrefill)
{
  cell_fixture cell(2);
  cell.UpdateEngine({ kOtherDecode, "d2", runner_role::eDecode, 2 });
  cell.Arrive(1);
  const engine_id first = First<start_chunk>(cell.FinishPrefill(1)).mEngine;
  const auto failed =
    cell.mCore.Handle(work_failed{ cell_fixture::Attempt(1), first, true, false }, cell.mNow);
  CHECK_FALSE(First<start_chunk>(failed).mEngine == first);
  LONGS_EQUAL(0, Count<start_prefill>(failed));
}

TEST(decide, AnAdoptedStreamKeepsItsSlot)
{
  cell_fixture cell(2);
  const request_arrived request{
    cell_fixture::Attempt(1), "practice", InteractiveTargets(), 200, 60, {}
  };
  cell.mCore.Handle(request_adopted{ request, request_stage::eDecoding, {}, kDecode }, cell.mNow);
  LONGS_EQUAL(1, cell.mCore.State().mEngines.at(kDecode).FreeSlots());
}

// Guards against calls without an end: the chunks that an owner had ordered for a request counted
// against the link for ever once the request was announced to it anew, and two of them stopped all
// transfers.
TEST(decide, ARequestThatIsAdoptedAgainLeavesNoChunkOnTheLink)
{
  cell_fixture cell(2);
  const std::vector<std::uint64_t> requests{ 1, 2 }; // Their transfers take the whole link.
  for (const std::uint64_t number : requests) {
    cell.Arrive(number);
    LONGS_EQUAL(1, Count<start_chunk>(cell.FinishPrefill(number)));
  }
  for (const std::uint64_t number : requests) {
    const request_arrived request{
      cell_fixture::Attempt(number), "practice", InteractiveTargets(), 200, 60, {}
    };
    const request_adopted adopted{ request, request_stage::eTransferring, kPrefill, kDecode };
    LONGS_EQUAL(1, Count<start_chunk>(cell.mCore.Handle(adopted, cell.mNow)));
  }
  for (const std::uint64_t number : requests) {
    cell.FinishChunk(number);
    cell.mCore.Handle(stream_finished{ cell_fixture::Attempt(number), 60 }, cell.mNow);
  }
  LONGS_EQUAL(2, cell.mCore.State().mEngines.at(kDecode).FreeSlots());
  LONGS_EQUAL(0, cell.mCore.State().mInFlightChunks.size());
}

// Guards against calls without an end: a chunk that another owner had ordered was counted as the
// last one here, so that the request's frontend waited for an order that never came.
TEST(decide, ARequestThatWaitsForAChunkAtItsFrontendIsTransferredThoughItCountsAsDecoding)
{
  cell_fixture cell(2);
  cell.Arrive(1);
  LONGS_EQUAL(1, Count<start_chunk>(cell.FinishPrefill(1)));
  cell.FinishChunk(1);
  const request_arrived request{
    cell_fixture::Attempt(1), "practice", InteractiveTargets(), 200, 60, {}
  };
  const request_adopted repeated{ request, request_stage::eTransferring, kPrefill, kDecode, true };
  LONGS_EQUAL(1, Count<start_chunk>(cell.mCore.Handle(repeated, cell.mNow)));
}

// Guards against an owner that keeps engines and the link for a request which another one owns.
TEST(decide, ARequestThatAnotherDaemonOwnsHoldsNoEngine)
{
  cell_fixture cell(2);
  cell.Arrive(1);
  LONGS_EQUAL(1, Count<start_chunk>(cell.FinishPrefill(1)));
  const tick_result out = cell.mCore.Handle(request_moved{ cell_fixture::Attempt(1) }, cell.mNow);
  LONGS_EQUAL(0, Count<cancel_work>(out));
  LONGS_EQUAL(2, cell.mCore.State().mEngines.at(kDecode).FreeSlots());
  LONGS_EQUAL(0, cell.mCore.State().mInFlightChunks.size());
}

TEST(decide, SlotsHeldByOtherRequestsAreNotAssigned)
{
  cell_fixture cell(2);
  cell.mCore.Handle(load_reported{ kDecode, 2, 2 }, cell.mNow);
  cell.Arrive(1);
  LONGS_EQUAL(0, Count<start_chunk>(cell.FinishPrefill(1)));
}
