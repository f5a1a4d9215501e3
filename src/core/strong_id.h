/**
 * @file strong_id.h
 * Typed ids: integers that can't be mixed up with those of another table.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace dunehook {

/**
 * An integer id that belongs to one kind of entity.
 * @tparam Tag a type used only to tell kinds apart.
 */
template<typename Tag>
struct strong_id
{
  std::uint64_t mValue = 0; ///< The raw number; 0 means none.

  auto operator<=>(const strong_id&) const = default;
  /** @return whether the id names something. */
  explicit operator bool() const { return mValue != 0; }
};

} // namespace dunehook

template<typename Tag>
struct std::hash<dunehook::strong_id<Tag>>
{
  std::size_t operator()(const dunehook::strong_id<Tag>& aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.mValue);
  }
};
