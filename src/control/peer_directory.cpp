/**
 * @file peer_directory.cpp
 * Calls to other daemons.
 */
#include "control/peer_directory.h"

#include <algorithm>

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
  co_return co_await CallOverLink(
    link, aMember.mIncarnation, std::move(aMethod), std::move(aMessage), aLimit);
}

asio::awaitable<result<nlohmann::json>>
peer_directory::CallOnOwnConnection(member_info aMember,
                                    std::string aMethod,
                                    nlohmann::json aMessage,
                                    duration aLimit)
{
  const auto link = std::make_shared<peer_link>(mIo, aMember.mAddress, mSecret);
  const auto place = mSingleCallLinks.emplace(aMember.mAddress, link);
  result<nlohmann::json> answer = co_await CallOverLink(
    link, aMember.mIncarnation, std::move(aMethod), std::move(aMessage), aLimit);
  mSingleCallLinks.erase(place);
  link->Close();
  co_return answer;
}

asio::awaitable<result<nlohmann::json>>
peer_directory::CallOverLink(std::shared_ptr<peer_link> aLink,
                             incarnation_id aMember,
                             std::string aMethod,
                             nlohmann::json aMessage,
                             duration aLimit)
{
  result<nlohmann::json> answer =
    co_await aLink->Call(std::move(aMethod), std::move(aMessage), aLimit);
  if (!answer && answer.error() != errc::eBadRequest) {
    mMembers.MarkUnreachable(aMember, boot_clock_source().Now());
  }
  co_return answer;
}

void
peer_directory::CloseLinks(const member_info& aMember)
{
  const auto found = mLinks.find(aMember.mAddress);
  if (found != mLinks.end()) {
    found->second->Close();
    mLinks.erase(found);
  }
  const auto [first, last] = mSingleCallLinks.equal_range(aMember.mAddress);
  std::for_each(first, last, [](const auto& aRow) { aRow.second->Close(); });
}

} // namespace dunehook
