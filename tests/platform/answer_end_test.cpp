/**
 * @file answer_end_test.cpp
 * What a caller is told of the end of an answer, with real processes: whatever marks the end of a
 * runner's answer, and wherever it's cut off, the caller gets whole events once each, and never
 * more proof of completeness than the runner gave.
 */
#include "tests/platform/fleet_bed.h"
#include "tests/platform/seen_answer.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace dunehook;
using namespace dunehook::test;

namespace {

const std::vector<std::string> kEvents{ "id: 0\ndata: a\n\n",
                                        "id: 1\ndata: bc\n\n",
                                        "id: 2\ndata: d\n\n" };

std::string
Joined(const std::vector<std::string>& aEvents)
{
  std::string all;
  for (const std::string& event : aEvents) {
    all += event;
  }
  return all;
}

/** @return the events that are whole in the first bytes of the stream. */
std::string
WholeEvents(std::size_t aBytes)
{
  std::string whole;
  for (const std::string& event : kEvents) {
    if (whole.size() + event.size() > aBytes) {
      break;
    }
    whole += event;
  }
  return whole;
}

/** A place and manner in which an answer is cut off. */
struct answer_cut
{
  std::string mFraming; ///< "length", "chunks" or "none".
  std::string mBy;      ///< "close" or "reset".
  std::size_t mAt = 0;  ///< Bytes of the body that are sent.

  std::string Text() const { return mFraming + " " + mBy + " at " + std::to_string(mAt); }
  /** @param aOnce only the first run of each request is cut off. */
  json Faults(bool aOnce) const
  {
    return { { "framing", mFraming }, { "cut_at", mAt }, { "cut_by", mBy },
             { "cuts_once", aOnce },  { "step_ms", 0 },  { "events", kEvents } };
  }
  /** @return whether the bytes that came could be a whole answer of a runner that frames none. */
  bool LooksWhole() const
  {
    const bool betweenEvents = mAt > 0 && WholeEvents(mAt).size() == mAt;
    return mFraming == "none" && mBy == "close" && betweenEvents;
  }
};

/** @return every way to cut a body off, at each of its bytes. */
std::vector<answer_cut>
AllCuts(std::size_t aLength)
{
  std::vector<answer_cut> cuts;
  for (const char* const framing : { "length", "chunks", "none" }) {
    for (const char* const by : { "close", "reset" }) {
      for (std::size_t at = 0; at < aLength; ++at) {
        cuts.push_back({ framing, by, at });
      }
    }
  }
  return cuts;
}

} // namespace

TEST_GROUP(answer_ends)
{
  fleet_bed mBed; ///< The deployment.
  int mCalls = 0; ///< Calls so far; each has an id and a prompt of its own.

  /** Starts a daemon with two decode engines and two plain runners. */
  void Start()
  {
    platform_daemon_options options;
    options.mRetryAllowance = 1000000; // More streams are resumed here than requests pay for.
    mBed.StartUsual(options);
  }

  void SetEngines(const json& aFaults)
  {
    mBed.SetRunner("decode-1", aFaults);
    mBed.SetRunner("decode-2", aFaults);
  }

  void SetDesks(const json& aFaults)
  {
    mBed.SetRunner("desk-1", aFaults);
    mBed.SetRunner("desk-2", aFaults);
  }

  seen_answer Generate(const std::string& aTarget, bool aKeepAlive = false)
  {
    const int number = ++mCalls;
    seen_call call{
      "POST", aTarget, GenerationHeaders("g" + std::to_string(number), 1000 + number, 3), ""
    };
    call.mKeepAlive = aKeepAlive;
    return AskOnce(mBed.Callers(), call);
  }

  seen_answer Plain(const std::string& aMethod, const std::string& aTarget)
  {
    return AskOnce(mBed.Callers(),
                   { aMethod, aTarget, CallerHeaders("p" + std::to_string(++mCalls)), "" });
  }
};

TEST(answer_ends, AStreamCutOffAtAnyByteIsNeverPassedOnAsComplete)
{
  Start();
  for (const answer_cut& cut : AllCuts(Joined(kEvents).size())) {
    SetEngines(cut.Faults(false));
    const seen_answer got = Generate("/turns/a");
    const std::string what = cut.Text() + ": " + got.mHead + got.mBody;
    const bool success = got.mStatus == 200;
    CHECK_FALSE_TEXT(success && got.mProved, what.c_str());
    CHECK_EQUAL_TEXT(cut.LooksWhole(), success && got.LooksComplete(), what.c_str());
    const std::string whole = WholeEvents(cut.mAt);
    if (success && cut.mBy == "close") { // A reset may overtake bytes.
      CHECK_EQUAL_TEXT(whole, got.mBody, what.c_str());
    }
    CHECK_TEXT(!success || whole.substr(0, got.mBody.size()) == got.mBody, what.c_str());
  }
}

TEST(answer_ends, AResumableStreamCutOffAtAnyByteGoesOnWithEachEventOnce)
{
  Start();
  const std::string all = Joined(kEvents);
  for (const answer_cut& cut : AllCuts(all.size())) {
    SetEngines(cut.Faults(true));
    const seen_answer got = Generate("/resumed/a");
    const std::string what = cut.Text() + ": " + got.mHead + got.mBody;
    CHECK_EQUAL_TEXT(200U, got.mStatus, what.c_str());
    CHECK_EQUAL_TEXT(cut.LooksWhole() ? WholeEvents(cut.mAt) : all, got.mBody, what.c_str());
    CHECK_EQUAL_TEXT(cut.mFraming != "none", got.mProved, what.c_str());
    CHECK_TEXT(got.LooksComplete(), what.c_str());
  }
}

TEST(answer_ends, AStreamThatEndsWithItsConnectionReachesItsCallerTheSameWay)
{
  Start();
  SetEngines({ { "framing", "none" }, { "step_ms", 0 }, { "events", kEvents } });
  const seen_answer got = Generate("/turns/a", true);
  CHECK_EQUAL(200U, got.mStatus);
  CHECK_EQUAL(Joined(kEvents), got.mBody);
  CHECK(got.mUnframed);
  CHECK_FALSE(got.mReset);
  CHECK(got.mHead.find("Connection: close") != std::string::npos);
}

TEST(answer_ends, AStreamWithoutAnyEventThatEndsWithItsConnectionIsNotASuccess)
{
  Start();
  SetEngines({ { "framing", "none" }, { "events", { "" } }, { "step_ms", 0 } });
  CHECK_EQUAL(502U, Generate("/turns/a").mStatus);
}

TEST(answer_ends, AStreamWithoutFramingOfAKilledDaemonDoesNotLookComplete)
{
  Start();
  SetEngines({ { "framing", "none" }, { "step_ms", 100 }, { "events", kEvents } });
  for (const int after : { 150, 250 }) {
    std::future<seen_answer> got =
      std::async(std::launch::async, [this] { return Generate("/turns/a"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(after));
    mBed.Daemon().Signal(SIGKILL);
    const seen_answer seen = got.get();
    CHECK_EQUAL(200U, seen.mStatus);
    CHECK(seen.mBody.size() < Joined(kEvents).size());
    CHECK_FALSE(seen.LooksComplete());
    mBed.RestartDaemon(0);
    CHECK(Eventually([this] { return mBed.Readiness() == 200; }));
  }
}

TEST(answer_ends, ACompleteStreamWithoutAnyEventIsAnswered)
{
  Start();
  for (const char* const framing : { "length", "chunks" }) {
    SetEngines({ { "framing", framing }, { "events", { "" } }, { "step_ms", 0 } });
    const seen_answer got = Generate("/turns/a");
    CHECK_EQUAL(200U, got.mStatus);
    CHECK(got.mProved);
    CHECK_EQUAL("", got.mBody);
  }
}

TEST(answer_ends, AStreamResumedAtARunnerThatFramesNothingIsNotPassedOnAsComplete)
{
  Start();
  json faults = answer_cut{ "chunks", "close", kEvents[0].size() + 3 }.Faults(true);
  faults["resumed_framing"] = "none";
  SetEngines(faults);
  const seen_answer got = Generate("/resumed/a");
  CHECK_EQUAL(200U, got.mStatus);
  CHECK_EQUAL(Joined(kEvents), got.mBody);
  CHECK_FALSE(got.LooksComplete());
}

TEST(answer_ends, AStreamResumedAtARunnerThatFramesItIsComplete)
{
  Start();
  json faults = answer_cut{ "none", "close", kEvents[0].size() + 3 }.Faults(true);
  faults["resumed_framing"] = "chunks";
  SetEngines(faults);
  const seen_answer got = Generate("/resumed/a");
  CHECK_EQUAL(200U, got.mStatus);
  CHECK_EQUAL(Joined(kEvents), got.mBody);
  CHECK(got.LooksComplete());
}

TEST(answer_ends, APlainAnswerThatEndsWithItsConnectionReachesItsCallerTheSameWay)
{
  Start();
  const std::string large(200000, 'x'); // More than is held back.
  for (const std::string& body : { std::string("short"), large }) {
    for (const char* const mode : { "", "error" }) {
      SetDesks({ { "framing", "none" }, { "body", body }, { "mode", mode } });
      const seen_answer got = Plain("POST", "/records/a");
      CHECK_EQUAL(*mode == 0 ? 200U : 500U, got.mStatus);
      CHECK(body == got.mBody);
      CHECK(got.mUnframed);
      CHECK_FALSE(got.mReset);
    }
  }
}

TEST(answer_ends, APlainAnswerCutOffAtAnyByteIsNeverPassedOnAsComplete)
{
  Start();
  const std::string body = "body of an answer";
  for (const answer_cut& cut : AllCuts(body.size())) {
    json faults = cut.Faults(false);
    faults["body"] = body;
    SetDesks(faults);
    const seen_answer got = Plain("POST", "/records/" + std::to_string(mCalls));
    const std::string what = cut.Text() + ": " + got.mHead + got.mBody;
    CHECK_FALSE_TEXT(got.mStatus == 200 && got.mProved, what.c_str());
    const bool unproved = cut.mFraming == "none" && cut.mBy == "close";
    CHECK_EQUAL_TEXT(unproved, got.mStatus == 200 && got.LooksComplete(), what.c_str());
  }
}

TEST(answer_ends, AFailureOfAnEngineThatEndsWithItsConnectionReachesItsCallerTheSameWay)
{
  Start();
  SetEngines({ { "framing", "none" }, { "mode", "error" } });
  const seen_answer got = Generate("/turns/a");
  CHECK_EQUAL(500U, got.mStatus);
  CHECK_EQUAL("own failure", got.mBody);
  CHECK(got.mUnframed);
}

/** Time until the answer of a silent runner is given up in these tests; ms. */
constexpr int kSilentTimeLimitMs = 400;

TEST_GROUP(cut_answer_heads)
{
  fleet_bed mBed{ true }; ///< The deployment, behind proxies.
  int mCalls = 0;         ///< Calls so far; each has an id of its own.

  /** Ends connections of runners after so many bytes of their answers; 0: never. */
  void CutAnswers(const std::vector<std::string>& aRunners, std::size_t aBytes, const char* aHow)
  {
    for (const std::string& runner : aRunners) {
      mBed.SetProxy(runner,
                    { { "reset", 1 },
                      { "faults", aBytes > 0 ? 1000000 : 0 },
                      { "answer_bytes", aBytes },
                      { "limit_by", aHow } });
    }
  }

  /** @return the length of the heads of a plain runner's answers. */
  std::size_t HeadBytes()
  {
    const endpoint at = ParseEndpoint(mBed.EntryOf("desk-1").value("address", "")).value();
    asio::io_context io(1);
    tcp::socket socket(io);
    socket.connect({ asio::ip::make_address(at.mAddress), at.mPort });
    const std::string request =
      "POST /records/x HTTP/1.1\r\nContent-Length: 0\r\nX-Request-Id: " + NextId() + "\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    std::string got;
    return asio::read_until(socket, asio::dynamic_buffer(got), "\r\n\r\n");
  }

  /** @return an id; all have one length. */
  std::string NextId()
  {
    return "h" + std::to_string(1000000 + ++mCalls);
  }

  headers Timed(headers aHeaders) const
  {
    for (auto& [name, value] : aHeaders) {
      value = name == "X-Deadline-Ms" ? std::to_string(kSilentTimeLimitMs) : value;
    }
    return aHeaders;
  }

  void CheckNoSuccess(const seen_answer& aGot, const std::string& aWhat)
  {
    const std::string what = aWhat + ": " + aGot.mHead + aGot.mBody;
    CHECK_TEXT(aGot.mStatus == 502 || aGot.mStatus == 504, what.c_str());
  }
};

TEST(cut_answer_heads, APlainAnswerThatEndsInItsHeadIsAFailureThatMayHaveRun)
{
  mBed.StartUsual();
  std::size_t head = 0;
  for (const char* const framing : { "length", "chunks", "none" }) {
    mBed.SetRunner("desk-1", { { "framing", framing } });
    mBed.SetRunner("desk-2", { { "framing", framing } });
    CutAnswers({ "desk-1" }, 0, "");
    head = HeadBytes();
    for (std::size_t bytes = 1; bytes < head; bytes += 3) {
      for (const char* const how : { "close", "reset" }) {
        CutAnswers({ "desk-1", "desk-2" }, bytes, how);
        const std::string id = NextId();
        const seen_answer got =
          AskOnce(mBed.Callers(), { "POST", "/records/" + id, CallerHeaders(id), "" });
        CheckNoSuccess(got, std::string(framing) + " " + how + " at " + std::to_string(bytes));
        CHECK_EQUAL(1U, mBed.Seen(id).size());
      }
    }
  }
  for (const std::size_t bytes : { std::size_t{ 5 }, std::size_t{ 17 }, head - 1 }) {
    CutAnswers({ "desk-1", "desk-2" }, bytes, "silence");
    const std::string id = NextId();
    const headers call = Timed(CallerHeaders(id));
    CheckNoSuccess(AskOnce(mBed.Callers(), { "POST", "/records/" + id, call, "" }), "silence");
  }
}

TEST(cut_answer_heads, AStreamWhoseAnswersEndInTheirHeadsIsNoSuccess)
{
  mBed.StartUsual();
  const std::size_t head = HeadBytes();
  for (const char* const how : { "close", "reset" }) {
    for (std::size_t bytes = 1; bytes < head; bytes += 5) {
      CutAnswers({ "decode-1", "decode-2" }, bytes, how);
      const int number = ++mCalls;
      const headers call = GenerationHeaders("g" + std::to_string(number), 1000 + number, 3);
      const seen_answer got = AskOnce(mBed.Callers(), { "POST", "/turns/a", call, "" });
      CHECK_TEXT(got.mStatus >= 502, (std::to_string(bytes) + got.mHead + got.mBody).c_str());
    }
  }
}

TEST(cut_answer_heads, APageIsReadAtAnotherRunnerWhereOneEndsInItsHeads)
{
  mBed.StartUsual();
  const std::size_t head = HeadBytes();
  for (std::size_t bytes = 1; bytes < head; bytes += 7) {
    CutAnswers({ "desk-1" }, bytes, "close");
    const seen_answer got =
      AskOnce(mBed.Callers(), { "GET", "/pages/a", CallerHeaders(NextId()), "" });
    CHECK_EQUAL(200U, got.mStatus);
    CHECK_TRUE(got.LooksComplete());
  }
}
