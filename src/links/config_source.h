/**
 * @file config_source.h
 * Serves the configuration to other daemons of the data hall, so that only one of them reads it
 * from the store. A daemon that isn't served in time reads the store itself.
 */
#pragma once

#include "core/compression_func.h"
#include "links/daemon_link.h"
#include "net/http_server.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace dunehook {

/** Path and query parameter with which a daemon asks another for a configuration newer than the
 * given version, and the response header with the position in the store after it. */
inline constexpr std::string_view kConfigPath = "/config";
inline constexpr std::string_view kAfterParameter = "after";
inline constexpr std::string_view kNextHeader = "Config-Next";
/** Headers of a daemon that takes a compressed text, and of the answer with one. */
inline constexpr std::string_view kAcceptCodingHeader = "Accept-Encoding";
inline constexpr std::string_view kCodingHeader = "Content-Encoding";
/** Link bandwidth for each concurrent transfer, in Mbit/s. It lets a large configuration arrive
 * within the time in which the store's answer would have to begin. */
inline constexpr double kMegabitsPerTransfer = 12.0;
/** Longest wait of a request for a free transfer slot, or for a version that is about to arrive.
 * The requesting daemon has as much time left to read the store. */
inline constexpr duration kMaxTurnWait = std::chrono::milliseconds(300);
/** Time between checks for a free transfer slot or a newer version. */
inline constexpr duration kTurnCheckInterval = std::chrono::milliseconds(10);

/** @return a position as "era:offset". */
inline std::string
ToText(const store_mark& aMark)
{
  return Join(aMark.mEra, ":", aMark.mOffset);
}

/** @return the position written by ToText(), or nothing if the text is malformed. */
inline std::optional<store_mark>
ParseMark(const std::string& aText)
{
  const std::vector<std::string> parts = absl::StrSplit(aText, ':');
  store_mark mark;
  const bool good = parts.size() == 2 && absl::SimpleAtoi(parts[0], &mark.mEra) &&
                    absl::SimpleAtoi(parts[1], &mark.mOffset);
  return good ? std::optional<store_mark>(mark) : std::nullopt;
}

/** The configuration in force, in the form in which it is served. */
struct served_config
{
  /** Text of the store record; null until a configuration is in force. */
  std::shared_ptr<const std::string> mText;
  /** Position in the store from which to poll for the next one, if known. */
  std::optional<store_mark> mNext;
};

/** Serves the configuration in force, with a limited number of transfers at a time. */
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

  /** Sets the configuration to serve. */
  void Set(served_config aCopy)
  {
    mServed = std::move(aCopy);
    mCompressed.clear();
  }

  /** Answers a daemon's request: 200 with the text; 503 if there is no free slot or nothing newer
   * within kMaxTurnWait; 404 if the request is malformed. */
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
    std::string body;
    if (aExchange->Header(kAcceptCodingHeader) == kCompressedCoding) {
      body = CompressedText();
    }
    if (body.empty()) {
      body = *mServed.mText;
    } else {
      headers.emplace_back(kCodingHeader, kCompressedCoding);
    }
    ++mActiveTransfers;
    co_await aExchange->Respond(200, std::move(body), headers);
    --mActiveTransfers;
  }

private:
  /** @return the text as it's sent to daemons that take it compressed; empty if it can't be. */
  const std::string& CompressedText()
  {
    if (mCompressed.empty()) {
      mCompressed = Compress(*mServed.mText);
    }
    return mCompressed;
  }

  bool CanServe(std::uint64_t aAfter) const
  {
    return mServed.mText && mState.mRoutes->Config().mVersion > aAfter &&
           mActiveTransfers < mMaxTransfers;
  }

  forward_state& mState;            ///< State shared by the parts of the daemon.
  served_config mServed;            ///< Configuration to serve.
  std::string mCompressed;          ///< Its compressed text; empty until a daemon wants it.
  std::size_t mMaxTransfers;        ///< Maximum number of concurrent transfers; at least 1.
  std::size_t mActiveTransfers = 0; ///< Transfers in progress.
};

} // namespace dunehook
