/**
 * @file host_directory.cpp
 * Periodic reading of the host list.
 */
#include "control/host_directory.h"

#include "core/log_func.h"

namespace dunehook {

const host*
host_directory::Find(engine_id aId) const
{
  const auto found = mById.find(aId);
  return found == mById.end() ? nullptr : &mHosts[found->second];
}

std::vector<const host*>
host_directory::AvailableHostsOf(const std::string& aPool) const
{
  std::vector<const host*> live;
  for (const host& one : mHosts) {
    if (one.mPool == aPool && !one.mLeaving) {
      live.push_back(&one);
    }
  }
  return live;
}

void
host_directory::Replace(std::vector<host> aHosts)
{
  mReady = true;
  if (aHosts == mHosts) {
    return;
  }
  mHosts = std::move(aHosts);
  mById.clear();
  for (std::size_t index = 0; index < mHosts.size(); ++index) {
    mById[EngineIdOf(mHosts[index].mName)] = index;
  }
  LogEvent(log_level::eInfo, "host_list_changed", { { "hosts", mHosts.size() } });
  if (mOnChanged) {
    mOnChanged();
  }
}

asio::awaitable<void>
host_directory::ReadLoop()
{
  for (;;) {
    result<std::vector<host>> hosts = co_await mClient.Read();
    mReachable = hosts.has_value();
    if (hosts) {
      Replace(std::move(hosts.value()));
    }
    co_await Sleep(mEvery);
  }
}

} // namespace dunehook
