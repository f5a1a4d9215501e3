/**
 * @file host_directory.h
 * The platform's host list as this daemon last read it. It lags behind, so a runner may still
 * refuse work. While the list can't be read, the last one stays in use.
 */
#pragma once

#include "core/hash_func.h"
#include "decide/decide_type.h"
#include "log/log_client.h"

#include <functional>
#include <unordered_map>

namespace dunehook {

/** @return the id of the runner of that name. */
inline engine_id
EngineIdOf(std::string_view aName)
{
  return { HashBytes(aName) | 1U };
}

/** Reads the host list periodically and finds hosts by id and pool. */
class host_directory
{
public:
  host_directory(asio::io_context& aIo, endpoint aAt, duration aEvery)
    : mIo(aIo)
    , mClient(std::move(aAt))
    , mEvery(aEvery)
  {
  }

  /** Starts reading the list. */
  void Start() { Spawn(mIo, ReadLoop()); }
  /** @param aCallback called after the list changed. */
  void OnChanged(std::function<void()> aCallback) { mOnChanged = std::move(aCallback); }

  /** @return all hosts. */
  const std::vector<host>& Hosts() const { return mHosts; }
  /** @return a runner by id, or null. */
  const host* Find(engine_id aId) const;
  /** @return the listed hosts of a pool that aren't leaving. */
  std::vector<const host*> AvailableHostsOf(const std::string& aPool) const;
  /** @return whether the list was read at least once. */
  bool Ready() const { return mReady; }
  /** @return whether the last read succeeded. */
  bool Reachable() const { return mReachable; }

  /** Replaces the list. */
  void Replace(std::vector<host> aHosts);

private:
  asio::awaitable<void> ReadLoop();

  asio::io_context& mIo;                            ///< Runs the loop.
  host_list_client mClient;                         ///< The platform's list.
  duration mEvery;                                  ///< Time between reads.
  std::vector<host> mHosts;                         ///< Hosts of the last successful read.
  std::unordered_map<engine_id, std::size_t> mById; ///< Index in mHosts.
  std::function<void()> mOnChanged;                 ///< Called after a change.
  bool mReady = false;                              ///< Read at least once.
  bool mReachable = false;                          ///< The last read succeeded.
};

} // namespace dunehook
