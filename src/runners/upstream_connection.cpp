/**
 * @file upstream_connection.cpp
 * Pass-through connections to runners, and their pool.
 */
#include "runners/upstream_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace dunehook {

namespace {

constexpr std::size_t kReadBytes = 8192;
/** A connection with unacknowledged bytes is closed after this: a peer that is gone sends nothing.
 * A runner may be silent for a second or so and go on. The kernel also gives up its probes of a
 * connection without traffic after this time, whatever their number. */
constexpr int kUnacknowledgedTimeoutMs = 1900;
/** A connection without traffic is probed after this many seconds, and then each second. */
constexpr int kProbeAfterSeconds = 1;
/** How long a connection may stay idle if the runner doesn't state it. */
constexpr duration kDefaultKeepAlive = std::chrono::milliseconds(1500);
/** An idle connection is assumed to be alive for this long after its last answer. */
constexpr duration kProvenAge = std::chrono::milliseconds(400);
/** Limit on idle connections to one runner, however many it accepts: load peaks are short. */
constexpr std::size_t kMaxIdle = 8;
/** Subtracted from the time that a runner keeps idle connections, for clock and network delays. */
constexpr duration kKeepAliveMargin = std::chrono::milliseconds(700);

/** Makes the kernel close a connection whose peer is silent. On failure the defaults remain. */
void
EnableDeadPeerDetection(tcp::socket& aSocket)
{
  const int handle = aSocket.native_handle();
  const int on = 1;
  ::setsockopt(handle,
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &kUnacknowledgedTimeoutMs,
               sizeof kUnacknowledgedTimeoutMs);
  ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeAfterSeconds, sizeof kProbeAfterSeconds);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeAfterSeconds, sizeof kProbeAfterSeconds);
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &on, sizeof on);
}

} // namespace

asio::awaitable<result<upstream_ptr>>
upstream_connection::Connect(const endpoint& aTo, duration aLimit)
{
  BOOST_OUTCOME_CO_TRY(beast::tcp_stream stream, co_await ConnectStream(aTo, aLimit));
  EnableDeadPeerDetection(stream.socket());
  co_return std::make_shared<upstream_connection>(std::move(stream));
}

asio::awaitable<result<const upstream_connection::response_parser::value_type*>>
upstream_connection::Start(const upstream_request& aRequest, duration aLimit)
{
  if (mAborted) {
    co_return make_error_code(errc::eConnectionLost);
  }
  mAnswerComplete = false;
  mWrite = std::make_shared<write_state>();
  mWrite->mHead = aRequest.mHead;
  mWrite->mBody = aRequest.mBody;
  mLimit.Set(aLimit);
  const std::string_view body = mWrite->mBody ? std::string_view(*mWrite->mBody) : "";
  const std::array<asio::const_buffer, 2> bytes{ asio::buffer(mWrite->mHead),
                                                 asio::buffer(body.data(), body.size()) };
  // The operation refers to the stream, so it keeps the connection alive.
  asio::async_write(mStream,
                    bytes,
                    [state = mWrite, self = shared_from_this()](
                      const boost::system::error_code& aError, std::size_t /*aCount*/) {
                      state->mState = aError ? request_write::eFailed : request_write::eSent;
                    });
  mParser.emplace();
  mParser->body_limit(boost::none);
  if (aRequest.mMethod == http::verb::head) {
    mParser->skip(true);
  }
  BOOST_OUTCOME_CO_TRY(co_await ReadHead(mStream, mLimit, mBuffer, *mParser));
  co_return &mParser->get();
}

asio::awaitable<result<bool>>
upstream_connection::ReadSome(std::string& aOut, instant aUntil)
{
  result<bool> more = co_await ReadSomeBody<kReadBytes>(
    mStream, mLimit, mBuffer, *mParser, aOut, aUntil, mWrite->mState);
  mAnswerComplete = more && !more.value();
  co_return more;
}

void
upstream_connection::Abort()
{
  mAborted = true;
  mAnswerComplete = false;
  mStream.close();
}

void
upstream_connection::Expire()
{
  mLimit.Set(duration{ 0 });
}

bool
upstream_connection::Reusable() const
{
  return !mAborted && mAnswerComplete && mWrite && mWrite->mState == request_write::eSent &&
         mParser->keep_alive() && !mParser->need_eof() && mBuffer.size() == 0;
}

bool
upstream_connection::Stale()
{
  char byte = 0;
  const ssize_t got = ::recv(mStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

std::optional<std::uint64_t>
upstream_connection::BodyLength() const
{
  const auto length = mParser->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::size_t
MaxIdleConnections(std::uint32_t aTaken, std::size_t aDaemons)
{
  const std::size_t part = aTaken / std::max<std::size_t>(1, aDaemons) / 2;
  return std::clamp<std::size_t>(part, 1, kMaxIdle);
}

asio::awaitable<result<upstream_ptr>>
upstream_pool::Take(endpoint aTo, bool aOnlyProven, instant aNow, duration aLimit)
{
  upstream_ptr taken = TakeIdle(aTo, aOnlyProven, aNow);
  if (!taken) {
    BOOST_OUTCOME_CO_TRY(taken, co_await upstream_connection::Connect(aTo, aLimit));
  }
  mTaken.insert(taken);
  co_return taken;
}

upstream_ptr
upstream_pool::TakeIdle(const endpoint& aTo, bool aOnlyProven, instant aNow)
{
  auto& idle = mIdle[aTo];
  while (!idle.empty()) {
    upstream_ptr connection = idle.back();
    const duration idleTime = aNow - connection->mIdleSince;
    if (aOnlyProven && idleTime > kProvenAge) {
      break; // The rest are older still; requests that can be repeated may use them.
    }
    idle.pop_back();
    if (idleTime < connection->mKeepFor && !connection->Stale()) {
      return connection;
    }
    connection->Abort();
  }
  return nullptr;
}

void
upstream_pool::ExpireTaken()
{
  for (const auto& taken : mTaken) {
    if (const upstream_ptr connection = taken.lock()) {
      connection->Expire();
    }
  }
}

void
upstream_pool::Give(const endpoint& aTo, const upstream_ptr& aConnection, instant aNow)
{
  auto& idle = mIdle[aTo];
  if (!aConnection->Reusable() || idle.size() >= mMaxIdle) {
    aConnection->Abort();
    return;
  }
  const duration statedLifetime = aConnection->mKeepFor;
  aConnection->mKeepFor = statedLifetime > duration{ 0 }
                            ? std::max(statedLifetime - kKeepAliveMargin, statedLifetime / 3)
                            : kDefaultKeepAlive;
  aConnection->mIdleSince = aNow;
  idle.push_back(aConnection);
}

void
upstream_pool::Drop(const endpoint& aTo)
{
  const auto found = mIdle.find(aTo);
  if (found == mIdle.end()) {
    return;
  }
  for (const upstream_ptr& connection : found->second) {
    connection->Abort();
  }
  mIdle.erase(found);
}

void
upstream_pool::Prune(instant aNow)
{
  for (auto& [at, idle] : mIdle) {
    std::erase_if(idle, [&](const upstream_ptr& aConnection) {
      const bool old = aNow - aConnection->mIdleSince >= aConnection->mKeepFor;
      if (old) {
        aConnection->Abort();
      }
      return old;
    });
  }
  std::erase_if(mIdle, [](const auto& aRow) { return aRow.second.empty(); });
  std::erase_if(mTaken, [](const auto& aTaken) { return aTaken.expired(); });
}

} // namespace dunehook
