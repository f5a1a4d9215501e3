/**
 * @file member.cpp
 * Builds and applies heartbeats, and detects failed members.
 */
#include "membership/member_base.h"

#include "core/hash_func.h"
#include "core/json_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace dunehook {

namespace {

using json = nlohmann::json;

constexpr std::size_t kSignatureBytes = 8;
constexpr std::size_t kEntryBytes = 56;     ///< Approximate size of one member in a datagram.
constexpr std::size_t kUdpHeaderBytes = 28; ///< Size of the IP and UDP headers of a datagram.
/** Members beyond kMaxDirectReceivers for which SilenceTimeout() grows by one more mFailAfter. */
constexpr double kMembersPerExtraTimeout = 4.0;
constexpr std::size_t kMaxDatagramBytes = 1400; ///< Fits into one Ethernet frame.
/** Members in each datagram of a full member list. With names of 25 characters they fit into one
 * Ethernet frame. */
constexpr std::size_t kMembersPerDatagram = 16;
/** Up to this many other members a heartbeat is sent to all of them. */
constexpr std::size_t kMaxDirectReceivers = 8;

json
Encode(const member_info& aInfo)
{
  return json::array({ aInfo.mIncarnation.mValue,
                       aInfo.mName,
                       aInfo.mHall,
                       aInfo.mAddress.mAddress,
                       aInfo.mAddress.mPort,
                       aInfo.mHeartbeatCount,
                       aInfo.mNextOffset,
                       aInfo.mServing,
                       aInfo.mWeight });
}

member_info
Decode(const json& aJson)
{
  member_info info;
  info.mIncarnation.mValue = aJson.at(0).get<std::uint64_t>();
  info.mName = aJson.at(1).get<std::string>();
  info.mHall = aJson.at(2).get<std::string>();
  info.mAddress.mAddress = aJson.at(3).get<std::string>();
  info.mAddress.mPort = aJson.at(4).get<std::uint16_t>();
  info.mHeartbeatCount = aJson.at(5).get<std::uint64_t>();
  info.mNextOffset = aJson.at(6).get<std::uint64_t>();
  info.mServing = aJson.at(7).get<bool>();
  info.mWeight = aJson.at(8).get<std::uint32_t>();
  return info;
}

/** Computes the keyed digest of a datagram. It rejects stray datagrams and mistakes; see
 * docs/OPERATIONS.md. */
std::string
Sign(std::string_view aData, std::string_view aSecret)
{
  std::uint64_t digest = HashBytes(aSecret, HashBytes(aData, HashBytes(aSecret)));
  std::string signature(kSignatureBytes, '\0');
  for (char& byte : signature) {
    byte = static_cast<char>(digest & 0xFFU);
    digest >>= 8U;
  }
  return signature;
}

} // namespace

void
member_table::SetSelf(std::uint64_t aNext, bool aServing)
{
  mSelf.mNextOffset = std::max(mSelf.mNextOffset, aNext);
  mSelf.mServing = aServing;
}

void
member_table::AddSeed(const endpoint& aAddress)
{
  if (aAddress != mSelf.mAddress &&
      std::find(mSeeds.begin(), mSeeds.end(), aAddress) == mSeeds.end()) {
    mSeeds.push_back(aAddress);
  }
}

std::vector<member_entry*>
member_table::LeastRecentlySent(std::size_t aCount)
{
  std::vector<member_entry*> entries;
  for (auto& [incarnation, entry] : mOthers) {
    entries.push_back(&entry);
  }
  // Entries with news since they were last sent come first, in order of the time when they were
  // last sent.
  std::stable_sort(entries.begin(), entries.end(), [](const auto* aOne, const auto* aTwo) {
    const bool oneOld = aOne->mLastSentAt > aOne->mLastHeardAt;
    const bool twoOld = aTwo->mLastSentAt > aTwo->mLastHeardAt;
    return std::tie(oneOld, aOne->mLastSentAt) < std::tie(twoOld, aTwo->mLastSentAt);
  });
  entries.resize(std::min(entries.size(), aCount));
  return entries;
}

std::string
member_table::Pack(const json& aMembers) const
{
  const std::vector<std::uint8_t> packed = json::to_cbor(aMembers);
  std::string data(packed.begin(), packed.end());
  data += Sign(data, mSecret);
  return data;
}

std::string
member_table::BuildMemberRequest() const
{
  return Pack(json::array({ Encode(mSelf), true }));
}

std::vector<std::string>
member_table::BuildMemberList() const
{
  std::vector<std::string> answers;
  json members = json::array({ Encode(mSelf) });
  for (const auto& [incarnation, entry] : mOthers) {
    members.push_back(Encode(entry.mInfo));
    if (members.size() >= kMembersPerDatagram) {
      answers.push_back(Pack(members));
      members = json::array();
    }
  }
  if (!members.empty()) {
    answers.push_back(Pack(members));
  }
  return answers;
}

std::optional<endpoint>
member_table::PickMemberToAsk()
{
  std::vector<endpoint> near;
  std::vector<endpoint> far = mSeeds;
  for (const auto& [incarnation, entry] : mOthers) {
    (entry.mInfo.mHall == mSelf.mHall ? near : far).push_back(entry.mInfo.mAddress);
  }
  const std::vector<endpoint>& candidates = near.empty() ? far : near;
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
  return candidates[draw(mRandom)];
}

heartbeat
member_table::BuildHeartbeat(instant aNow)
{
  ++mSelf.mHeartbeatCount;
  heartbeat beat;
  for (const auto& [incarnation, entry] : mOthers) {
    beat.mTo.push_back(entry.mInfo.mAddress);
  }
  std::shuffle(beat.mTo.begin(), beat.mTo.end(), mRandom);
  // In a small group every daemon gets heartbeats from each other one. In a large group news is
  // relayed.
  const std::size_t receivers =
    beat.mTo.size() <= kMaxDirectReceivers ? beat.mTo.size() : mSettings.mFanout;
  beat.mTo.resize(receivers);
  const double bytes = mSettings.mBytesPerSecond * ToSeconds(mSettings.mHeartbeat) /
                       static_cast<double>(std::max<std::size_t>(1, receivers));
  const std::size_t size = std::min(kMaxDatagramBytes, static_cast<std::size_t>(bytes));
  const std::size_t overhead = kUdpHeaderBytes + kSignatureBytes + kEntryBytes;
  const std::size_t room = size > overhead ? (size - overhead) / kEntryBytes : 0;
  json members = json::array({ Encode(mSelf) });
  for (member_entry* const entry : LeastRecentlySent(std::max<std::size_t>(1, room))) {
    entry->mLastSentAt = aNow;
    members.push_back(Encode(entry->mInfo));
  }
  beat.mData = Pack(members);
  std::copy(mSeeds.begin(), mSeeds.end(), std::back_inserter(beat.mTo));
  return beat;
}

bool
member_table::Update(const member_info& aInfo, instant aNow, member_changes& aChanges)
{
  if (aInfo.mIncarnation == mSelf.mIncarnation || mEndedRuns.contains(aInfo.mIncarnation)) {
    return false;
  }
  const auto silent = mSilentRuns.find(aInfo.mIncarnation);
  if (silent != mSilentRuns.end()) {
    if (aInfo.mHeartbeatCount <= silent->second) {
      return false;
    }
    mSilentRuns.erase(silent);
  }
  const auto [row, fresh] = mOthers.try_emplace(aInfo.mIncarnation);
  member_entry& entry = row->second;
  if (!fresh && aInfo.mHeartbeatCount <= entry.mInfo.mHeartbeatCount) {
    return false;
  }
  entry.mInfo = aInfo;
  entry.mLastHeardAt = aNow;
  entry.mUnreachableSince = instant{ 0 };
  if (fresh) {
    aChanges.mJoined.push_back(aInfo);
    std::erase(mSeeds, aInfo.mAddress);
  }
  return fresh;
}

member_changes
member_table::Receive(std::string_view aDatagram, instant aNow)
{
  member_changes changes;
  if (aDatagram.size() <= kSignatureBytes) {
    return changes;
  }
  const std::string_view data = aDatagram.substr(0, aDatagram.size() - kSignatureBytes);
  if (Sign(data, mSecret) != aDatagram.substr(data.size())) {
    return changes;
  }
  const json members = ParseCbor(data);
  if (!members.is_array()) {
    return changes;
  }
  try {
    for (const json& member : members) {
      if (member.is_boolean()) {
        changes.mRequestFrom = Decode(members.at(0)).mAddress;
        continue;
      }
      const member_info info = Decode(member);
      if (!Update(info, aNow, changes)) {
        continue;
      }
      // A new process at the same address: the earlier one has ended.
      for (auto& [incarnation, entry] : mOthers) {
        if (incarnation != info.mIncarnation && entry.mInfo.mAddress == info.mAddress) {
          changes.mGone.push_back(entry.mInfo);
        }
      }
    }
  } catch (const json::exception&) {
    return changes;
  }
  for (const member_info& gone : changes.mGone) {
    RememberEnded(gone.mIncarnation);
  }
  return changes;
}

void
member_table::RememberEnded(incarnation_id aIncarnation)
{
  mOthers.erase(aIncarnation);
  mEndedRuns[aIncarnation] = ++mEndedCount;
  if (mEndedRuns.size() > kMaxEndedRuns) {
    mEndedRuns.erase(std::min_element(
      mEndedRuns.begin(), mEndedRuns.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second < aTwo.second;
      }));
  }
}

duration
member_table::SilenceTimeout() const
{
  if (mOthers.size() <= kMaxDirectReceivers) {
    return mSettings.mFailAfter;
  }
  const double further =
    static_cast<double>(mOthers.size() - kMaxDirectReceivers) / kMembersPerExtraTimeout;
  return FromSeconds(ToSeconds(mSettings.mFailAfter) * (1.0 + further));
}

member_changes
member_table::DropSilent(instant aNow)
{
  member_changes changes;
  for (const auto& [incarnation, entry] : mOthers) {
    if (aNow - entry.mLastHeardAt > SilenceTimeout()) {
      changes.mGone.push_back(entry.mInfo);
    }
  }
  for (const member_info& gone : changes.mGone) {
    // Not recorded as ended: a frozen daemon that resumes is the same process and may come back.
    mOthers.erase(gone.mIncarnation);
    if (mSilentRuns.size() >= kMaxEndedRuns) {
      mSilentRuns.erase(mSilentRuns.begin());
    }
    mSilentRuns[gone.mIncarnation] = gone.mHeartbeatCount;
  }
  return changes;
}

void
member_table::MarkUnreachable(incarnation_id aIncarnation, instant aNow)
{
  const auto found = mOthers.find(aIncarnation);
  if (found != mOthers.end()) {
    found->second.mUnreachableSince = aNow;
  }
}

const member_info*
member_table::Find(incarnation_id aIncarnation) const
{
  if (aIncarnation == mSelf.mIncarnation) {
    return &mSelf;
  }
  const auto found = mOthers.find(aIncarnation);
  return found == mOthers.end() ? nullptr : &found->second.mInfo;
}

void
member_table::NoteNextOffset(incarnation_id aIncarnation, std::uint64_t aNext)
{
  const auto found = mOthers.find(aIncarnation);
  if (found != mOthers.end()) {
    found->second.mInfo.mNextOffset = std::max(found->second.mInfo.mNextOffset, aNext);
  }
}

} // namespace dunehook
