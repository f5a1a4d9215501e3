/**
 * @file origin_link.cpp
 * Tells, asks and answers which software began streams.
 */
#include "links/origin_link.h"

namespace dunehook {

origin_link::origin_link(forward_state& aState, daemon_link& aLink)
  : mState(aState)
  , mLink(aLink)
{
  mLink.SetOriginHandler([this](const origin_message& aMessage, const endpoint& aFrom) {
    HandleMessage(aMessage, aFrom);
  });
  mState.mNoteOrigin = [this](const std::string& aService,
                              const std::string& aAttempt,
                              software_id aSoftware) { Note(aService, aAttempt, aSoftware); };
}

void
origin_link::Note(const std::string& aService, const std::string& aAttempt, software_id aSoftware)
{
  const stream_origin origin{ StreamIdOf(aService, aAttempt), aSoftware };
  if (!origin.mStream) {
    return;
  }
  mOrigins.Note(origin, mState.Now());
  run_message message;
  message.mOrigins.emplace().mBegun.push_back(origin);
  mLink.SendToEach(std::move(message), Keepers(origin.mStream, kOriginKeepers));
  // While a service has one version, that is known without a record.
  if (EvidenceOfList(aService).mEvidence == origin_evidence::eSeveralVersions) {
    TellStoreWriter(origin);
  }
}

void
origin_link::TellStoreWriter(const stream_origin& aOrigin)
{
  const std::vector<const member_info*> first = mLink.Members().FirstServing(1);
  if (first.empty()) {
    return;
  }
  if (first.front() == &mLink.Members().Self()) {
    const std::vector<stream_origin> own(1, aOrigin);
    mStoreHandler(own);
    return;
  }
  run_message message;
  message.mOrigins.emplace().mToStore.push_back(aOrigin);
  mLink.SendTo(std::move(message), RunEndpointOf(first.front()->mAddress));
}

void
origin_link::Keep(const std::vector<stream_origin>& aOrigins)
{
  for (const stream_origin& origin : aOrigins) {
    mOrigins.Note(origin, mState.Now());
  }
}

asio::awaitable<origin_finding>
origin_link::Find(std::string aService, std::string aAttempt)
{
  origin_request request;
  request.mStream = StreamIdOf(aService, aAttempt);
  request.mService = std::move(aService);
  origin_finding found;
  found.mKnown = EvidenceOf(request);
  while (found.mKnown.mEvidence != origin_evidence::eRecord) {
    const bool settling = mLink.IsSettling();
    // Another daemon may have a record, of a version that this one hasn't seen.
    found = co_await Ask(request, EvidenceOf(request));
    if (!settling || found.mKnown.mSoftware) {
      break;
    }
    co_await Sleep(kSettlingPollInterval);
  }
  co_return found;
}

asio::awaitable<origin_finding>
origin_link::Ask(origin_request aRequest, stream_evidence aOwn)
{
  const std::vector<endpoint> keepers = Keepers(aRequest.mStream, kOriginKeepersAsked);
  const auto pending = std::make_shared<pending_request>(mState.mIo);
  const std::uint32_t round = ++mRounds;
  aRequest.mRound = round;
  pending->mOpen = keepers.size();
  pending->mEvidence = aOwn;
  mPending[round] = pending;
  run_message message;
  message.mOrigins.emplace().mRequest = std::move(aRequest);
  mLink.SendToEach(std::move(message), keepers);
  const instant until = mState.Now() + kOriginReplyTimeout;
  for (instant now = mState.Now();
       pending->mOpen > 0 && pending->mEvidence.mEvidence != origin_evidence::eRecord &&
       now < until;
       now = mState.Now()) {
    co_await pending->mChanged.Wait(until - now);
  }
  mPending.erase(round);
  origin_finding found;
  found.mKnown = pending->mEvidence;
  found.mConfirmed = found.mKnown.mEvidence != origin_evidence::eOnlyVersion ||
                     (pending->mOpen == 0 && pending->mAgreeing >= kDaemonsAgreeing);
  co_return found;
}

void
origin_link::HandleMessage(const origin_message& aMessage, const endpoint& aFrom)
{
  Keep(aMessage.mBegun);
  if (!aMessage.mToStore.empty()) {
    mStoreHandler(aMessage.mToStore);
  }
  if (aMessage.mRequest) {
    run_message message;
    message.mOrigins.emplace().mReply = { aMessage.mRequest->mRound,
                                          EvidenceOf(*aMessage.mRequest) };
    mLink.SendTo(std::move(message), aFrom);
  }
  if (!aMessage.mReply) {
    return;
  }
  const auto found = mPending.find(aMessage.mReply->mRound);
  if (found != mPending.end()) {
    pending_request& pending = *found->second;
    pending.mOpen -= pending.mOpen > 0 ? 1 : 0;
    const stream_evidence& evidence = aMessage.mReply->mEvidence;
    pending.mAgreeing += evidence.mEvidence == origin_evidence::eOnlyVersion ? 1 : 0;
    pending.mEvidence = Combine(pending.mEvidence, evidence);
    pending.mChanged.Notify();
  }
}

stream_evidence
origin_link::EvidenceOf(const origin_request& aRequest) const
{
  const instant now = mState.Now();
  if (const software_id recorded = mOrigins.Find(aRequest.mStream, now)) {
    return { origin_evidence::eRecord, recorded };
  }
  const stream_evidence listed = EvidenceOfList(aRequest.mService);
  const bool known = listed.mEvidence != origin_evidence::eOnlyVersion ||
                     mState.mRunners.ReachesBackTo(now - OneSoftwareTime(aRequest.mService));
  return known ? listed : stream_evidence{};
}

stream_evidence
origin_link::EvidenceOfList(const std::string& aService) const
{
  const instant now = mState.Now();
  const std::set<software_id> versions =
    mState.mRunners.SoftwareSince(aService, now - OneSoftwareTime(aService));
  if (versions.size() > 1) {
    return { origin_evidence::eSeveralVersions, {} };
  }
  if (versions.empty() || mState.ListAge() >= kMaxRunnerListAge) {
    return {};
  }
  return { origin_evidence::eOnlyVersion, *versions.begin() };
}

duration
origin_link::OneSoftwareTime(const std::string& aService) const
{
  const duration held = mState.mRoutes ? mState.mRoutes->LongestStream(aService) : duration{ 0 };
  return std::max(kOneSoftwareTime, kAttemptsRemembered * held);
}

void
origin_link::HandOver()
{
  std::map<endpoint, std::vector<stream_origin>> byKeeper;
  for (const stream_origin& origin : mOrigins.Known(mState.Now())) {
    for (const endpoint& keeper : Keepers(origin.mStream, kOriginKeepers)) {
      byKeeper[keeper].push_back(origin);
    }
  }
  for (const auto& [keeper, origins] : byKeeper) {
    for (std::size_t from = 0; from < origins.size(); from += kMaxOriginsPerDatagram) {
      const std::size_t until = std::min(origins.size(), from + kMaxOriginsPerDatagram);
      run_message message;
      message.mOrigins.emplace().mBegun.assign(origins.begin() + static_cast<std::ptrdiff_t>(from),
                                               origins.begin() +
                                                 static_cast<std::ptrdiff_t>(until));
      mLink.SendTo(std::move(message), keeper);
    }
  }
}

std::vector<endpoint>
origin_link::Keepers(stream_id aStream, std::size_t aCount) const
{
  const std::string key = std::to_string(aStream.mValue);
  std::vector<endpoint> keepers;
  for (const member_info* const member : mLink.Members().FirstByKey(key, aCount)) {
    keepers.push_back(RunEndpointOf(member->mAddress));
  }
  return keepers;
}

} // namespace dunehook
