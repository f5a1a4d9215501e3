/**
 * @file chooser.h
 * Choice among the engines that can take a request. The choosers vary by type: the core is a
 * template over one of them.
 */
#pragma once

#include "decide/forecast_func.h"

#include <concepts>
#include <span>

namespace dunehook {

/** A way to choose engines. Candidates are never empty and are in the order of their ids. */
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

/** @return the candidate with the most free slots; the first of equals. */
inline const engine_entry*
MostFreeSlots(std::span<const engine_entry* const> aCandidates)
{
  return *std::max_element(
    aCandidates.begin(), aCandidates.end(), [](const engine_entry* aOne, const engine_entry* aTwo) {
      return aOne->FreeSlots() < aTwo->FreeSlots();
    });
}

/** Prefill where the prompt is read soonest, counting cached prefixes; decode where most is free.
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

/** Engines in turn. A baseline. */
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

  std::size_t mNextPrefill = 0; ///< Counts prefill choices.
  std::size_t mNextDecode = 0;  ///< Counts decode choices.
};

/** The engine with the least work known. A baseline. */
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
