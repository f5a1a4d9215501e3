/**
 * @file settings_test.cpp
 * Settings: all faults are reported together with their places.
 */
#include "settings/settings_type.h"

#include <CppUTest/TestHarness.h>

namespace {

const char* const kGood = R"([daemon]
name = "entry-1"
hall = "duluth-hall"
[callers]
listen = "127.0.0.1:8080"
[operators]
listen = "127.0.0.1:8081"
token_file = "/etc/dunehook/operator.token"
[peers]
listen = "127.0.0.1:8082"
secret_file = "/etc/dunehook/peer.secret"
seeds = ["127.0.0.2:8082"]
[platform]
log = "127.0.0.1:9000"
host_list = "127.0.0.1:9000"
appends_per_second = 12.5
)";

} // namespace

TEST_GROUP(settings){};

TEST(settings, GoodFileHasNoFindings)
{
  const auto report = dunehook::ParseSettings(kGood);
  LONGS_EQUAL(0, report.mFindings.size());
  STRCMP_EQUAL("entry-1", report.mSettings.mName.c_str());
  LONGS_EQUAL(8082, report.mSettings.mPeers.mPort);
  LONGS_EQUAL(1, report.mSettings.mSeeds.size());
  DOUBLES_EQUAL(12.5, report.mSettings.mAppendsPerSecond, 0.001);
}

TEST(settings, FiveFaultsGiveFiveFindingsWithLineAndColumn)
{
  const std::string text = R"([daemon]
name = 7
hall = "duluth-hall"
colour = "red"
[callers]
listen = "nowhere"
body_bytes = -1
[operators]
listen = "127.0.0.1:8081"
token_file = "token"
[peers]
listen = "127.0.0.1:8082"
[platform]
log = "127.0.0.1:9000"
host_list = "127.0.0.1:9000"
)";
  const auto findings = dunehook::ParseSettings(text).mFindings;
  LONGS_EQUAL(5, findings.size());
  STRCMP_EQUAL("daemon.name", findings[0].mPlace.c_str());
  LONGS_EQUAL(2, findings[0].mLine);
  LONGS_EQUAL(8, findings[0].mColumn);
  STRCMP_EQUAL("daemon.colour", findings[1].mPlace.c_str());
  LONGS_EQUAL(4, findings[1].mLine);
  STRCMP_EQUAL("callers.listen", findings[2].mPlace.c_str());
  STRCMP_EQUAL("callers.body_bytes", findings[3].mPlace.c_str());
  STRCMP_EQUAL("peers.secret_file", findings[4].mPlace.c_str());
  LONGS_EQUAL(11, findings[4].mLine);
}

TEST(settings, BrokenTomlIsOneFindingWithItsPlace)
{
  const auto findings = dunehook::ParseSettings("[daemon\nname = 1").mFindings;
  LONGS_EQUAL(1, findings.size());
  LONGS_EQUAL(1, findings[0].mLine);
}

TEST(settings, MissingFileIsAFinding)
{
  LONGS_EQUAL(1, dunehook::LoadSettings("/does/not/exist").mFindings.size());
}
