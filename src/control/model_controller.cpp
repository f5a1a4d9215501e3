/**
 * @file model_controller.cpp
 * Orders to load model versions.
 */
#include "control/model_controller.h"

#include "core/log_func.h"

#include <algorithm>

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr duration kPollInterval = 500ms;
constexpr duration kStateTimeout = 500ms;
constexpr duration kLoadTimeout = 10s;
/** Delay after a runner's failed load, doubled up to the maximum: the runner may still be loading,
 * and other runners wait for the bandwidth of the weight store. */
constexpr duration kMinLoadBackoff = 1s;
constexpr duration kMaxLoadBackoff = 30s;

} // namespace

/** @return whether to wait before a repeated order. Another version is ordered at once. */
bool
model_controller::IsBackingOff(const load_key& aKey, std::uint64_t aFence) const
{
  const auto found = mBackoffs.find(aKey);
  return found != mBackoffs.end() && found->second.mFence == aFence &&
         boot_clock_source().Now() < found->second.mUntil;
}

void
model_controller::RecordLoadResult(const load_key& aKey, std::uint64_t aFence, bool aLoaded)
{
  if (aLoaded) {
    mBackoffs.erase(aKey);
    return;
  }
  load_backoff& backoff = mBackoffs[aKey];
  const bool again = backoff.mFence == aFence;
  backoff.mFence = aFence;
  backoff.mDelay = again ? std::min(backoff.mDelay * 2, kMaxLoadBackoff) : kMinLoadBackoff;
  backoff.mUntil = boot_clock_source().Now() + backoff.mDelay;
}

asio::awaitable<void>
model_controller::LoadLoop()
{
  for (;;) {
    co_await Sleep(kPollInterval);
    const instant now = boot_clock_source().Now();
    std::erase_if(mBackoffs, [now](const auto& aRow) { // Mainly entries of runners that are gone.
      return now - aRow.second.mUntil > kMaxLoadBackoff;
    });
    std::vector<resource> wanted;
    for (const auto& [key, one] : mLog.State().Resources()) {
      const auto* const spec = std::get_if<model_version_spec>(&one.mSpec);
      if (spec != nullptr &&
          mMembers.OwnerOf("pool:" + spec->mPool).mIncarnation == mMembers.Self().mIncarnation) {
        wanted.push_back(one);
      }
    }
    for (const resource& one : wanted) {
      co_await LoadPool(one);
    }
  }
}

asio::awaitable<void>
model_controller::LoadPool(resource aResource)
{
  const auto& spec = std::get<model_version_spec>(aResource.mSpec);
  std::vector<host> hosts;
  for (const host* const one : mHosts.AvailableHostsOf(spec.mPool)) {
    hosts.push_back(*one);
  }
  for (const host& one : hosts) {
    if (co_await LoadRunner(one, aResource)) {
      co_return; // One load at a time; the other runners follow at the next poll.
    }
  }
}

asio::awaitable<bool>
model_controller::LoadRunner(host aHost, resource aResource)
{
  const load_key key{ aHost.mName, aResource.mKey };
  if (IsBackingOff(key, aResource.mVersion)) {
    co_return false;
  }
  const auto& spec = std::get<model_version_spec>(aResource.mSpec);
  const result<json> state = co_await mEngines.Get(aHost.mAddress, "/v1/state", kStateTimeout);
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
  const result<void> done = co_await mEngines.Order(aHost.mAddress, order, kLoadTimeout);
  RecordLoadResult(key, aResource.mVersion, done.has_value());
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
