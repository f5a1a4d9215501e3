/**
 * @file endless_test.cpp
 * Tests with real processes that bytes without an end, which a runner sends in place of an answer,
 * cost little memory and time, wherever they are read, and aren't passed on as an answer.
 */
#include "tests/platform/fleet_bed.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** Time within which a caller is answered, and the runner's connection is closed; ms. A stream of
 * the usual length takes a tenth of it. */
constexpr std::int64_t kMaxAnswerMs = 3000;
/** Memory that a daemon may take for a few such answers; MB. The smallest host has 110. */
constexpr std::int64_t kMaxGrowthMb = 24;
constexpr int kCallLimitMs = 8000;
constexpr int kCalls = 6;
const std::string kLastEvent = "data: piece 9\n\n";
constexpr std::int64_t kPageBytes = 4096;
/** Memory that a daemon may take for several reads of the store at a time; MB. The smallest host
 * has 88. */
constexpr std::int64_t kMaxStoreGrowthMb = 48;
/** How long the store sends without an end; ms. */
constexpr std::int64_t kStoreMs = 3000;
/** Time limit of a caller that reads an answer without an end; ms. */
constexpr std::int64_t kShortDeadlineMs = 1500;
/** A chunk that begins a body, and how many callers send one at once. */
const std::string kChunkLine = "15f90\r\n";
constexpr std::size_t kChunkBytes = 90000;
constexpr int kOpenBodies = 400;
/** Memory for bodies of a host with 110 MB, a quarter of it, and what their connections take; MB.
 */
constexpr std::int64_t kMaxBodiesMb = 28 + 8;
/** How long after its deadline a request may be without an answer; ms. */
constexpr std::int64_t kLateMs = 500;
/** Pause between the reads of such a caller; ms. */
constexpr std::int64_t kReadPauseMs = 5;

} // namespace

TEST_GROUP(endless)
{
  fleet_bed mBed;
  /** Last event of an answer that sound runners may make without those; empty if none can. */
  std::string mSoundAnswer;

  /** @param aKind begins the ids of the two runners that send without an end. */
  void Start(const std::string& aKind, const std::string& aMode)
  {
    for (int i = 1; i <= 2; ++i) {
      mBed.AddRunner("desk-" + std::to_string(i));
      mBed.AddRunner("prefill-" + std::to_string(i), { "tutor", "prefill" });
      mBed.AddRunner("decode-" + std::to_string(i), { "tutor", "decode" });
    }
    mBed.PutConfig(1);
    mBed.StartDaemon();
    mBed.SetRunner(aKind + "-1", { { "mode", aMode } });
    mBed.SetRunner(aKind + "-2", { { "mode", aMode } });
  }

  /** @return the most memory that the daemon has had; MB. */
  std::int64_t PeakMb()
  {
    return mBed.Daemon().PeakKb() >> 10;
  }

  std::int64_t MemoryMb()
  {
    std::ifstream statm("/proc/" + std::to_string(mBed.Daemon().Pid()) + "/statm");
    std::int64_t all = 0;
    std::int64_t resident = 0;
    statm >> all >> resident;
    return resident * kPageBytes / (1 << 20);
  }

  void CheckBounded(const std::string& aMethod, const std::string& aPath, const headers& aHeaders)
  {
    const std::int64_t before = MemoryMb();
    for (int i = 0; i < kCalls; ++i) {
      headers all = aHeaders;
      for (auto& [name, value] : all) {
        if (name == "X-Request-Id") {
          value += std::to_string(i);
        }
        // A prompt of its own: a caller that comes back may be held for longer.
        if (const std::size_t own = value.find("bb:"); own != std::string::npos) {
          value.replace(own, 2, "b" + std::to_string(i));
        }
      }
      const std::int64_t sent = NowMs();
      const answer got = Call(mBed.Callers(), aMethod, aPath, "", all, kCallLimitMs);
      CHECK_TRUE(NowMs() - sent <= kMaxAnswerMs);
      const bool isServed = got.mStatus == 200 && got.mBody.find(mSoundAnswer) != std::string::npos;
      const bool mayServe = !mSoundAnswer.empty() && isServed;
      CHECK_TRUE(mayServe || got.mStatus == 0 || got.mStatus == 502 || got.mStatus == 503);
      CHECK_TRUE(got.mBody.find("xxxx") == std::string::npos);
    }
    CheckAllClosed();
    CHECK_TRUE(PeakMb() - before <= kMaxGrowthMb);
  }

  /** Checks that nobody reads an answer without an end any more. */
  void CheckAllClosed()
  {
    const std::int64_t until = NowMs() + kMaxAnswerMs;
    while (mBed.EndlessAnswers() > 0 && NowMs() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    LONGS_EQUAL(0, mBed.EndlessAnswers());
  }

  /** Checks that a request with a short deadline gets an answer soon after it at the latest. */
  void CheckAnsweredInTime(const std::string& aMethod, const std::string& aPath, int aStatus)
  {
    const headers all{ { "Host", "calls.example" },
                       { "X-Request-Id", "s" },
                       { "X-Deadline-Ms", std::to_string(kShortDeadlineMs) } };
    const std::int64_t sent = NowMs();
    const answer got = Call(mBed.Callers(), aMethod, aPath, "", all, kCallLimitMs);
    CHECK_TRUE(NowMs() - sent <= kShortDeadlineMs + kLateMs);
    LONGS_EQUAL(aStatus, got.mStatus);
  }

  /** Connects to the daemon and sends the head of a request with a body in chunks. */
  std::unique_ptr<boost::asio::ip::tcp::socket> BeginChunkedRequest(boost::asio::io_context & aIo,
                                                                    const std::string& aId)
  {
    namespace ip = boost::asio::ip;
    const std::string at = mBed.Callers();
    const std::size_t colon = at.rfind(':');
    auto socket = std::make_unique<ip::tcp::socket>(aIo);
    const auto port = static_cast<std::uint16_t>(std::stoi(at.substr(colon + 1)));
    socket->connect({ ip::make_address(at.substr(0, colon)), port });
    const std::string head =
      "POST /pages/a HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: " + aId +
      "\r\nTransfer-Encoding: chunked\r\n\r\n";
    boost::asio::write(*socket, boost::asio::buffer(head));
    return socket;
  }

  /** Sends a request whose body goes on without an end, and checks that it's refused soon. */
  void CheckCallerIsCutOff(const std::string& aBegin, const std::string& aPiece)
  {
    const std::int64_t before = PeakMb();
    boost::asio::io_context io;
    const auto socket = BeginChunkedRequest(io, "c1");
    boost::system::error_code error;
    boost::asio::write(*socket, boost::asio::buffer(aBegin), error);
    const std::int64_t sent = NowMs();
    while (!error && NowMs() < sent + kCallLimitMs) {
      boost::asio::write(*socket, boost::asio::buffer(aPiece), error);
    }
    CHECK_TRUE(NowMs() - sent <= kMaxAnswerMs);
    CHECK_TRUE(PeakMb() - before <= kMaxGrowthMb);
  }

  /** Calls a page and drops what comes. @return why the answer ended. */
  boost::system::error_code ReadPageUntilItEnds()
  {
    namespace ip = boost::asio::ip;
    const std::string at = mBed.Callers();
    const std::size_t colon = at.rfind(':');
    boost::asio::io_context io;
    ip::tcp::socket socket(io);
    const auto port = static_cast<std::uint16_t>(std::stoi(at.substr(colon + 1)));
    socket.connect({ ip::make_address(at.substr(0, colon)), port });
    const std::string request = "GET /pages/a HTTP/1.1\r\nHost: calls.example\r\n"
                                "X-Request-Id: p1\r\nX-Deadline-Ms: " +
                                std::to_string(kShortDeadlineMs) + "\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::vector<char> bytes(1U << 16U);
    boost::system::error_code error;
    const std::int64_t until = NowMs() + kCallLimitMs;
    while (!error && NowMs() < until) {
      socket.read_some(boost::asio::buffer(bytes), error);
      std::this_thread::sleep_for(std::chrono::milliseconds(kReadPauseMs));
    }
    return error;
  }
};

TEST(endless, AHeadOfADecodeEngineIsCutOff)
{
  Start("decode", "endless_head");
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
}

TEST(endless, AStreamOfADecodeEngineIsCutOff)
{
  Start("decode", "endless_body");
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
}

TEST(endless, AHeadOfAPrefillEngineIsCutOff)
{
  mSoundAnswer = kLastEvent; // Decode engines read prompts themselves.
  Start("prefill", "endless_head");
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
}

TEST(endless, ABodyOfAPrefillEngineIsCutOff)
{
  mSoundAnswer = kLastEvent; // Decode engines read prompts themselves.
  Start("prefill", "endless_body");
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
}

/** Guards against a time limit of each read of a body in place of the whole response. */
TEST(endless, ASlowBodyOfAPlainRunnerIsAnsweredOnceTheRequestsTimeIsOver)
{
  Start("desk", "slow_body");
  CheckAnsweredInTime("POST", "/records/a", 504);
}

TEST(endless, ASlowChunkLineOfAPlainRunnerIsAnsweredOnceTheRequestsTimeIsOver)
{
  Start("desk", "slow_line");
  CheckAnsweredInTime("POST", "/records/a", 504);
}

/** Guards against a slow body that takes the whole time of a request which others could serve. */
TEST(endless, ARequestIsRepeatedBesideARunnerWithASlowBody)
{
  Start("desk", "slow_body");
  mBed.SetRunner("desk-2", { { "mode", "" } });
  for (int i = 0; i < kCalls; ++i) {
    CheckAnsweredInTime("GET", "/pages/a", 200);
  }
}

TEST(endless, ASlowBodyOfAPrefillEngineLeavesTimeForTheAnswer)
{
  mSoundAnswer = kLastEvent; // Decode engines read prompts themselves.
  Start("prefill", "slow_body");
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
}

/** Guards against an answer to a side call that gathers in a text. */
TEST(endless, AnAnswerToAReservationIsCutOff)
{
  Start("decode", "endless_hold");
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
}

/** Guards against a time limit of each read of a side call in place of the whole call. */
TEST(endless, ASlowAnswerToAReservationIsCutOff)
{
  Start("decode", "slow_hold");
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
}

TEST(endless, AGenerationIsServedBesideAnEngineWhoseReservationsHaveNoEnd)
{
  mSoundAnswer = kLastEvent;
  Start("decode", "endless_hold");
  mBed.SetRunner("decode-2", { { "mode", "" } });
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
  LONGS_EQUAL(
    200, Call(mBed.Callers(), "POST", "/turns/a", "", GenerationHeaders("h", 2000, 10)).mStatus);
}

/** Guards against the line of a chunk that gathers in the connection's buffer. */
TEST(endless, AChunkLineOfADecodeEngineIsCutOff)
{
  Start("decode", "endless_line");
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
}

TEST(endless, ATrailerOfADecodeEngineIsCutOff)
{
  Start("decode", "endless_trailer");
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
}

TEST(endless, AChunkLineOfAPrefillEngineIsCutOff)
{
  mSoundAnswer = kLastEvent; // Decode engines read prompts themselves.
  Start("prefill", "endless_line");
  CheckBounded("POST", "/turns/a", GenerationHeaders("g", 2000, 10));
}

TEST(endless, AChunkLineOfAPlainRunnerIsCutOff)
{
  Start("desk", "endless_line");
  CheckBounded("GET", "/pages/a", CallerHeaders("p"));
}

TEST(endless, ATrailerOfAPlainRunnerIsCutOff)
{
  Start("desk", "endless_trailer");
  CheckBounded("GET", "/pages/a", CallerHeaders("p"));
}

/** Guards against bodies in chunks that count as less than they take. */
TEST(endless, BodiesInChunksAreRefusedBeyondTheMemoryForBodies)
{
  Start("desk", "");
  const std::int64_t before = PeakMb();
  boost::asio::io_context io;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> sockets;
  const std::string chunk = kChunkLine + std::string(kChunkBytes, 'x');
  for (int i = 0; i < kOpenBodies; ++i) {
    sockets.push_back(BeginChunkedRequest(io, "b" + std::to_string(i)));
    boost::system::error_code ignored; // A refused caller's connection may be closed.
    boost::asio::write(*sockets.back(), boost::asio::buffer(chunk), ignored);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(kStoreMs));
  int refused = 0;
  for (const auto& socket : sockets) {
    boost::system::error_code ignored;
    refused += socket->available(ignored) > 0 ? 1 : 0;
  }
  const std::int64_t grown = PeakMb() - before;
  CHECK_TEXT(grown <= kMaxBodiesMb, std::to_string(grown).c_str());
  CHECK_TRUE(refused > 0);
  CHECK_TRUE(refused < kOpenBodies);
}

/** Guards against the line of a chunk of a caller's body that gathers in the caller's buffer. */
TEST(endless, AChunkLineOfACallerIsCutOff)
{
  Start("desk", "");
  CheckCallerIsCutOff("5;a=", std::string(64000, 'x'));
}

TEST(endless, ATrailerOfACallerIsCutOff)
{
  Start("desk", "");
  CheckCallerIsCutOff("5\r\nxxxxx\r\n0\r\n", "X-Filler: " + std::string(64000, 'x') + "\r\n");
}

TEST(endless, AHeadOfAPlainRunnerIsCutOff)
{
  Start("desk", "endless_head");
  CheckBounded("GET", "/pages/a", CallerHeaders("p"));
}

TEST(endless, ABodyThatIsNotThePlainRunnersOwnIsNotPassedOn)
{
  Start("desk", "endless_unsigned");
  CheckBounded("GET", "/pages/a", CallerHeaders("p"));
}

TEST(endless, ABodyOfAPlainRunnerIsCutOffOnceTheRequestsTimeIsOver)
{
  Start("desk", "endless_body");
  const std::int64_t before = MemoryMb();
  const std::int64_t sent = NowMs();
  CHECK_TRUE(ReadPageUntilItEnds() == boost::asio::error::connection_reset);
  CHECK_TRUE(NowMs() - sent <= kMaxAnswerMs);
  CheckAllClosed();
  CHECK_TRUE(MemoryMb() - before <= kMaxGrowthMb);
}

TEST(endless, AnAnswerOfTheStoreIsCutOff)
{
  Start("desk", "");
  std::int64_t most = MemoryMb();
  const std::int64_t before = most;
  mBed.SetStore("endless");
  const std::int64_t until = NowMs() + kStoreMs;
  while (NowMs() < until) {
    most = std::max(most, MemoryMb());
    std::this_thread::sleep_for(std::chrono::milliseconds(kReadPauseMs));
  }
  LONGS_EQUAL(200, Call(mBed.Callers(), "GET", "/pages/a", "", CallerHeaders("p")).mStatus);
  mBed.SetStore("");
  CheckAllClosed();
  CHECK_TEXT(most - before <= kMaxStoreGrowthMb, std::to_string(most - before).c_str());
}
