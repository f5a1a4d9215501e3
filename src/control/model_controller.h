/**
 * @file model_controller.h
 * Orders runners to load the model versions that the configuration names. The fence of an order
 * is the offset of the resource that it follows from, so a daemon that is behind can't undo a
 * newer order at runners that check. One runner of a pool loads at a time: the weight store's
 * rate is limited, and the others go on serving.
 */
#pragma once

#include "control/host_directory.h"
#include "control/log_follower.h"
#include "runners/engine_client.h"

#include <map>

namespace dunehook {

/** Controller of the models of the pools that this daemon owns by rank. */
class model_controller
{
public:
  model_controller(asio::io_context& aIo,
                   const log_follower& aLog,
                   const host_directory& aHosts,
                   const member_table& aMembers,
                   engine_client& aEngines)
    : mIo(aIo)
    , mLog(aLog)
    , mHosts(aHosts)
    , mMembers(aMembers)
    , mEngines(aEngines)
  {
  }

  /** Starts the loop that gives orders. */
  void Start() { Spawn(mIo, LoadLoop()); }

private:
  /** Rest after a load that failed. */
  struct load_backoff
  {
    std::uint64_t mFence = 0; ///< Version of the resource that was ordered.
    duration mDelay{ 0 };     ///< How long the rest is.
    instant mUntil{ 0 };      ///< Its end.
  };

  /** A runner by its name, and what is to be loaded on it. */
  using load_key = std::pair<std::string, resource_key>;

  bool IsBackingOff(const load_key& aKey, std::uint64_t aFence) const;
  void RecordLoadResult(const load_key& aKey, std::uint64_t aFence, bool aLoaded);
  asio::awaitable<void> LoadLoop();
  asio::awaitable<void> LoadPool(resource aResource);
  asio::awaitable<bool> LoadRunner(host aHost, resource aResource);

  asio::io_context& mIo;                      ///< Runs the loop.
  const log_follower& mLog;                   ///< Configuration.
  const host_directory& mHosts;               ///< Runners.
  const member_table& mMembers;               ///< Says who owns a pool.
  engine_client& mEngines;                    ///< Carries orders.
  std::map<load_key, load_backoff> mBackoffs; ///< Loads that failed the last time.
};

} // namespace dunehook
