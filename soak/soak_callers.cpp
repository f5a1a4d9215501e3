/**
 * @file soak_callers.cpp
 * The callers' requests.
 */
#include "soak/soak_callers.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace dunehook::soak {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using test::NowMs;

/** Longest wait of a caller for a connection, and for a whole answer. */
constexpr auto kConnectTime = std::chrono::seconds(1);
constexpr auto kAnswerTime = std::chrono::seconds(16);
/** Chances, of 100. */
constexpr int kLeaves = 8;
constexpr int kFreshConnection = 25;
constexpr int kPoisoned = 12;
/** Tries of a request that broke, beyond the first. */
constexpr int kMostRepeats = 4;
/** Rest between two requests of a caller, in ms. */
constexpr int kMostRest = 60;
/** Events of a stream; the stand-in makes one each 10 ms. */
constexpr int kMostEvents = 40;
constexpr int kPromptTokens = 2000;

/** @return whether a part of a call's prompt crashes engines. */
bool
IsPoisonPart(const call_record& aCall)
{
  return aCall.mPoison.starts_with(kPoisonPart);
}

std::string
TargetOf(const call_record& aCall)
{
  switch (aCall.mKind) {
    case call_kind::eRecord:
      return "/records/a";
    case call_kind::ePage:
      return "/pages/a";
    case call_kind::eTurn:
      return "/turns/a";
    case call_kind::eResumed:
      return "/resumed/a";
    case call_kind::eVersion:
      return "/v" + std::to_string(aCall.mVersion) + "/a";
  }
  return "/";
}

bool
IsStream(call_kind aKind)
{
  return aKind == call_kind::eTurn || aKind == call_kind::eResumed;
}

http::request<http::string_body>
RequestOf(const call_record& aCall)
{
  const bool reads = aCall.mKind == call_kind::ePage || aCall.mKind == call_kind::eVersion;
  http::request<http::string_body> request{ reads ? http::verb::get : http::verb::post,
                                            TargetOf(aCall),
                                            11 };
  test::headers fields = test::CallerHeaders(aCall.mId);
  if (IsStream(aCall.mKind)) {
    fields = test::GenerationHeaders(aCall.mId, kPromptTokens, static_cast<int>(aCall.mEvents));
    if (aCall.mFirstEvent > 0) {
      fields.emplace_back("Last-Event-Id", std::to_string(aCall.mFirstEvent - 1));
    }
    if (IsPoisonPart(aCall)) {
      std::erase_if(fields, [](const auto& aField) { return aField.first == "X-Prefix-Hash"; });
      fields.emplace_back("X-Prefix-Hash",
                          "aa:200," + aCall.mPoison + ":100," + aCall.mId + ":900");
    }
  }
  for (const auto& [name, value] : fields) {
    request.set(name, value);
  }
  if (!reads) {
    const std::string& first = aCall.mSameAs.empty() ? aCall.mId : aCall.mSameAs;
    request.body() =
      aCall.mPoison.empty() || IsPoisonPart(aCall) ? "body of " + first : aCall.mPoison;
  }
  request.prepare_payload();
  return request;
}

/** @return whether a request's answer broke off, so that its caller may send it again. */
bool
Broke(const call_record& aCall)
{
  const bool cut = aCall.mStatus == 200 && !aCall.mWhole;
  return !aCall.mLeft && aCall.mPoison.empty() && (cut || aCall.mStatus == 502);
}

/** Makes a call another try of a request. */
void
Repeat(const call_record& aFormer, call_record& aCall)
{
  aCall.mKind = aFormer.mKind;
  aCall.mVersion = aFormer.mVersion;
  aCall.mEvents = aFormer.mEvents;
  aCall.mPoison.clear();
  aCall.mLeft = false;
  aCall.mSameAs = aFormer.mSameAs.empty() ? aFormer.mId : aFormer.mSameAs;
  aCall.mRepeats = aFormer.mRepeats + 1;
}

/** @return whole events of a stream's text. */
std::uint64_t
CountEvents(const std::string& aBody)
{
  std::uint64_t events = 0;
  for (std::size_t at = aBody.find("\n\n"); at != std::string::npos;
       at = aBody.find("\n\n", at + 2)) {
    ++events;
  }
  return events;
}

} // namespace

/** A caller's connection. */
struct soak_callers::connection
{
  explicit connection(asio::io_context& aIo)
    : mStream(aIo)
  {
  }
  void Close()
  {
    boost::system::error_code ignored; // It may be closed already.
    mStream.socket().close(ignored);
    mBuffer.clear();
    mOpen = false;
  }
  beast::tcp_stream mStream;  ///< To the daemon.
  beast::flat_buffer mBuffer; ///< Bytes read ahead.
  std::size_t mDaemon = 0;    ///< Which daemon.
  bool mOpen = false;         ///< It can carry a request.
};

soak_callers::soak_callers(caller_world& aWorld, std::size_t aCallers, unsigned aSeed)
  : mWorld(aWorld)
  , mIo(1)
  , mRandom(aSeed)
{
  for (std::size_t number = 0; number < aCallers; ++number) {
    asio::co_spawn(mIo, Live(number), asio::detached);
  }
  mThread = std::thread([this] { mIo.run(); });
}

soak_callers::~soak_callers()
{
  Stop();
}

void
soak_callers::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::vector<call_record>
soak_callers::Records() const
{
  const std::lock_guard<std::mutex> guard(mLock);
  return mRecords;
}

call_record
soak_callers::DrawCall(std::size_t aNumber, std::uint64_t aCount)
{
  call_record call;
  call.mId = "c" + std::to_string(aNumber) + "-" + std::to_string(aCount);
  call.mKind = static_cast<call_kind>(Draw(5));
  call.mVersion = mWorld.mVersion;
  if (call.mKind == call_kind::eVersion && call.mVersion < 2) {
    call.mKind = call_kind::ePage; // No route was added yet.
  }
  call.mEvents = IsStream(call.mKind) ? 1 + static_cast<std::uint64_t>(Draw(kMostEvents)) : 0;
  call.mLeft = Draw(100) < kLeaves;
  const int poison = mWorld.mPoison;
  if (poison != 0 && Draw(100) < kPoisoned) {
    // Tries of one request are alike in all but their ids, so its kind follows from its number.
    call.mKind = poison % 2 == 0 ? call_kind::eTurn : call_kind::eResumed;
    call.mEvents = kMostEvents;
    call.mPoison = mWorld.mPoisonParts
                     ? kPoisonPart + std::to_string(std::min(poison, kPoisonParts))
                     : kPoison + std::to_string(poison);
  }
  return call;
}

asio::awaitable<void>
soak_callers::Live(std::size_t aNumber)
{
  connection open(mIo);
  std::uint64_t count = 0;
  std::optional<call_record> resume;
  std::optional<call_record> repeat;
  while (!mStopping) {
    call_record call = DrawCall(aNumber, count++);
    if (resume) {
      call.mKind = call_kind::eResumed;
      call.mEvents = resume->mEvents;
      call.mFirstEvent = resume->mFirstEvent + CountEvents(resume->mBody);
      call.mLeft = false;
    }
    if (repeat) {
      Repeat(*repeat, call); // A stream that may go on does so, as the same request.
    }
    co_await Perform(open, call);
    repeat.reset();
    if (mWorld.mRepeats && Broke(call) && call.mRepeats < kMostRepeats) {
      repeat = call;
    }
    const bool broke = call.mKind == call_kind::eResumed && call.mStatus == 200 && !call.mWhole &&
                       call.mPoison.empty();
    resume.reset();
    if (broke && !call.mLeft) {
      resume = call;
    }
    if (call.mSentAt != 0) { // A daemon that isn't there is asked often; that says nothing.
      const std::lock_guard<std::mutex> guard(mLock);
      mRecords.push_back(std::move(call));
    }
    asio::steady_timer rest(mIo, std::chrono::milliseconds(1 + Draw(kMostRest)));
    co_await rest.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void>
soak_callers::Perform(connection& aConnection, call_record& aCall)
{
  boost::system::error_code error;
  if (aConnection.mOpen && Draw(100) < kFreshConnection) {
    aConnection.Close();
  }
  if (!aConnection.mOpen) {
    aConnection.mDaemon = static_cast<std::size_t>(Draw(static_cast<int>(mWorld.mDaemons.size())));
    const endpoint to = ParseEndpoint(mWorld.mDaemons[aConnection.mDaemon]).value();
    aConnection.mStream.expires_after(kConnectTime);
    const tcp::endpoint at(asio::ip::make_address(to.mAddress), to.mPort);
    co_await aConnection.mStream.async_connect(at,
                                               asio::redirect_error(asio::use_awaitable, error));
    aConnection.mOpen = !error;
  }
  aCall.mDaemon = aConnection.mDaemon;
  aCall.mLife = mWorld.mLives[aCall.mDaemon];
  if (!aConnection.mOpen) {
    aConnection.Close();
    co_return;
  }
  const auto request = RequestOf(aCall);
  aConnection.mStream.expires_after(kAnswerTime);
  co_await http::async_write(
    aConnection.mStream, request, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    aConnection.Close();
    co_return;
  }
  aCall.mSentAt = NowMs();
  if (aCall.mLeft) {
    asio::steady_timer stay(mIo, std::chrono::milliseconds(Draw(150)));
    co_await stay.async_wait(asio::use_awaitable);
    aConnection.Close();
    aCall.mEndedAt = NowMs();
    co_return;
  }
  http::response_parser<http::string_body> parser;
  co_await http::async_read(aConnection.mStream,
                            aConnection.mBuffer,
                            parser,
                            asio::redirect_error(asio::use_awaitable, error));
  aCall.mEndedAt = NowMs();
  if (parser.is_header_done()) {
    aCall.mStatus = parser.get().result_int();
    aCall.mAnswerId = std::string(parser.get()["X-Request-Id"]);
    aCall.mBody = parser.get().body();
    aCall.mWhole = !error;
  }
  if (error || !parser.keep_alive()) {
    aConnection.Close();
  }
}

} // namespace dunehook::soak
