/**
 * @file soak_type.h
 * What a soak records of callers' requests and of its own faults.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dunehook::soak {

/** Kinds of requests, by the routes of the bed. */
enum class call_kind
{
  eRecord,  ///< May run once at most.
  ePage,    ///< May be repeated.
  eTurn,    ///< A stream that may run once at most.
  eResumed, ///< A stream that may go on at another engine.
  eVersion, ///< A page on a route that a later configuration brought.
};

/** A request as its caller saw it. Times are in milliseconds, see NowMs(). */
struct call_record
{
  std::string mId;                      ///< Chosen for this try.
  call_kind mKind = call_kind::eRecord; ///< What was asked.
  std::size_t mDaemon = 0;              ///< Number of the daemon.
  int mLife = 0;                        ///< Which run of the daemon's process.
  std::int64_t mSentAt = 0;             ///< When the whole request was written; 0 if it wasn't.
  std::int64_t mEndedAt = 0;            ///< When the answer, or the connection, ended.
  unsigned mStatus = 0;                 ///< Of the answer; 0 if there was no head.
  bool mWhole = false;                  ///< The answer came to its end.
  bool mLeft = false;                   ///< The caller closed first.
  std::string mAnswerId;                ///< Request that the answer names; may be empty.
  std::string mBody;                    ///< What came of the body.
  std::uint64_t mFirstEvent = 0;        ///< Streams: first event that the caller lacks.
  std::uint64_t mEvents = 0;            ///< Streams: events of the whole answer.
  /** Body, or part of its prompt, that crashes runners; empty if it does no harm. */
  std::string mPoison;
  std::string mSameAs;        ///< First try of the same request; empty if it's this one.
  int mRepeats = 0;           ///< Tries of the same request before this one.
  std::uint64_t mVersion = 0; ///< eVersion: the configuration that brought the route.
};

/** Something that the soak did to a daemon. */
struct fault_record
{
  std::int64_t mFrom = 0;             ///< When it began.
  std::int64_t mUntil = 0;            ///< When it was over.
  std::optional<std::size_t> mDaemon; ///< The daemon; none: anything else.
  bool mPlanned = false;              ///< A stop, reload, change or drain that must cut nothing.
};

/** A runner that was told to leave while nothing else was wrong. */
struct drain_record
{
  std::string mRunner;        ///< Its id.
  std::int64_t mListedAt = 0; ///< When its entry said so, or its answers began to.
  bool mByAnswers = false;    ///< Only its answers say so.
};

/** A time in which a daemon reached no runner, and nothing else was done to it. */
struct cut_record
{
  std::size_t mDaemon = 0; ///< The daemon.
  std::int64_t mFrom = 0;  ///< When the cut began.
  std::int64_t mUntil = 0; ///< When it was over; 0 before.
};

/** A limit that a runner named, in requests a second; one record for each value. */
struct limit_record
{
  std::string mRunner;     ///< Its id.
  double mPerSecond = 0.0; ///< The limit.
  std::int64_t mFrom = 0;  ///< When it was set.
  std::int64_t mUntil = 0; ///< When it was changed or taken away; 0 while it's in force.
  bool mFirst = true;      ///< The runner named none before.
};

} // namespace dunehook::soak
