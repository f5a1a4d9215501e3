/**
 * @file log_test.cpp
 * The log never waits, keeps failures before good outcomes, and counts what it drops.
 */
#include "core/log_writer.h"

#include <CppUTest/TestHarness.h>

#include <unistd.h>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

constexpr instant kNow = 100s;
const std::string kLine(200, 'x');

} // namespace

TEST_GROUP(log_lines)
{
  int mEnds[2] = { -1, -1 }; ///< A pipe: reader, writer.

  void setup() override
  {
    CHECK_EQUAL(0, ::pipe(mEnds));
  }
  void teardown() override
  {
    ::close(mEnds[0]);
    ::close(mEnds[1]);
  }
  std::string ReadSome()
  {
    std::string text(65536, '\0');
    const ssize_t got = ::read(mEnds[0], text.data(), text.size());
    text.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return text;
  }
};

TEST(log_lines, AreWrittenAtOnceWhereTheReaderReads)
{
  log_writer writer(mEnds[1]);
  writer.Write(log_level::eInfo, "good", "one");
  CHECK_EQUAL("one\n", ReadSome());
  CHECK_EQUAL(0U, writer.DroppedInAll());
}

TEST(log_lines, AreDroppedAndCountedWhereNobodyReads)
{
  log_writer writer(mEnds[1]);
  for (int i = 0; i < 2000; ++i) { // 400 KB into a pipe of 64 KB: waiting would never end.
    writer.Write(log_level::eInfo, "good", kLine);
  }
  const std::uint64_t dropped = writer.DroppedInAll();
  CHECK(dropped > 1000);
  CHECK(writer.TakeDropped().empty()); // No room to tell yet.
  for (int i = 0; i < 10; ++i) {
    ReadSome();
    writer.Flush();
    if (writer.BytesWritten() == (2000 - dropped) * (kLine.size() + 1)) {
      break;
    }
  }
  CHECK_EQUAL(dropped, writer.TakeDropped().at("good"));
  CHECK(writer.TakeDropped().empty());
}

TEST(log_lines, OfFailuresAreKeptBeforeGoodOnes)
{
  log_writer writer(mEnds[1]);
  for (int i = 0; i < 1000; ++i) {
    writer.Write(log_level::eInfo, "good", kLine);
  }
  const std::uint64_t good = writer.DroppedInAll();
  for (int i = 0; i < 100; ++i) {
    writer.Write(log_level::eWarning, "bad", kLine);
  }
  CHECK(good > 0);
  CHECK_EQUAL(good, writer.DroppedInAll());
}

TEST(log_lines, OverTheRateAreDroppedByKind)
{
  log_limits limits;
  limits.mInfoLines = 10.0;
  log_writer writer(mEnds[1], limits);
  int admitted = 0;
  for (int i = 0; i < 100; ++i) {
    admitted += writer.Admit(log_level::eInfo, "good", kNow) ? 1 : 0;
  }
  CHECK_EQUAL(20, admitted);
  CHECK(writer.Admit(log_level::eWarning, "bad", kNow));
  CHECK(writer.Admit(log_level::eInfo, "good", kNow + 1s));
  CHECK_EQUAL(80U, writer.TakeDropped().at("good"));
}
