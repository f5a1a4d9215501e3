/**
 * @file broken_answer_test.cpp
 * Both clients take no answer for whole that ends with its connection before the server has got the
 * whole request, and use no connection again that isn't between two answers. Every call to a
 * runner, the store or another daemon is read by one of them.
 */
#include "runners/upstream_connection.h"
#include "tests/support/raw_server.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

constexpr duration kAnswerLimit = 3s;
/** Receive buffer of servers that don't read a request. */
constexpr int kReceiveBytes = 4096;
/** A body that the buffers of a connection don't hold, and one that the sender's buffer holds. */
constexpr std::size_t kLargeBodyBytes = 8000000;
constexpr std::size_t kHeldBodyBytes = 200000;
/** Plays of each case: which operation is told of an error depends on the times. */
constexpr int kPlays = 5;

/** How a server ends a connection. */
enum class end_by
{
  eClose,     ///< It closes it, which resets it where bytes aren't read.
  eReset,     ///< It resets it.
  eHalfClose, ///< It ends its sending side, and closes later.
  eSilence,   ///< It keeps it open.
};

/** An answer, and how its server ends the connection. */
struct server_answer
{
  std::string mText;               ///< All bytes of it.
  end_by mEnd = end_by::eClose;    ///< How the connection ends.
  duration mAfter = duration{ 0 }; ///< Time until then.
  bool mReadsHead = false;         ///< The server reads the request's head first.
};

/** Sends one answer on each connection, and reads nothing of the request's body. */
class answering_server
{
public:
  answering_server(asio::io_context& aIo, server_answer aAnswer)
    : mAnswer(std::move(aAnswer))
    , mServer(aIo, [this](test::raw_socket aSocket, int /*aNumber*/) {
      return Serve(std::move(aSocket));
    })
  {
  }

  endpoint Address() const { return mServer.Address(); }

private:
  asio::awaitable<void> Serve(test::raw_socket aSocket)
  {
    mOpen.push_back(aSocket);
    boost::system::error_code ignored; // The client may have closed it.
    aSocket->set_option(asio::socket_base::receive_buffer_size(kReceiveBytes), ignored);
    std::string rest;
    if (mAnswer.mReadsHead) {
      co_await test::ReadRequest(*aSocket, rest);
    }
    co_await test::WriteBytes(*aSocket, mAnswer.mText);
    co_await Sleep(mAnswer.mAfter);
    if (mAnswer.mEnd == end_by::eHalfClose) {
      aSocket->shutdown(tcp::socket::shutdown_send, ignored);
      co_await Sleep(100ms);
    }
    if (mAnswer.mEnd == end_by::eReset) {
      aSocket->set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (mAnswer.mEnd != end_by::eSilence) {
      aSocket->close(ignored);
    }
  }

  server_answer mAnswer;               ///< Sent on each connection.
  std::vector<test::raw_socket> mOpen; ///< Keeps connections open.
  test::raw_server mServer;            ///< Accepts connections.
};

/** What a client makes of an answer. */
struct client_view
{
  bool mWhole = false;    ///< It takes it for whole.
  bool mReusable = false; ///< It would send another request on the connection.
  std::error_code mError; ///< Why there's no answer.
};

/** Calls by the client of runners, and of daemons that relay. */
asio::awaitable<void>
AskRunner(endpoint aAt, std::string aBody, client_view& aView)
{
  const upstream_ptr connection = (co_await upstream_connection::Connect(aAt, 1s)).value();
  upstream_request request;
  request.mMethod = http::verb::post;
  request.mHead =
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  request.mBody = std::make_shared<const std::string>(std::move(aBody));
  const instant until = boot_clock_source{}.Now() + kAnswerLimit;
  const auto head = co_await connection->Start(request, kAnswerLimit);
  aView.mError = head ? std::error_code{} : head.error();
  std::string body;
  bool more = head.has_value();
  while (more) {
    const result<bool> read = co_await connection->ReadSome(body, until);
    aView.mError = read ? std::error_code{} : read.error();
    more = read && read.value();
  }
  aView.mWhole = !aView.mError;
  aView.mReusable = aView.mWhole && connection->Reusable();
  connection->Abort();
}

/** Calls by the client of the store, of reservations and of other daemons. */
asio::awaitable<void>
AskServer(endpoint aAt, std::string aBody, client_view& aView)
{
  const http_connection_ptr connection = (co_await http_connection::Connect(aAt, 1s)).value();
  http_call call;
  call.mMethod = http::verb::post;
  call.mBody = std::move(aBody);
  const result<http_answer> answer = co_await connection->Call(call, kAnswerLimit);
  aView.mWhole = answer.has_value();
  aView.mError = answer ? std::error_code{} : answer.error();
  aView.mReusable = connection->Reusable();
  connection->Abort();
}

/** Plays one call. @param aAsk AskRunner or AskServer. */
template<typename Ask>
client_view
Play(Ask aAsk, const server_answer& aAnswer, const std::string& aBody)
{
  asio::io_context io(1);
  answering_server server(io, aAnswer);
  client_view view;
  bool ended = false;
  const auto run = [&]() -> asio::awaitable<void> {
    co_await aAsk(server.Address(), aBody, view);
    ended = true;
  };
  Spawn(io, run());
  const instant until = boot_clock_source{}.Now() + 2 * kAnswerLimit;
  while (!ended && boot_clock_source{}.Now() < until) {
    io.run_for(5ms);
  }
  CHECK_TRUE(ended);
  return view;
}

const std::string kPart = "HTTP/1.1 200 OK\r\n\r\npart";
const std::vector<std::string> kProvedAnswers{
  "HTTP/1.1 413 X\r\nContent-Length: 5\r\n\r\nwhole",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
};

} // namespace

TEST_GROUP(unfinished_requests){};

TEST(unfinished_requests, AnAnswerOfARunnerThatEndsBeforeTheUploadDoesIsNotWhole)
{
  const std::string body(kLargeBodyBytes, 'x');
  for (const end_by end : { end_by::eClose, end_by::eReset, end_by::eHalfClose }) {
    for (const duration after : { duration{ 0 }, duration{ 50ms } }) {
      for (int i = 0; i < kPlays; ++i) {
        CHECK_FALSE(Play(AskRunner, { kPart, end, after }, body).mWhole);
      }
    }
  }
}

TEST(unfinished_requests, AnAnswerThatEndsBeforeItsServerGotTheRequestIsNotWhole)
{
  const std::string body(kHeldBodyBytes, 'x');
  for (const end_by end : { end_by::eClose, end_by::eReset, end_by::eHalfClose }) {
    for (int i = 0; i < kPlays; ++i) {
      CHECK_FALSE(Play(AskRunner, { kPart, end, 20ms }, body).mWhole);
      CHECK_FALSE(Play(AskServer, { kPart, end, 20ms }, body).mWhole);
    }
  }
}

TEST(unfinished_requests, AnAnswerThatEndsWithItsConnectionAfterTheRequestIsWhole)
{
  for (const end_by end : { end_by::eClose, end_by::eHalfClose }) {
    const server_answer answer{ kPart, end, 0ms, true };
    for (int i = 0; i < kPlays; ++i) {
      CHECK_TRUE(Play(AskRunner, answer, "").mWhole);
      CHECK_TRUE(Play(AskServer, answer, "").mWhole);
    }
  }
}

TEST(unfinished_requests, AConnectionWithBytesAfterAWholeAnswerIsNotReused)
{
  const std::string another = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
  for (const std::string& text : kProvedAnswers) {
    for (const std::string& more : { another, std::string("x"), std::string("\r\n") }) {
      const server_answer answer{ text + more, end_by::eSilence, 0ms, true };
      CHECK_TRUE(Play(AskRunner, answer, "").mWhole);
      CHECK_FALSE(Play(AskRunner, answer, "").mReusable);
      CHECK_TRUE(Play(AskServer, answer, "").mWhole);
      CHECK_FALSE(Play(AskServer, answer, "").mReusable);
    }
    const server_answer whole{ text, end_by::eSilence, 0ms, true };
    CHECK_TRUE(Play(AskRunner, whole, "").mReusable);
    CHECK_TRUE(Play(AskServer, whole, "").mReusable);
  }
}

TEST(unfinished_requests, AnEarlyAnswerThatProvesItsEndIsWholeAndItsConnectionIsNotReused)
{
  const std::string body(kLargeBodyBytes, 'x');
  for (const std::string& text : kProvedAnswers) {
    for (const end_by end : { end_by::eReset, end_by::eHalfClose, end_by::eSilence }) {
      const client_view view = Play(AskRunner, { text, end, 50ms }, body);
      CHECK_TRUE(view.mWhole);
      CHECK_FALSE(view.mReusable);
    }
  }
}
