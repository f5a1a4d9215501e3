/**
 * @file member_rank.cpp
 * What follows from all members together: ownership, ranks, positions in the log.
 */
#include "membership/member_base.h"

#include "core/hash_func.h"

#include <algorithm>

namespace dunehook {

bool
RanksBefore(const member_info& aOne, const member_info& aTwo)
{
  return std::tie(aTwo.mWeight, aOne.mName, aOne.mIncarnation) <
         std::tie(aOne.mWeight, aTwo.mName, aTwo.mIncarnation);
}

const member_info&
member_table::OwnerOf(std::string_view aKey) const
{
  const member_info* owner = &mSelf;
  std::uint64_t best =
    mSelf.mServing ? RendezvousRank(aKey, mSelf.mIncarnation.mValue) : std::uint64_t{ 0 };
  for (const auto& [incarnation, entry] : mOthers) {
    if (!entry.mInfo.mServing || entry.mUnreachableSince != instant{ 0 }) {
      continue;
    }
    const std::uint64_t rank = RendezvousRank(aKey, incarnation.mValue);
    if (rank > best) {
      best = rank;
      owner = &entry.mInfo;
    }
  }
  return *owner;
}

std::vector<const member_info*>
member_table::FirstByKey(std::string_view aKey, std::size_t aCount) const
{
  std::vector<std::pair<std::uint64_t, const member_info*>> ranked;
  for (const auto& [incarnation, entry] : mOthers) {
    if (entry.mInfo.mServing) {
      ranked.emplace_back(RendezvousRank(aKey, incarnation.mValue), &entry.mInfo);
    }
  }
  const std::size_t count = std::min(aCount, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    [](const auto& aOne, const auto& aTwo) { return aOne.first > aTwo.first; });
  std::vector<const member_info*> first;
  for (std::size_t index = 0; index < count; ++index) {
    first.push_back(ranked[index].second);
  }
  return first;
}

std::size_t
member_table::CountServing() const
{
  std::size_t count = mSelf.mServing ? 1 : 0;
  for (const auto& [incarnation, entry] : mOthers) {
    count += entry.mInfo.mServing ? 1 : 0;
  }
  return std::max<std::size_t>(1, count);
}

std::vector<const member_info*>
member_table::Serving(std::optional<std::string_view> aHall) const
{
  std::vector<const member_info*> serving;
  if (mSelf.mServing && (!aHall || mSelf.mHall == *aHall)) {
    serving.push_back(&mSelf);
  }
  for (const auto& [incarnation, entry] : mOthers) {
    const bool wanted = !aHall || entry.mInfo.mHall == *aHall;
    if (wanted && entry.mInfo.mServing && entry.mUnreachableSince == instant{ 0 }) {
      serving.push_back(&entry.mInfo);
    }
  }
  return serving;
}

std::vector<const member_info*>
member_table::RankedServing(std::optional<std::string_view> aHall) const
{
  std::vector<const member_info*> ranked = Serving(aHall);
  std::sort(ranked.begin(), ranked.end(), [](const member_info* aOne, const member_info* aTwo) {
    return RanksBefore(*aOne, *aTwo);
  });
  return ranked;
}

std::vector<const member_info*>
member_table::FirstServing(std::size_t aCount) const
{
  std::vector<const member_info*> first = Serving(std::nullopt);
  const std::size_t count = std::min(aCount, first.size());
  std::partial_sort(
    first.begin(),
    first.begin() + static_cast<std::ptrdiff_t>(count),
    first.end(),
    [](const member_info* aOne, const member_info* aTwo) { return RanksBefore(*aOne, *aTwo); });
  first.resize(count);
  return first;
}

bool
member_table::IsAmongFirst(std::size_t aCount) const
{
  const std::vector<const member_info*> first = FirstServing(aCount);
  return std::find(first.begin(), first.end(), &mSelf) != first.end();
}

std::size_t
member_table::RankInHall() const
{
  return static_cast<std::size_t>(
    std::count_if(mOthers.begin(), mOthers.end(), [&](const auto& aRow) {
      const member_info& other = aRow.second.mInfo;
      return other.mServing && other.mHall == mSelf.mHall && RanksBefore(other, mSelf);
    }));
}

std::size_t
member_table::CountHavingApplied(std::uint64_t aOffset) const
{
  std::size_t count = mSelf.mNextOffset > aOffset ? 1 : 0;
  for (const auto& [incarnation, entry] : mOthers) {
    count += entry.mInfo.mNextOffset > aOffset ? 1 : 0;
  }
  return count;
}

std::uint64_t
member_table::HighestNextOffset() const
{
  std::uint64_t highest = 1;
  for (const auto& [incarnation, entry] : mOthers) {
    highest = std::max(highest, entry.mInfo.mNextOffset);
  }
  return highest;
}

const member_info*
member_table::PickAhead()
{
  std::vector<const member_info*> ahead = Serving(std::nullopt);
  std::erase_if(ahead, [this](const member_info* aMember) {
    return aMember->mNextOffset <= mSelf.mNextOffset;
  });
  const auto near = std::partition(ahead.begin(), ahead.end(), [this](const member_info* aMember) {
    return aMember->mHall == mSelf.mHall;
  });
  if (near != ahead.begin()) {
    ahead.erase(near, ahead.end());
  }
  if (ahead.empty()) {
    return nullptr;
  }
  std::uniform_int_distribution<std::size_t> which(0, ahead.size() - 1);
  return ahead[which(mRandom)];
}

} // namespace dunehook
