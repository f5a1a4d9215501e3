/**
 * @file metrics_test.cpp
 * Metrics of a forwarding daemon as text.
 */
#include "state/gateway_metrics.h"

#include <CppUTest/TestHarness.h>

using namespace dunehook;

TEST_GROUP(gateway_metrics){};

TEST(gateway_metrics, RoutesBeyondTheLabelLimitShareOneLabel)
{
  gateway_metrics metrics;
  for (int i = 0; i < 300; ++i) {
    metrics.CountRequest("route-" + std::to_string(i), "served", "");
  }
  const std::string text = metrics.Serialize({});
  CHECK(text.find("route=\"route-99\"} 1") != std::string::npos);
  CHECK(text.find("route=\"route-100\"") == std::string::npos);
  CHECK(text.find("route=\"other\"} 200") != std::string::npos);
}

TEST(gateway_metrics, PromptTokensAreCountedByWhatBecameOfThem)
{
  gateway_metrics metrics;
  metrics.CountPromptTokens("read", 5000);
  metrics.CountPromptTokens("run_broke", 700);
  const std::string text = metrics.Serialize({ { "ready", 1.0 } });
  CHECK(text.find("dunehook_prompt_tokens_total{what=\"read\"} 5000") != std::string::npos);
  CHECK(text.find("dunehook_prompt_tokens_total{what=\"run_broke\"} 700") != std::string::npos);
  CHECK(text.find("dunehook_state{name=\"ready\"} 1") != std::string::npos);
}
