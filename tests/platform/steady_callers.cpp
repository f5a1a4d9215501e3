/**
 * @file steady_callers.cpp
 * Callers that send one request after the other.
 */
#include "tests/platform/steady_callers.h"

namespace dunehook::test {

namespace {

/** Time for a connection to come up, as callers of the platform give it. */
constexpr duration kConnectTime = std::chrono::seconds(1);
/** Rest of a caller that finds no daemon. */
constexpr duration kConnectRest = std::chrono::milliseconds(100);
/** Longest wait for any part of an answer; beyond what any test allows. */
constexpr duration kAnswerTime = std::chrono::seconds(15);

} // namespace

steady_callers::steady_callers(std::vector<caller_plan> aPlans)
{
  for (caller_plan& plan : aPlans) {
    asio::co_spawn(mIo, Run(std::move(plan)), asio::detached);
  }
  mThread = std::thread([this] { mIo.run(); });
}

void
steady_callers::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::vector<caller_record>
steady_callers::Records() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRecords;
}

asio::awaitable<void>
steady_callers::Run(caller_plan aPlan)
{
  const endpoint to = ParseEndpoint(aPlan.mAddress).value();
  const tcp::endpoint target(asio::ip::make_address(to.mAddress), to.mPort);
  std::unique_ptr<beast::tcp_stream> link;
  beast::flat_buffer buffer;
  int number = 0;
  while (!mStopping) {
    if (!link) {
      buffer.clear();
      link = std::make_unique<beast::tcp_stream>(mIo);
      link->expires_after(kConnectTime);
      boost::system::error_code error;
      co_await link->async_connect(target, asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        link.reset();
        co_await Sleep(kConnectRest);
        continue;
      }
    }
    const bool goesOn = co_await SendOne(aPlan, number++, *link, buffer);
    if (!goesOn) {
      link.reset();
    }
    co_await Sleep(std::chrono::milliseconds(aPlan.mPauseMs));
  }
}

asio::awaitable<bool>
steady_callers::SendOne(const caller_plan& aPlan,
                        int aNumber,
                        beast::tcp_stream& aLink,
                        beast::flat_buffer& aBuffer)
{
  caller_record record;
  record.mCaller = aPlan.mName;
  record.mId = aPlan.mName + "-" + std::to_string(aNumber);
  record.mSentAt = NowMs();
  http::request<http::string_body> request(http::string_to_verb(aPlan.mMethod), aPlan.mTarget, 11);
  for (const auto& [name, value] : aPlan.mHeaders) {
    request.set(name, value);
  }
  request.set("X-Request-Id", record.mId);
  request.prepare_payload();
  boost::system::error_code error;
  aLink.expires_after(kAnswerTime);
  co_await http::async_write(aLink, request, asio::redirect_error(asio::use_awaitable, error));
  http::response_parser<http::string_body> parser;
  if (!error) {
    co_await http::async_read(
      aLink, aBuffer, parser, asio::redirect_error(asio::use_awaitable, error));
  }
  record.mEndedAt = NowMs();
  record.mStatus = parser.is_header_done() ? parser.get().result_int() : 0;
  const bool success = record.mStatus == 200;
  record.mWhole =
    !error && (!success || parser.get().body().find(aPlan.mLastPiece) != std::string::npos);
  const bool goesOn = !error && parser.get().keep_alive();
  const std::lock_guard<std::mutex> lock(mMutex);
  mRecords.push_back(std::move(record));
  co_return goesOn;
}

} // namespace dunehook::test
