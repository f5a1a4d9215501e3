/**
 * @file member_base.h
 * The table of daemons, kept by heartbeats. Each heartbeat carries its sender and some others,
 * those it told least recently, within a budget of bytes: with few daemons everybody is told of
 * in each datagram; with many, news passes from daemon to daemon.
 * Disagreement between tables is expected: ownership that follows from them is a hint.
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

/** What a daemon says of itself. */
struct member_info
{
  incarnation_id mIncarnation;       ///< Its run.
  std::string mName;                 ///< Its host's name.
  std::string mHall;                 ///< Its data hall.
  endpoint mAddress;                 ///< Its peer address, TCP and UDP.
  std::uint64_t mHeartbeatCount = 0; ///< Counts its heartbeats; never goes down within a run.
  std::uint64_t mNextOffset = 1;     ///< Offset of the next record it will fold.
  bool mServing = false;             ///< It takes work: caught up and not stopping.
  std::uint32_t mWeight = 0; ///< Thousandths of a core that it may use; 0 if it doesn't tell.

  auto operator<=>(const member_info&) const = default;
};

/** @return whether @p aOne comes before @p aTwo where one daemon does something for others: those
 * with more weight first, by name where weights are alike. */
bool
RanksBefore(const member_info& aOne, const member_info& aTwo);

/** A daemon as this one sees it. */
struct member_entry
{
  member_info mInfo;         ///< Newest known.
  instant mLastHeardAt{ 0 }; ///< When its beat last went up.
  instant mLastSentAt{ 0 };  ///< When it was last put into a heartbeat.
  instant mUnreachableSince{
    0
  }; ///< When a connection to it failed after mLastHeardAt; zero if not.
};

/** Settings of the table. */
struct member_settings
{
  duration mHeartbeat = std::chrono::milliseconds(150); ///< Time between heartbeats.
  duration mFailAfter = std::chrono::milliseconds(900); ///< Silence after which one is gone.
  double mBytesPerSecond = 11264.0;                     ///< Budget of heartbeats sent.
  std::size_t mFanout = 3; ///< Receivers of one heartbeat in a large group.
};

/** Receivers and content of a heartbeat. */
struct heartbeat
{
  std::vector<endpoint> mTo; ///< Receivers.
  std::string mData;         ///< CBOR datagram.
};

/** What a received heartbeat or the passing of time changed. */
struct member_changes
{
  std::vector<member_info> mJoined;     ///< Runs seen for the first time.
  std::vector<member_info> mGone;       ///< Runs that ended or fell silent.
  std::optional<endpoint> mRequestFrom; ///< A daemon that wants to be told of all members.
};

/** The daemons this one knows. */
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

  /** Sets what this daemon says of itself. */
  void SetSelf(std::uint64_t aNext, bool aServing);
  /** Sets where this daemon is reached, once its socket is open. */
  void SetSelfAddress(const endpoint& aAddress) { mSelf.mAddress = aAddress; }
  /** Adds an address to greet; it's dropped once a member is known there. */
  void AddSeed(const endpoint& aAddress);

  /** @return the next heartbeat. */
  heartbeat BuildHeartbeat(instant aNow);
  /** @return a datagram that asks its receiver for all members that it knows. */
  std::string BuildMemberRequest() const;
  /** @return datagrams that tell of all members known, for a daemon that asked. */
  std::vector<std::string> BuildMemberList() const;
  /** @return whom a daemon that has just started asks: another one, of its hall if it knows any, or
   * a seed. */
  std::optional<endpoint> PickMemberToAsk();
  /** Takes a datagram; one that isn't signed with the common secret changes nothing. */
  member_changes Receive(std::string_view aDatagram, instant aNow);
  /** Drops members that fell silent. */
  member_changes DropSilent(instant aNow);
  /**
   * @return silence after which a member is gone. In a group to which heartbeats don't go directly,
   * news takes longer: the limit grows with the group, see docs/CAPACITY.md.
   */
  duration SilenceTimeout() const;
  /** Notes that a connection to a member failed: it's passed over until it's heard again. */
  void MarkUnreachable(incarnation_id aIncarnation, instant aNow);

  /** @return this daemon's own entry. */
  const member_info& Self() const { return mSelf; }
  /** @return the others, by run. */
  const std::map<incarnation_id, member_entry>& Others() const { return mOthers; }
  /** @return what is known of a run, or null. */
  const member_info* Find(incarnation_id aIncarnation) const;
  /** @return whether a run is known to have ended or fallen silent. */
  bool IsKnownGone(incarnation_id aIncarnation) const
  {
    return mEndedRuns.contains(aIncarnation) || mSilentRuns.contains(aIncarnation);
  }
  /** @return the daemon that owns a key: the serving member of the highest rank. */
  const member_info& OwnerOf(std::string_view aKey) const;
  /** @return how many members, this one included, take work; at least 1. */
  std::size_t CountServing() const;
  /** @return serving members that aren't suspected, this one included, as RanksBefore() puts them.
   * Daemons that know the same members agree on it. @param aHall only those of a hall, if given. */
  std::vector<const member_info*> RankedServing(std::optional<std::string_view> aHall = {}) const;
  /** @return how many serving members of its own hall come before this one. */
  std::size_t RankInHall() const;
  /** @return how many members, this one included, have folded the record at @p aOffset. */
  std::size_t CountHavingApplied(std::uint64_t aOffset) const;
  /** @return the highest offset any other member has reached; 1 if there is none. */
  std::uint64_t HighestNextOffset() const;

private:
  std::string Pack(const nlohmann::json& aMembers) const;
  bool Update(const member_info& aInfo, instant aNow, member_changes& aChanges);
  void RememberEnded(incarnation_id aIncarnation);
  std::vector<member_entry*> LeastRecentlySent(std::size_t aCount);

  static constexpr std::size_t kMaxEndedRuns = 4096; ///< Ended runs remembered.

  member_info mSelf;                                  ///< This daemon.
  member_settings mSettings;                          ///< Times and budget.
  std::string mSecret;                                ///< Signs datagrams.
  std::mt19937_64 mRandom;                            ///< Chooses receivers.
  std::map<incarnation_id, member_entry> mOthers;     ///< Never holds this daemon.
  std::map<incarnation_id, std::uint64_t> mEndedRuns; ///< Ended runs, with the order of their end.
  std::uint64_t mEndedCount = 0;                      ///< Ends seen.
  /** Beats at which runs fell silent: only a later beat brings one back, not a relayed old one. */
  std::map<incarnation_id, std::uint64_t> mSilentRuns;
  std::vector<endpoint> mSeeds; ///< Addresses to greet.
};

} // namespace dunehook
