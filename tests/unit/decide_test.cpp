/**
 * @file decide_test.cpp
 * The decision core: each mechanism on its own, at chosen instants.
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
Practice()
{
  priority_class_spec spec;
  spec.mMeanTokens = 60;
  return spec;
}

priority_class_spec
Placement()
{
  priority_class_spec spec;
  spec.mRank = 1;
  spec.mFirstTokenMs = 10000;
  spec.mMaxWaitMs = 6000;
  spec.mMeanTokens = 4;
  return spec;
}

/** A core with engines, driven by short calls. */
struct bench
{
  explicit bench(std::uint32_t aSlots = 2, const cell_settings& aSettings = {})
    : mCore(aSettings)
  {
    See({ kPrefill, "p1", runner_role::ePrefill });
    See({ kDecode, "d1", runner_role::eDecode, aSlots });
  }
  void See(const engine_info& aInfo) { mCore.Handle(engine_seen{ aInfo }, mNow); }
  tick_result Arrive(std::uint64_t aRequest,
                     std::uint32_t aPrompt = 200,
                     const priority_class_spec& aTargets = Practice(),
                     std::vector<prefix_block> aBlocks = {})
  {
    const std::string name = aTargets.mRank == 0 ? "practice" : "placement";
    return mCore.Handle(
      request_arrived{ Attempt(aRequest), name, aTargets, aPrompt, 60, std::move(aBlocks) }, mNow);
  }
  static attempt_id Attempt(std::uint64_t aRequest) { return { { 9 }, aRequest }; }
  tick_result Prefilled(std::uint64_t aRequest, std::uint64_t aBytes = 1000)
  {
    return mCore.Handle(prefill_finished{ Attempt(aRequest), aBytes, 0 }, mNow);
  }
  tick_result Chunk(std::uint64_t aRequest)
  {
    return mCore.Handle(chunk_finished{ Attempt(aRequest) }, mNow);
  }
  /** Brings a request up to decoding. */
  void Decode(std::uint64_t aRequest)
  {
    Arrive(aRequest);
    Prefilled(aRequest);
    Chunk(aRequest);
  }
  placement_core<cost_chooser> mCore; ///< Decides.
  instant mNow{ 1s };                 ///< Virtual time.
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
  bench cell;
  CHECK_TRUE(First<start_prefill>(cell.Arrive(1)).mEngine == kPrefill);
  const auto chunk = First<start_chunk>(cell.Prefilled(1));
  CHECK_TRUE(chunk.mEngine == kDecode);
  CHECK_TRUE(chunk.mLast);
  cell.Chunk(1);
  cell.mCore.Handle(stream_finished{ bench::Attempt(1), 60 }, cell.mNow + 3s);
  LONGS_EQUAL(1, cell.mCore.State().mCounters.mFinished);
  LONGS_EQUAL(0, cell.mCore.State().mRequests.size());
}

TEST(decide, NoPrefillStartsWithoutASlotExpectedAtItsEnd)
{
  bench cell(2);
  cell.Decode(1);
  cell.Decode(2);
  LONGS_EQUAL(0, Count<start_prefill>(cell.Arrive(3)));
  const auto freed = cell.mCore.Handle(stream_finished{ bench::Attempt(1), 60 }, cell.mNow);
  LONGS_EQUAL(1, Count<start_prefill>(freed) + Count<start_prefill>(cell.Arrive(4)));
}

TEST(decide, WithoutThePromisePrefillsStartAtOnce)
{
  cell_settings settings;
  settings.mSwitches.mDecodePromise = false;
  settings.mSwitches.mAdmission = false;
  bench cell(2, settings);
  cell.Decode(1);
  cell.Decode(2);
  LONGS_EQUAL(1, Count<start_prefill>(cell.Arrive(3)));
}

TEST(decide, ARequestThatWouldWaitTooLongIsRefusedAtOnceWithATimeToComeBack)
{
  bench cell(2);
  cell.Decode(1);
  cell.Decode(2);
  tick_result last;
  for (std::uint64_t request = 3; request < 12; ++request) {
    last = cell.Arrive(request);
  }
  const auto refusal = First<refuse_request>(last);
  CHECK_TRUE(refusal.mReason == errc::eOverloaded);
  CHECK_TRUE(refusal.mRetryAfter >= 200ms);
}

TEST(decide, ALostPrefillIsRepeatedWithinTheBudgetAndRefusedBeyondIt)
{
  cell_settings settings;
  settings.mSwitches.mAdmission = false;
  bench cell(1, settings);
  cell.Arrive(1);
  for (int repeat = 0; repeat < 10; ++repeat) {
    const auto failed =
      cell.mCore.Handle(work_failed{ bench::Attempt(1), kPrefill, false, true }, cell.mNow);
    LONGS_EQUAL(0, Count<refuse_request>(failed));
    cell.mNow += 1100ms;
    LONGS_EQUAL(1, Count<start_prefill>(cell.mCore.Tick(cell.mNow)));
  }
  const auto last =
    cell.mCore.Handle(work_failed{ bench::Attempt(1), kPrefill, false, true }, cell.mNow);
  LONGS_EQUAL(1, Count<refuse_request>(last));
}

TEST(decide, PracticeTurnsGoFirstButAnAgedReviewGoesBeforeThem)
{
  cell_settings settings;
  settings.mSwitches.mAging = true;
  bench cell(1, settings);
  cell.Decode(1);
  cell.Arrive(2, 6000, Placement());
  cell.mNow += 2100ms;
  cell.Arrive(3);
  const auto freed = cell.mCore.Handle(stream_finished{ bench::Attempt(1), 60 }, cell.mNow);
  CHECK_TRUE(First<start_prefill>(freed).mAttempt == bench::Attempt(2));
}

TEST(decide, TurnsPassAReviewWhosePrefillEnginesAreBusy)
{
  bench cell(20);
  cell.Arrive(1, 6000, Placement());
  cell.Arrive(2, 6000, Placement());
  LONGS_EQUAL(0, Count<start_prefill>(cell.Arrive(3, 6000, Placement())));
  LONGS_EQUAL(1, Count<start_prefill>(cell.Arrive(4)));
}

TEST(decide, SmallTransfersPassBetweenThePiecesOfALargeOne)
{
  bench cell(20);
  cell.See({ kOtherPrefill, "p2", runner_role::ePrefill });
  cell.Arrive(1, 6000, Placement());
  cell.Arrive(2);
  const std::uint64_t large = 10 * cell_settings{}.mLink.mChunkBytes;
  LONGS_EQUAL(2, Count<start_chunk>(cell.Prefilled(1, large)));
  LONGS_EQUAL(0, Count<start_chunk>(cell.Prefilled(2)));
  CHECK_TRUE(First<start_chunk>(cell.Chunk(1)).mAttempt == bench::Attempt(2));
}

TEST(decide, ALinkSlowerThanDeclaredIsNoticed)
{
  bench cell(20);
  const std::uint64_t chunk = cell_settings{}.mLink.mChunkBytes;
  cell.Arrive(1, 6000, Placement());
  cell.Prefilled(1, 20 * chunk);
  const duration declared = LinkBacklog(cell.mCore.State(), 1, request_stage::eReady);
  for (int piece = 0; piece < 10; ++piece) {
    cell.mNow += 100ms;
    cell.Chunk(1);
  }
  CHECK_TRUE(LinkRate(cell.mCore.State()) < 1.0e9);
  CHECK_TRUE(LinkBacklog(cell.mCore.State(), 1, request_stage::eReady) > declared);
}

TEST(decide, TheEngineThatHoldsThePrefixIsPreferredWhileItsQueueIsShort)
{
  bench cell(20);
  cell.See({ kOtherPrefill, "p2", runner_role::ePrefill });
  const std::vector<prefix_block> guide{ { 77, 4000 } };
  const engine_id first = First<start_prefill>(cell.Arrive(1, 6000, Placement(), guide)).mEngine;
  cell.Prefilled(1);
  cell.mNow += 100ms;
  CHECK_TRUE(First<start_prefill>(cell.Arrive(2, 6000, Placement(), guide)).mEngine == first);
  cell.mCore.Handle(cache_changed{ first, 77, false }, cell.mNow);
  CHECK_FALSE(First<start_prefill>(cell.Arrive(3, 6000, Placement(), guide)).mEngine == first);
}

TEST(decide, ALeavingEngineGetsNoNewWork)
{
  bench cell(2);
  cell.See({ kOtherDecode, "d2", runner_role::eDecode, 2 });
  cell.See({ kDecode, "d1", runner_role::eDecode, 2, 8000.0, true });
  cell.Arrive(1);
  CHECK_TRUE(First<start_chunk>(cell.Prefilled(1)).mEngine == kOtherDecode);
}

TEST(decide, ACancelFreesBothEngines)
{
  bench cell;
  cell.Arrive(1);
  cell.Prefilled(1);
  const auto cancelled = cell.mCore.Handle(request_cancelled{ bench::Attempt(1) }, cell.mNow);
  LONGS_EQUAL(2, Count<cancel_work>(cancelled));
  LONGS_EQUAL(0, cell.mCore.State().mEngines.at(kDecode).mWork.size());
  LONGS_EQUAL(0, cell.mCore.State().mChunks.size());
}

TEST(decide, ADaemonThatEndedLeavesNothingBehind)
{
  bench cell(4);
  cell.Decode(1);
  cell.Arrive(2);
  const auto gone = cell.mCore.Handle(incarnation_gone{ { 9 } }, cell.mNow);
  LONGS_EQUAL(2, Count<cancel_work>(gone));
  LONGS_EQUAL(0, cell.mCore.State().mRequests.size());
  LONGS_EQUAL(4, cell.mCore.State().mEngines.at(kDecode).FreeSlots());
}

TEST(decide, ARefusedTransferGoesToAnotherEngineWithoutASecondPrefill)
{
  bench cell(2);
  cell.See({ kOtherDecode, "d2", runner_role::eDecode, 2 });
  cell.Arrive(1);
  const engine_id first = First<start_chunk>(cell.Prefilled(1)).mEngine;
  const auto failed =
    cell.mCore.Handle(work_failed{ bench::Attempt(1), first, true, false }, cell.mNow);
  CHECK_FALSE(First<start_chunk>(failed).mEngine == first);
  LONGS_EQUAL(0, Count<start_prefill>(failed));
}

TEST(decide, AnAdoptedStreamKeepsItsSlot)
{
  bench cell(2);
  const request_arrived request{ bench::Attempt(1), "practice", Practice(), 200, 60, {} };
  cell.mCore.Handle(request_adopted{ request, request_stage::eDecoding, {}, kDecode }, cell.mNow);
  LONGS_EQUAL(1, cell.mCore.State().mEngines.at(kDecode).FreeSlots());
}

TEST(decide, SlotsHeldByOthersAreNotGivenAway)
{
  bench cell(2);
  cell.mCore.Handle(load_reported{ kDecode, 2, 2 }, cell.mNow);
  cell.Arrive(1);
  LONGS_EQUAL(0, Count<start_chunk>(cell.Prefilled(1)));
}
