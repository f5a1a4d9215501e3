/**
 * @file chooser.h
 * Policies that choose among the engines that can take a request. The placement core is a template
 * over one of them.
 */
#pragma once

#include "decide/forecast_func.h"

#include <concepts>
#include <span>

namespace dunehook {

/** A policy that chooses engines. The candidates are never empty and are sorted by id. */
template<typename T>
concept engine_chooser = requires(T& aChooser,
                                  const cell_state& aCell,
                                  const request_entry& aRequest,
                                  std::span<const engine_entry* const> aCandidates)
{
  {
    aChooser.ChoosePrefill(aCell, aRequest, aCandidates)
    } -> std::same_as<const engine_entry*>;
  {
    aChooser.ChooseDecode(aCell, aRequest, aCandidates)
    } -> std::same_as<const engine_entry*>;
  {
    T::kName
    } -> std::convertible_to<const char*>;
};

/** @return the candidate with the most free slots; on a tie the one with the lowest id. */
inline const engine_entry*
MostFreeSlots(std::span<const engine_entry* const> aCandidates)
{
  return *std::max_element(
    aCandidates.begin(), aCandidates.end(), [](const engine_entry* aOne, const engine_entry* aTwo) {
      return aOne->FreeSlots() < aTwo->FreeSlots();
    });
}

/**
 * Chooses the prefill engine with the earliest expected end of the prefill, counting cached
 * prefixes, and the decode engine with the most free slots.
 */
struct cost_chooser
{
  static constexpr const char* kName = "cost"; ///< Name in records.

  const engine_entry* ChoosePrefill(const cell_state& aCell,
                                    const request_entry& aRequest,
                                    std::span<const engine_entry* const> aCandidates)
  {
    const engine_entry* best = nullptr;
    duration bestCost = duration::max();
    for (const engine_entry* const candidate : aCandidates) {
      const duration cost = PrefillBacklog(aCell, *candidate, aRequest.EffectiveRank()) +
                            PrefillTime(aCell, *candidate, aRequest.mRequest);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  const engine_entry* ChooseDecode(const cell_state& /*aCell*/,
                                   const request_entry& /*aRequest*/,
                                   std::span<const engine_entry* const> aCandidates)
  {
    return MostFreeSlots(aCandidates);
  }
};

/** Takes the engines in turn. Baseline for comparisons. */
struct round_robin_chooser
{
  static constexpr const char* kName = "round_robin"; ///< Name in records.

  const engine_entry* ChoosePrefill(const cell_state& /*aCell*/,
                                    const request_entry& /*aRequest*/,
                                    std::span<const engine_entry* const> aCandidates)
  {
    return aCandidates[mNextPrefill++ % aCandidates.size()];
  }

  const engine_entry* ChooseDecode(const cell_state& /*aCell*/,
                                   const request_entry& /*aRequest*/,
                                   std::span<const engine_entry* const> aCandidates)
  {
    return aCandidates[mNextDecode++ % aCandidates.size()];
  }

  std::size_t mNextPrefill = 0; ///< Number of prefill choices made.
  std::size_t mNextDecode = 0;  ///< Number of decode choices made.
};

/** Takes the engine with the fewest known requests. Baseline for comparisons. */
struct least_loaded_chooser
{
  static constexpr const char* kName = "least_loaded"; ///< Name in records.

  const engine_entry* ChoosePrefill(const cell_state& /*aCell*/,
                                    const request_entry& /*aRequest*/,
                                    std::span<const engine_entry* const> aCandidates)
  {
    return *std::min_element(aCandidates.begin(),
                             aCandidates.end(),
                             [](const engine_entry* aOne, const engine_entry* aTwo) {
                               return aOne->mActiveAttempts.size() + aOne->mOtherSlots <
                                      aTwo->mActiveAttempts.size() + aTwo->mOtherSlots;
                             });
  }

  const engine_entry* ChooseDecode(const cell_state& /*aCell*/,
                                   const request_entry& /*aRequest*/,
                                   std::span<const engine_entry* const> aCandidates)
  {
    return MostFreeSlots(aCandidates);
  }
};

} // namespace dunehook
