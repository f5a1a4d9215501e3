/**
 * @file model_keeper.cpp
 * Orders to load model versions.
 */
#include "control/model_keeper.h"

#include "core/log_func.h"

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr duration kKeepEvery = 500ms;
constexpr duration kStateLimit = 500ms;
constexpr duration kLoadLimit = 10s;

} // namespace

asio::awaitable<void>
model_keeper::KeepLoop()
{
  for (;;) {
    co_await Sleep(kKeepEvery);
    std::vector<resource> wanted;
    for (const auto& [key, one] : mLog.State().Resources()) {
      const auto* const spec = std::get_if<model_version_spec>(&one.mSpec);
      if (spec != nullptr &&
          mMembers.OwnerOf("pool:" + spec->mPool).mIncarnation == mMembers.Self().mIncarnation) {
        wanted.push_back(one);
      }
    }
    for (const resource& one : wanted) {
      co_await KeepPool(one);
    }
  }
}

asio::awaitable<void>
model_keeper::KeepPool(resource aResource)
{
  const auto& spec = std::get<model_version_spec>(aResource.mSpec);
  std::vector<host> hosts;
  for (const host* const one : mHosts.LiveOf(spec.mPool)) {
    hosts.push_back(*one);
  }
  for (const host& one : hosts) {
    if (co_await KeepRunner(one, aResource)) {
      co_return; // One load at a time; the rest follow at the next look.
    }
  }
}

asio::awaitable<bool>
model_keeper::KeepRunner(host aHost, resource aResource)
{
  const auto& spec = std::get<model_version_spec>(aResource.mSpec);
  const result<json> state = co_await mEngines.Get(aHost.mAddress, "/v1/state", kStateLimit);
  if (!state) {
    co_return false;
  }
  const json& loaded = state.value();
  if (loaded.value("model", std::string()) == spec.mModel &&
      loaded.value("version", std::string()) == spec.mVersion) {
    co_return false;
  }
  const json order{ { "fence", aResource.mVersion },
                    { "kind", "load_model" },
                    { "model", spec.mModel },
                    { "version", spec.mVersion },
                    { "weights", spec.mWeights } };
  const result<void> done = co_await mEngines.Order(aHost.mAddress, order, kLoadLimit);
  LogEvent(log_level::eInfo,
           "model_order",
           { { "runner", aHost.mName },
             { "model", spec.mModel },
             { "version", spec.mVersion },
             { "fence", aResource.mVersion },
             { "outcome", done ? "loaded" : ErrorName(done.error()) } });
  co_return done.has_value();
}

} // namespace dunehook
