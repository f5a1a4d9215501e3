/**
 * @file config_source.h
 * Hands the configuration on to other daemons of the hall, so that one of them reads it from the
 * store. A daemon that isn't served in time reads it itself.
 */
#pragma once

#include "links/daemon_link.h"
#include "net/http_server.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace dunehook {

/** Where a daemon asks another for a configuration, and the heads of the answer. */
inline constexpr std::string_view kConfigPath = "/config";
inline constexpr std::string_view kAfterParameter = "after";
inline constexpr std::string_view kNextHeader = "Config-Next";
/** A daemon hands out one configuration at a time for each so many Mbit/s of its link, so that a
 * large one is through in the time in which the store's answer must begin. */
inline constexpr double kMegabitsPerTransfer = 12.0;
/** A question waits so long for a turn, or for a version that is on its way: the asker has as long
 * left for the store. */
inline constexpr duration kMaxTurnWait = std::chrono::milliseconds(300);
/** Time between looks for a turn. */
inline constexpr duration kTurnCheckInterval = std::chrono::milliseconds(10);

/** @return a position as "era:offset". */
inline std::string
ToText(const store_mark& aMark)
{
  return Join(aMark.mEra, ":", aMark.mOffset);
}

/** @return the position that ToText() wrote, or nothing if it's none. */
inline std::optional<store_mark>
ParseMark(const std::string& aText)
{
  const std::vector<std::string> parts = absl::StrSplit(aText, ':');
  store_mark mark;
  const bool good = parts.size() == 2 && absl::SimpleAtoi(parts[0], &mark.mEra) &&
                    absl::SimpleAtoi(parts[1], &mark.mOffset);
  return good ? std::optional<store_mark>(mark) : std::nullopt;
}

/** The configuration in force, as it's handed on. */
struct served_config
{
  std::shared_ptr<const std::string> mText; ///< Null until one is in force.
  std::optional<store_mark> mNext;          ///< Where to wait for the next in the store, if known.
};

/** The source. */
class config_source
{
public:
  explicit config_source(forward_state& aState)
    : mState(aState)
    , mMaxTransfers(std::max<std::size_t>(
        1,
        static_cast<std::size_t>(aState.mSettings.mLinkMegabits / kMegabitsPerTransfer)))
  {
  }

  /** Sets what is handed on: the configuration in force. */
  void Set(served_config aCopy) { mServed = std::move(aCopy); }

  /** Answers a daemon: 200 with the text, or 503 if it isn't its turn, or there's nothing newer. */
  asio::awaitable<void> Answer(exchange_ptr aExchange)
  {
    std::uint64_t after = 0;
    const std::string wanted = aExchange->Query(kAfterParameter);
    const bool good = absl::SimpleAtoi(wanted, &after) && aExchange->Path() == kConfigPath;
    const instant until = mState.Now() + kMaxTurnWait;
    while (good && !CanServe(after) && mState.Now() < until && !aExchange->CallerGone()) {
      co_await Sleep(kTurnCheckInterval);
    }
    header_list headers;
    if (!good || !CanServe(after)) {
      co_await aExchange->Respond(good ? 503 : 404, std::string(), headers);
      co_return;
    }
    if (mServed.mNext) {
      headers.emplace_back(kNextHeader, ToText(*mServed.mNext));
    }
    ++mActiveTransfers;
    co_await aExchange->Respond(200, *mServed.mText, headers);
    --mActiveTransfers;
  }

private:
  bool CanServe(std::uint64_t aAfter) const
  {
    return mServed.mText && mState.mRoutes->Config().mVersion > aAfter &&
           mActiveTransfers < mMaxTransfers;
  }

  forward_state& mState;            ///< Shared.
  served_config mServed;            ///< What is handed on.
  std::size_t mMaxTransfers;        ///< Answers under way at once; at least 1.
  std::size_t mActiveTransfers = 0; ///< Answers under way.
};

} // namespace dunehook
