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

constexpr duration kLookEvery = 500ms;
constexpr duration kStateLimit = 500ms;
constexpr duration kLoadLimit = 10s;
/** Rest after a runner's failed load, doubled up to the longest: it may still be loading, and what
 * it reads from the weight store others wait for. */
constexpr duration kFirstLoadRest = 1s;
constexpr duration kLongestLoadRest = 30s;

} // namespace

/** @return whether a runner isn't to be ordered yet. Another version doesn't wait for the rest. */
bool
model_controller::Rests(const load_key& aKey, std::uint64_t aFence) const
{
  const auto found = mRests.find(aKey);
  return found != mRests.end() && found->second.mFence == aFence &&
         boot_clock_source().Now() < found->second.mUntil;
}

void
model_controller::NoteLoad(const load_key& aKey, std::uint64_t aFence, bool aLoaded)
{
  if (aLoaded) {
    mRests.erase(aKey);
    return;
  }
  load_rest& rest = mRests[aKey];
  const bool again = rest.mFence == aFence;
  rest.mFence = aFence;
  rest.mRest = again ? std::min(rest.mRest * 2, kLongestLoadRest) : kFirstLoadRest;
  rest.mUntil = boot_clock_source().Now() + rest.mRest;
}

asio::awaitable<void>
model_controller::LoadLoop()
{
  for (;;) {
    co_await Sleep(kLookEvery);
    const instant now = boot_clock_source().Now();
    std::erase_if(mRests, [now](const auto& aRow) { // Of runners that are gone, most of all.
      return now - aRow.second.mUntil > kLongestLoadRest;
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
  for (const host* const one : mHosts.LiveOf(spec.mPool)) {
    hosts.push_back(*one);
  }
  for (const host& one : hosts) {
    if (co_await LoadRunner(one, aResource)) {
      co_return; // One load at a time; the rest follow at the next look.
    }
  }
}

asio::awaitable<bool>
model_controller::LoadRunner(host aHost, resource aResource)
{
  const load_key key{ aHost.mName, aResource.mKey };
  if (Rests(key, aResource.mVersion)) {
    co_return false;
  }
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
  NoteLoad(key, aResource.mVersion, done.has_value());
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
