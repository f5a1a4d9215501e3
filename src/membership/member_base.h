/**
 * @file member_base.h
 * The table of daemons, maintained by heartbeats. Each heartbeat contains its sender and the
 * members that it sent least recently, within a bandwidth limit. With few daemons every heartbeat
 * contains all of them; with many, news is relayed from daemon to daemon. Tables of different
 * daemons may disagree, so ownership derived from them is only a hint.
 */
#pragma once

#include "core/attempt_type.h"
#include "core/clock_type.h"
#include "net/net_type.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace dunehook {

/** What a daemon announces about itself. */
struct member_info
{
  incarnation_id mIncarnation;       ///< Identifies its process.
  std::string mName;                 ///< Name of its host.
  std::string mHall;                 ///< Data hall of its host.
  endpoint mAddress;                 ///< Peer address, for TCP and UDP.
  std::uint64_t mHeartbeatCount = 0; ///< Number of heartbeats sent; never decreases in one process.
  std::uint64_t mNextOffset = 1;     ///< Offset of the next record that it will apply.
  bool mServing = false;             ///< It accepts work: it is up to date and not stopping.
  std::uint32_t mWeight = 0; ///< CPU share that it may use, in thousandths of a core; 0 if unknown.

  auto operator<=>(const member_info&) const = default;
};

/** @return whether @p aOne ranks before @p aTwo when one daemon acts for others: a larger weight
 * ranks first, equal weights are ordered by name. */
bool
RanksBefore(const member_info& aOne, const member_info& aTwo);

/** A member as this daemon knows it. */
struct member_entry
{
  member_info mInfo;         ///< Latest information received.
  instant mLastHeardAt{ 0 }; ///< When its heartbeat count last increased.
  instant mLastSentAt{ 0 };  ///< When it was last included in a heartbeat.
  /** When a connection to it failed after mLastHeardAt; zero if none did. */
  instant mUnreachableSince{ 0 };
};

/** Settings of the member table. */
struct member_settings
{
  duration mHeartbeat = std::chrono::milliseconds(150); ///< Time between heartbeats.
  /** Silence after which a member counts as gone. */
  duration mFailAfter = std::chrono::milliseconds(900);
  double mBytesPerSecond = 11264.0; ///< Bandwidth limit for heartbeats sent.
  std::size_t mFanout = 3;          ///< Receivers of each heartbeat in a large group.
};

/** Receivers and content of a heartbeat. */
struct heartbeat
{
  std::vector<endpoint> mTo; ///< Receivers.
  std::string mData;         ///< CBOR datagram.
};

/** Changes caused by a received datagram or by the passing of time. */
struct member_changes
{
  std::vector<member_info> mJoined;     ///< Processes seen for the first time.
  std::vector<member_info> mGone;       ///< Processes that ended or fell silent.
  std::optional<endpoint> mRequestFrom; ///< Address of a daemon that requests the full member list.
};

/** The daemons known to this one, and this one itself. */
class member_table
{
public:
  member_table(member_info aSelf, const member_settings& aSettings, std::string aSecret)
    : mSelf(std::move(aSelf))
    , mSettings(aSettings)
    , mSecret(std::move(aSecret))
    , mRandom(mSelf.mIncarnation.mValue)
  {
  }

  /** Sets what this daemon announces. */
  void SetSelf(std::uint64_t aNext, bool aServing);
  /** Sets the address at which this daemon is reached, once its socket is open. */
  void SetSelfAddress(const endpoint& aAddress) { mSelf.mAddress = aAddress; }
  /** Adds an address to send heartbeats to until a member is known there. */
  void AddSeed(const endpoint& aAddress);

  /** @return the next heartbeat. */
  heartbeat BuildHeartbeat(instant aNow);
  /** @return a datagram that requests the full member list. */
  std::string BuildMemberRequest() const;
  /** @return datagrams with the full member list, in reply to a request. */
  std::vector<std::string> BuildMemberList() const;
  /** @return the address that a daemon that has just started asks for the member list: a random
   * member of its data hall if it knows one, otherwise any other member or a seed. */
  std::optional<endpoint> PickMemberToAsk();
  /** Applies a datagram. One that isn't signed with the shared secret changes nothing. */
  member_changes Receive(std::string_view aDatagram, instant aNow);
  /** Records a next offset that a member reported other than by a heartbeat. */
  void NoteNextOffset(incarnation_id aIncarnation, std::uint64_t aNext);
  /** Removes members that fell silent. */
  member_changes DropSilent(instant aNow);
  /** @return the silence after which a member counts as gone. In a group too large for direct
   * heartbeats news takes longer, so the limit grows with the group; see docs/CAPACITY.md. */
  duration SilenceTimeout() const;
  /** Records that a connection to a member failed. The member is skipped until its next heartbeat.
   */
  void MarkUnreachable(incarnation_id aIncarnation, instant aNow);

  /** @return this daemon's own entry. */
  const member_info& Self() const { return mSelf; }
  /** @return the other members, by process. */
  const std::map<incarnation_id, member_entry>& Others() const { return mOthers; }
  /** @return what is known of a process, or null. */
  const member_info* Find(incarnation_id aIncarnation) const;
  /** @return whether a process is known to have ended or fallen silent. */
  bool IsKnownGone(incarnation_id aIncarnation) const
  {
    return mEndedRuns.contains(aIncarnation) || mSilentRuns.contains(aIncarnation);
  }
  /** @return the daemon that owns a key: the reachable serving member with the highest rendezvous
   * hash. */
  const member_info& OwnerOf(std::string_view aKey) const;
  /** @return the other serving members with the highest rendezvous hashes of a key, the highest
   * first, at most @p aCount. Whether this daemon reaches them doesn't count, so that daemons that
   * know the same members get the same ones. */
  std::vector<const member_info*> FirstByKey(std::string_view aKey, std::size_t aCount) const;
  /** @return how many members, including this one, are serving; at least 1. */
  std::size_t CountServing() const;
  /** @return the reachable serving members, including this one, ordered by RanksBefore(). Daemons
   * that know the same members get the same order.
   * @param aHall only members of this data hall, if given. */
  std::vector<const member_info*> RankedServing(std::optional<std::string_view> aHall = {}) const;
  /** @return the first of RankedServing(), at most @p aCount, without ordering the others. */
  std::vector<const member_info*> FirstServing(std::size_t aCount) const;
  /** @return whether this member is one of FirstServing(). */
  bool IsAmongFirst(std::size_t aCount) const;
  /** @return how many serving members of its data hall rank before this one. */
  std::size_t RankInHall() const;
  /** @return how many members, including this one, have applied the record at @p aOffset. */
  std::size_t CountHavingApplied(std::uint64_t aOffset) const;
  /** @return the highest offset that another member has reached; 1 if there is none. */
  std::uint64_t HighestNextOffset() const;
  /** @return a random reachable serving member with a higher next offset than this one's, one of
   * the same data hall if there is one; null if none is known. */
  const member_info* PickAhead();

private:
  /** @return the reachable serving members, in no order. */
  std::vector<const member_info*> Serving(std::optional<std::string_view> aHall) const;
  std::string Pack(const nlohmann::json& aMembers) const;
  bool Update(const member_info& aInfo, instant aNow, member_changes& aChanges);
  void RememberEnded(incarnation_id aIncarnation);
  std::vector<member_entry*> LeastRecentlySent(std::size_t aCount);

  /** Maximum number of ended, and of silent, processes remembered. */
  static constexpr std::size_t kMaxEndedRuns = 4096;

  member_info mSelf;                              ///< This daemon.
  member_settings mSettings;                      ///< Intervals and limits.
  std::string mSecret;                            ///< Signs datagrams.
  std::mt19937_64 mRandom;                        ///< Picks receivers.
  std::map<incarnation_id, member_entry> mOthers; ///< Other members; never contains this daemon.
  /** Processes that ended, numbered in the order in which they did. */
  std::map<incarnation_id, std::uint64_t> mEndedRuns;
  std::uint64_t mEndedCount = 0; ///< Number of processes recorded as ended so far.
  /** Heartbeat counts at which processes fell silent. Only a higher count brings one back, not an
   * old entry relayed by others. */
  std::map<incarnation_id, std::uint64_t> mSilentRuns;
  std::vector<endpoint> mSeeds; ///< Addresses to send heartbeats to until a member is known there.
};

} // namespace dunehook
