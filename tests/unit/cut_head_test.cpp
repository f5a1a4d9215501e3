/**
 * @file cut_head_test.cpp
 * An answer that ends inside its head, or whose head isn't one, is no answer, wherever and however
 * it's cut off, on a fresh or a kept connection, and whatever came before it. Every call to a
 * runner, the store or another daemon is read by one of these two clients.
 */
#include "runners/upstream_connection.h"
#include "tests/support/odd_heads.h"
#include "tests/support/raw_server.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

/** How a server ends an answer. */
enum class cut_by
{
  eClose,   ///< It closes the connection.
  eReset,   ///< It resets the connection.
  eSilence, ///< It sends nothing more.
};

/** Time within which a head must come. */
constexpr duration kHeadLimit = 30ms;
constexpr std::string_view kWholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/** A server that answers whole at first, and then with the start of an answer only. */
class cutting_server
{
public:
  /** @param aWhole answers on each connection before the one that is cut off. */
  cutting_server(asio::io_context& aIo, std::string aStart, cut_by aCut, int aWhole)
    : mStart(std::move(aStart))
    , mCut(aCut)
    , mWhole(aWhole)
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
    std::string rest;
    int answered = 0;
    bool open = co_await test::ReadRequest(*aSocket, rest);
    while (open && answered < mWhole) {
      ++answered;
      open = co_await test::WriteBytes(*aSocket, std::string(kWholeAnswer));
      open = open && co_await test::ReadRequest(*aSocket, rest);
    }
    if (open) {
      co_await test::WriteBytes(*aSocket, mStart);
      End(*aSocket);
    }
  }

  void End(tcp::socket& aSocket) const
  {
    boost::system::error_code ignored; // The client may have closed it.
    if (mCut == cut_by::eReset) {
      aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (mCut != cut_by::eSilence) {
      aSocket.close(ignored);
    }
  }

  std::string mStart;                  ///< Start of an answer.
  cut_by mCut;                         ///< How it ends.
  int mWhole;                          ///< Whole answers before it.
  std::vector<test::raw_socket> mOpen; ///< Keeps silent connections open.
  test::raw_server mServer;            ///< Accepts connections.
};

/** Sends requests on one connection to a runner. @return how many were answered. */
asio::awaitable<void>
AskRunner(endpoint aAt, int aRequests, int& aAnswered)
{
  const upstream_ptr connection = (co_await upstream_connection::Connect(aAt, 1s)).value();
  upstream_request request;
  request.mHead = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  bool open = true;
  for (int i = 0; open && i < aRequests; ++i) {
    const auto head = co_await connection->Start(request, kHeadLimit);
    open = head.has_value();
    aAnswered += open ? 1 : 0;
    std::string body;
    while (open) {
      const instant until = boot_clock_source{}.Now() + kHeadLimit;
      const result<bool> more = co_await connection->ReadSome(body, until);
      open = more && more.value();
    }
    open = connection->Reusable();
  }
  connection->Abort();
}

/** Sends requests by the client of the store, of reservations and of other daemons. */
asio::awaitable<void>
AskServer(endpoint aAt, int aRequests, int& aAnswered)
{
  const http_connection_ptr connection = (co_await http_connection::Connect(aAt, 1s)).value();
  const http_call call;
  bool open = true;
  for (int i = 0; open && i < aRequests; ++i) {
    const result<http_answer> answer = co_await connection->Call(call, kHeadLimit);
    open = answer && connection->Reusable();
    aAnswered += answer ? 1 : 0;
  }
  connection->Abort();
}

/** @return heads whose every start is tried. */
std::vector<std::string>
Heads()
{
  const std::string own = "X-Request-Id: r1\r\nX-Server-Stamp: stamp\r\n";
  return { "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 5\r\n\r\n",
           "HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n",
           "HTTP/1.1 200 OK\r\n" + own + "Connection: close\r\n\r\n" };
}

} // namespace

TEST_GROUP(cut_heads){
  /** @return how many of the requests on one connection a client takes for answered. */
  template<typename Ask>
  int CountAnswered(Ask aAsk, const std::string& aStart, cut_by aCut, int aWhole){
    asio::io_context io(1);
cutting_server server(io, aStart, aCut, aWhole);
int answered = 0;
bool ended = false;
const auto run = [&]() -> asio::awaitable<void> {
  co_await aAsk(server.Address(), aWhole + 1, answered);
  ended = true;
};
Spawn(io, run());
const instant until = boot_clock_source{}.Now() + 5s;
while (!ended && boot_clock_source{}.Now() < until) {
  io.run_for(5ms);
}
CHECK_TRUE(ended);
return answered;
}

/** Sends each answer whose head isn't one, on fresh and kept connections. */
template<typename Ask>
void
CheckOddHeads(Ask aAsk)
{
  const std::string own = "X-Request-Id: r1\r\nX-Server-Stamp: stamp\r\n";
  for (const std::string& answer : test::OddAnswers(own, "body")) {
    for (const cut_by cut : { cut_by::eClose, cut_by::eReset, cut_by::eSilence }) {
      for (const int whole : { 0, 1 }) {
        LONGS_EQUAL_TEXT(whole, CountAnswered(aAsk, answer, cut, whole), answer.c_str());
      }
    }
  }
}

/** Cuts each head at each of its bytes, on fresh and kept connections. */
template<typename Ask>
void
CheckAllCuts(Ask aAsk)
{
  for (const std::string& head : Heads()) {
    for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
      const bool slow = bytes % 8 != 0; // Each silence takes the whole limit.
      for (const cut_by cut : { cut_by::eClose, cut_by::eReset, cut_by::eSilence }) {
        for (const int whole : { 0, 1 }) {
          if (cut != cut_by::eSilence || !slow) {
            LONGS_EQUAL(whole, CountAnswered(aAsk, head.substr(0, bytes), cut, whole));
          }
        }
      }
    }
  }
}
}
;

TEST(cut_heads, ARunnersAnswerThatEndsInItsHeadIsNoAnswer)
{
  CheckAllCuts(AskRunner);
}

TEST(cut_heads, AnAnswerOfTheStoreOrADaemonThatEndsInItsHeadIsNoAnswer)
{
  CheckAllCuts(AskServer);
}

TEST(cut_heads, ARunnersAnswerWhoseHeadIsNoHeadIsNoAnswer)
{
  CheckOddHeads(AskRunner);
}

TEST(cut_heads, AnAnswerOfTheStoreOrADaemonWhoseHeadIsNoHeadIsNoAnswer)
{
  CheckOddHeads(AskServer);
}

TEST(cut_heads, AHeadThatEndsAfterAnInterimAnswerIsNoAnswer)
{
  for (const char* const interim :
       { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" }) {
    const std::string start = std::string(interim) + "HTTP/1.1 200 OK\r\nContent-Le";
    for (const cut_by cut : { cut_by::eClose, cut_by::eReset }) {
      asio::io_context io(1);
      cutting_server server(io, start, cut, 0);
      unsigned status = 0;
      const auto run = [&]() -> asio::awaitable<void> {
        const upstream_ptr connection =
          (co_await upstream_connection::Connect(server.Address(), 1s)).value();
        upstream_request request;
        request.mHead = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        const auto head = co_await connection->Start(request, kHeadLimit);
        status = head ? connection->Status() : 0;
        connection->Abort();
      };
      Spawn(io, run());
      io.run_for(60ms);
      CHECK_TRUE(status < 200); // Whoever sends a request takes it for no answer.
    }
  }
}
