/**
 * @file resource_test.cpp
 * Specs: ParseSpec() reverses SpecToJson() and reports all errors of a spec at once.
 */
#include "resources/resource_type.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;

TEST_GROUP(resources){};

TEST(resources, EveryKindReadsBackWhatItWrites)
{
  route_spec route;
  route.mModel = "tutor";
  route.mClass = "practice";
  route.mPrefillPool = "p";
  route.mDecodePool = "d";
  route.mLink = "l";
  pool_spec pool;
  pool.mRole = runner_role::eDecode;
  const std::array<resource_spec, 6> specs{
    route,       pool,       priority_class_spec{}, model_version_spec{ "m", "1", "w", "p" },
    link_spec{}, team_spec{}
  };
  for (std::size_t index = 0; index < specs.size(); ++index) {
    finding_list findings;
    const auto read = ParseSpec(kResourceKinds[index], SpecToJson(specs[index]), findings);
    LONGS_EQUAL(0, findings.size());
    CHECK_TRUE(read.value() == specs[index]);
  }
}

TEST(resources, AllFaultsOfASpecAreFound)
{
  finding_list findings;
  const auto spec =
    nlohmann::json::parse(R"({"role":"cook","slots":0,"tokens_per_second":"many","surprise":1})");
  CHECK_FALSE(ParseSpec(resource_kind::ePool, spec, findings).has_value());
  LONGS_EQUAL(4, findings.size());
}

TEST(resources, RouteNeedsExactlyOneOfModelAndPath)
{
  finding_list findings;
  const auto spec = nlohmann::json::parse(R"({"model":"m","path_prefix":"/x","class":"c",
    "prefill_pool":"p","decode_pool":"d","link":"l"})");
  CHECK_FALSE(ParseSpec(resource_kind::eRoute, spec, findings).has_value());
  STRCMP_EQUAL("spec.model", findings[0].mPlace.c_str());
}

TEST(resources, NamesAreChecked)
{
  CHECK_TRUE(IsValidName("practice-turns.v1"));
  CHECK_FALSE(IsValidName(""));
  CHECK_FALSE(IsValidName("Upper"));
  CHECK_FALSE(IsValidName("a/b"));
}
