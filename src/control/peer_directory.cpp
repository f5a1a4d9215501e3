/**
 * @file peer_directory.cpp
 * Calls to members.
 */
#include "control/peer_directory.h"

namespace dunehook {

asio::awaitable<result<nlohmann::json>>
peer_directory::Call(member_info aMember,
                     std::string aMethod,
                     nlohmann::json aMessage,
                     duration aLimit)
{
  std::shared_ptr<peer_link>& slot = mLinks[aMember.mAddress];
  if (!slot) {
    slot = std::make_shared<peer_link>(mIo, aMember.mAddress, mSecret);
  }
  const std::shared_ptr<peer_link> link = slot;
  result<nlohmann::json> answer =
    co_await link->Call(std::move(aMethod), std::move(aMessage), aLimit);
  if (!answer && answer.error() != errc::eBadRequest) {
    mMembers.Suspect(aMember.mIncarnation, steady_clock_source().Now());
  }
  co_return answer;
}

void
peer_directory::Drop(const member_info& aMember)
{
  const auto found = mLinks.find(aMember.mAddress);
  if (found != mLinks.end()) {
    found->second->Close();
    mLinks.erase(found);
  }
}

} // namespace dunehook
