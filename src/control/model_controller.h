/**
 * @file model_controller.h
 * Orders runners to load the model versions that the configuration names. The fence of an order is
 * the log offset of its resource, so a daemon whose fold is behind can't undo a newer order at
 * runners that check fences. Only one runner of a pool loads at a time: the weight store's rate is
 * limited, and the other runners go on serving.
 */
#pragma once

#include "control/host_directory.h"
#include "control/log_follower.h"
#include "runners/engine_client.h"

#include <map>

namespace dunehook {

/** Loads the models of the pools that this daemon owns by rendezvous rank. */
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

  /** Starts the loop that sends orders. */
  void Start() { Spawn(mIo, LoadLoop()); }

private:
  /** Backoff after a failed load. */
  struct load_backoff
  {
    std::uint64_t mFence = 0; ///< Version of the resource whose load failed.
    duration mDelay{ 0 };     ///< Current delay.
    instant mUntil{ 0 };      ///< No order before this time.
  };

  /** Name of a runner, and key of the resource to load on it. */
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
  std::map<load_key, load_backoff> mBackoffs; ///< Loads whose last try failed.
};

} // namespace dunehook
