/**
 * @file broken_answer_test.cpp
 * Tests with real processes that an answer which breaks off while its request is still being sent,
 * or whose head is no head, isn't passed on, wherever a runner sends it.
 */
#include "tests/platform/bed_config.h"
#include "tests/platform/seen_answer.h"
#include "tests/support/odd_heads.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;
using namespace dunehook::test;

namespace {

/** A body that the buffers of a connection don't hold, and the limit of bodies. */
constexpr std::size_t kUploadBytes = 3900000;
constexpr std::size_t kMaxBodyBytes = 5000000;
/** Receive buffer of runners that answer before they have read the body. */
constexpr int kReceiveBytes = 16384;
/** Plays of each case: which operation is told of an error depends on the times. */
constexpr int kPlays = 4;

const std::string kOkHead = "HTTP/1.1 200 OK\r\n{own}";
const std::string kEvents = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

/** How a runner ends a connection whose request it hasn't read. */
struct early_end
{
  const char* mEnd; ///< As "raw_end" of the stand-in.
  int mAfterMs;     ///< Time after the answer.

  std::string Text() const { return std::string(mEnd) + " after " + std::to_string(mAfterMs); }
  /** @return the faults of a runner that sends an answer so. */
  json Faults(const std::string& aAnswer) const
  {
    return { { "mode", "raw_unread" },
             { "raw", aAnswer },
             { "raw_end", mEnd },
             { "raw_after_ms", mAfterMs },
             { "receive_bytes", kReceiveBytes } };
  }
};

const std::vector<early_end> kEarlyEnds{ { "reset", 50 },
                                         { "reset", 200 },
                                         { "close", 50 },
                                         { "half_close", 0 } };

/** @return options of a daemon that repeats more than the requests here pay for. */
platform_daemon_options
ManyRetries()
{
  platform_daemon_options options;
  options.mRetryAllowance = 1000000;
  return options;
}

} // namespace

TEST_GROUP(broken_answers)
{
  fleet_bed mBed; ///< The deployment.
  int mCalls = 0; ///< Calls so far; each has an id and a prompt of its own.

  void Start()
  {
    mBed.StartUsual(ManyRetries());
    AllowLargeBodies();
  }

  /** Puts a configuration that allows uploads, and waits until it's in force. */
  void AllowLargeBodies()
  {
    EditConfig(mBed, [](json& aConfig) { aConfig["limits"]["max-body-bytes"] = kMaxBodyBytes; });
    CHECK(Eventually([this] { return Upload("/pages/probe").mStatus == 200; }));
  }

  /** Starts two daemons, the first of which reaches no runner. */
  void StartCutOff()
  {
    for (const char* const desk : { "desk-1", "desk-2" }) {
      mBed.AddRunner(desk);
    }
    mBed.AddRunner("prefill-1", { "tutor", "prefill" });
    mBed.AddRunner("decode-1", { "tutor", "decode" });
    mBed.AddRunner("decode-2", { "tutor", "decode" });
    mBed.PutConfig(1);
    platform_daemon_options options = ManyRetries();
    options.mOwnRunnerLinks = true;
    mBed.StartDaemons({ options, options });
    AllowLargeBodies();
    mBed.CutRunners(0, "refuse");
    CHECK(Eventually([this] { return Upload("/pages/").mStatus == 200; }));
    CHECK(Eventually([this] { return Upload("/turns/").mStatus == 200; }));
  }

  void SetAll(const std::vector<std::string>& aRunners, const json& aFaults)
  {
    for (const std::string& runner : aRunners) {
      mBed.SetRunner(runner, aFaults);
    }
  }

  bool Generates(const std::string& aTarget) const
  {
    return aTarget.starts_with("/turns/") || aTarget.starts_with("/resumed/");
  }

  seen_answer Ask(const std::string& aTarget, const std::string& aBody)
  {
    const int number = ++mCalls;
    const std::string id = "b" + std::to_string(number);
    return AskOnce(
      mBed.Callers(),
      { "POST",
        aTarget + id,
        Generates(aTarget) ? GenerationHeaders(id, 1000 + number, 3) : CallerHeaders(id),
        aBody });
  }

  /** Sends a request whose body its runner doesn't read. Each has a body of its own: requests that
   * are alike may be quarantined. */
  seen_answer Upload(const std::string& aTarget)
  {
    return Ask(aTarget, std::string(kUploadBytes, static_cast<char>('a' + mCalls % 26)));
  }

  /** Checks that no caller takes an answer that broke off for whole.
   * @param aStatus status that each caller gets; 0: its connection is reset, or it gets 502. */
  void CheckNeverWhole(const std::vector<std::string>& aRunners,
                       const std::string& aTarget,
                       const std::string& aAnswer,
                       unsigned aStatus)
  {
    std::string broken;
    for (const early_end& end : kEarlyEnds) {
      SetAll(aRunners, end.Faults(aAnswer));
      int whole = 0;
      for (int i = 0; i < kPlays; ++i) {
        const seen_answer got = Upload(aTarget);
        whole += got.LooksComplete() && got.mStatus != 502 ? 1 : 0;
        const bool other = aStatus != 0 && got.mStatus != aStatus;
        broken += other ? "; " + end.Text() + ": status " + std::to_string(got.mStatus) : "";
      }
      broken += whole > 0 ? "; " + end.Text() + ": whole in " + std::to_string(whole) : "";
    }
    CHECK_EQUAL("", broken);
  }
};

TEST(broken_answers, APlainAnswerWhoseUploadFailsIsNotPassedOnAsWhole)
{
  Start();
  CheckNeverWhole({ "desk-1", "desk-2" }, "/records/", kOkHead + "\r\nonly a part", 502);
}

TEST(broken_answers, ALargePlainAnswerWhoseUploadFailsIsNotPassedOnAsWhole)
{
  Start();
  const std::string part(100000, 'x'); // More than is held back.
  CheckNeverWhole({ "desk-1", "desk-2" }, "/records/", kOkHead + "\r\n" + part, 0);
}

TEST(broken_answers, AFailureOfAPlainRunnerWhoseUploadFailsIsNotPassedOnAsWhole)
{
  Start();
  const std::string answer = "HTTP/1.1 500 X\r\n{own}\r\nonly a part";
  CheckNeverWhole({ "desk-1", "desk-2" }, "/records/", answer, 502);
}

TEST(broken_answers, AStreamWhoseUploadFailsIsNotPassedOnAsWhole)
{
  Start();
  const std::string answer = kOkHead + "Content-Type: text/event-stream\r\n\r\n" + kEvents;
  CheckNeverWhole({ "decode-1", "decode-2" }, "/turns/", answer, 0);
}

TEST(broken_answers, AResumableStreamWhoseUploadFailsIsNotPassedOnAsWhole)
{
  Start();
  const std::string answer = kOkHead + "Content-Type: text/event-stream\r\n\r\n" + kEvents;
  CheckNeverWhole({ "decode-1", "decode-2" }, "/resumed/", answer, 0);
}

TEST(broken_answers, AResumableStreamWhoseUploadFailsGoesOnAtAnotherEngine)
{
  Start();
  const std::string answer = kOkHead + "Content-Type: text/event-stream\r\n\r\n" + kEvents;
  for (const early_end& end : kEarlyEnds) {
    for (const char* const engine : { "decode-1", "decode-2" }) {
      SetAll({ "decode-1", "decode-2" }, { { "mode", "" } });
      mBed.SetRunner(engine, end.Faults(answer));
      for (int i = 0; i < kPlays; ++i) {
        const seen_answer got = Upload("/resumed/");
        const std::string what = end.Text() + ": " + got.mHead + got.mBody;
        CHECK_EQUAL_TEXT(200U, got.mStatus, what.c_str());
        CHECK_TEXT(got.mBody.find("id: 2\n") != std::string::npos, what.c_str());
      }
    }
  }
}

TEST(broken_answers, ARepeatableRequestWhoseUploadFailsIsServedByAnotherRunner)
{
  Start();
  for (const early_end& end : kEarlyEnds) {
    mBed.SetRunner("desk-1", end.Faults(kOkHead + "\r\nonly a part"));
    for (int i = 0; i < kPlays; ++i) {
      const seen_answer got = Upload("/pages/");
      CHECK_EQUAL_TEXT(200U, got.mStatus, end.Text().c_str());
      CHECK_EQUAL("answer to b" + std::to_string(mCalls), got.mBody);
    }
  }
}

TEST(broken_answers, APromptReadWhoseUploadFailsIsNotHandedOver)
{
  Start();
  const std::string answer =
    kOkHead + "\r\n" + R"({"kv-handle":"h-broken","tokens":1,"version":1})";
  for (const early_end& end : kEarlyEnds) {
    mBed.SetRunner("prefill-1", end.Faults(answer));
    for (int i = 0; i < kPlays; ++i) {
      const seen_answer got = Upload("/turns/");
      CHECK_EQUAL_TEXT(200U, got.mStatus, end.Text().c_str()); // Decode engines read it themselves.
      for (const json& seen : mBed.Seen("b" + std::to_string(mCalls))) {
        CHECK_TRUE(seen.dump().find("h-broken") == std::string::npos);
      }
    }
  }
}

TEST(broken_answers, ARelayedAnswerWhoseUploadFailsIsNotPassedOnAsWhole)
{
  StartCutOff();
  const std::string answer = kOkHead + "Content-Type: text/event-stream\r\n\r\n" + kEvents;
  CheckNeverWhole({ "desk-1", "desk-2" }, "/records/", kOkHead + "\r\nonly a part", 502);
  CheckNeverWhole({ "decode-1", "decode-2" }, "/turns/", answer, 0);
}

TEST(broken_answers, AnEarlyAnswerThatProvesItsEndIsDelivered)
{
  Start();
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
  const std::vector<std::pair<unsigned, std::string>> answers{
    { 200, kOkHead + "Content-Length: 5\r\n\r\nwhole" },
    { 413, "HTTP/1.1 413 X\r\n{own}Content-Length: 5\r\n\r\nwhole" },
    { 401, "HTTP/1.1 401 X\r\n{own}" + chunked },
    { 200, kOkHead + chunked }
  };
  for (const early_end& end : kEarlyEnds) {
    for (const auto& [status, text] : answers) {
      SetAll({ "desk-1", "desk-2" }, end.Faults(text));
      const seen_answer got = Upload("/records/");
      const std::string what = end.Text() + ": " + got.mHead + got.mBody;
      CHECK_EQUAL_TEXT(status, got.mStatus, what.c_str());
      CHECK_EQUAL_TEXT("whole", got.mBody, what.c_str());
      CHECK_TRUE(got.LooksComplete());
    }
  }
}

TEST(broken_answers, AnAnswerThatEndsWithItsConnectionAfterAWholeUploadIsDelivered)
{
  Start();
  for (const char* const end : { "close", "half_close" }) {
    SetAll({ "desk-1", "desk-2" },
           { { "mode", "raw" }, { "raw", kOkHead + "\r\nwhole" }, { "raw_end", end } });
    for (int i = 0; i < kPlays; ++i) {
      const seen_answer got = Upload("/records/");
      CHECK_EQUAL_TEXT(200U, got.mStatus, end);
      CHECK_EQUAL_TEXT("whole", got.mBody, end);
      CHECK_TRUE(got.LooksComplete());
    }
  }
}

TEST_GROUP(odd_heads)
{
  fleet_bed mBed; ///< The deployment.
  int mCalls = 0; ///< Calls so far; each has an id and a prompt of its own.

  void Start()
  {
    mBed.StartUsual(ManyRetries());
  }

  /** Has runners answer each request with a text. */
  void SetAnswer(const std::vector<std::string>& aRunners,
                 const std::string& aText,
                 const std::string& aMode = "raw")
  {
    for (const std::string& runner : aRunners) {
      mBed.SetRunner(runner, { { "mode", aMode }, { "raw", aText }, { "raw_end", "close" } });
    }
  }

  std::string LastId() const
  {
    return "o" + std::to_string(mCalls);
  }

  seen_answer Ask(const std::string& aMethod, const std::string& aTarget)
  {
    ++mCalls;
    const bool generates = aTarget == "/turns/" || aTarget == "/resumed/";
    const headers all =
      generates ? GenerationHeaders(LastId(), 1000 + mCalls, 3) : CallerHeaders(LastId());
    return AskOnce(mBed.Callers(), { aMethod, aTarget + LastId(), all, "" });
  }

  /** Checks that callers get a failure in place of each odd answer, also after interim ones. */
  void CheckNotPassedOn(const std::vector<std::string>& aRunners,
                        const std::string& aMethod,
                        const std::string& aTarget,
                        const std::string& aBody)
  {
    for (const char* const before :
         { "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" }) {
      for (const std::string& odd : OddAnswers("{own}", aBody)) {
        SetAnswer(aRunners, before + odd);
        const seen_answer got = Ask(aMethod, aTarget);
        const std::string what = before + odd + "-> " + got.mHead + got.mBody;
        CHECK_EQUAL_TEXT(502U, got.mStatus, what.c_str());
        CHECK_TRUE_TEXT(got.mBody.find(aBody) == std::string::npos, what.c_str());
        CHECK_TRUE_TEXT(got.mHead.find("Odd") == std::string::npos, what.c_str());
      }
    }
  }

  /** Checks that reservations of an engine without a sound head aren't used, while the other engine
   * serves. */
  void CheckReservationsOf(const std::string& aEngine)
  {
    Start();
    for (const std::string& odd : OddAnswers("", R"({"hold":"hold-odd"})")) {
      SetAnswer({ aEngine }, odd, "raw_hold");
      CheckServedWithout("hold-odd");
    }
  }

  /** Checks that a generation is served without what an odd answer holds. */
  void CheckServedWithout(const std::string& aText)
  {
    const seen_answer got = Ask("POST", "/turns/");
    CHECK_EQUAL_TEXT(200U, got.mStatus, (LastId() + ": " + got.mHead + got.mBody).c_str());
    for (const json& seen : mBed.Seen(LastId())) {
      CHECK_TRUE(seen.dump().find(aText) == std::string::npos);
    }
  }
};

TEST(odd_heads, APlainAnswerWithoutASoundHeadIsNotPassedOn)
{
  Start();
  CheckNotPassedOn({ "desk-1", "desk-2" }, "POST", "/records/", "runners body");
}

TEST(odd_heads, AFailedRepeatWithoutASoundHeadIsNotPassedOn)
{
  Start();
  CheckNotPassedOn({ "desk-1", "desk-2" }, "GET", "/pages/", "runners body");
}

TEST(odd_heads, AStreamWithoutASoundHeadIsNotPassedOn)
{
  Start();
  CheckNotPassedOn({ "decode-1", "decode-2" }, "POST", "/turns/", kEvents);
}

TEST(odd_heads, APromptReadWithoutASoundHeadIsNotHandedOver)
{
  Start();
  for (const std::string& odd :
       OddAnswers("{own}", R"({"kv-handle":"h-odd","tokens":1,"version":1})")) {
    SetAnswer({ "prefill-1" }, odd);
    CheckServedWithout("h-odd");
  }
}

TEST(odd_heads, AReservationOfOneEngineWithoutASoundHeadIsNotUsed)
{
  CheckReservationsOf("decode-1");
}

TEST(odd_heads, AReservationOfTheOtherEngineWithoutASoundHeadIsNotUsed)
{
  CheckReservationsOf("decode-2");
}
