/**
 * @file stream_origin.h
 * Which software began a stream. What two versions of a service's software write doesn't fit
 * together, so a stream goes on only at runners of the version that brought its first event. The
 * daemon that a caller returns to may be another one than the one that began the stream.
 */
#pragma once

#include "runners/runner_type.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dunehook {

struct stream_tag;
/** Identifies a stream: a hash of its service and of the caller's attempt that brought its first
 * event. */
using stream_id = strong_id<stream_tag>;

struct service_key_tag;
/** Identifies a service by a hash of its name. */
using service_key = strong_id<service_key_tag>;

/** @return the key of a service. */
inline service_key
KeyOf(const std::string& aService)
{
  return { HashBytes(aService) };
}

/** Longest request id that names a stream. */
inline constexpr std::size_t kMaxAttemptBytes = 256;

/** @return the id of a stream; none if the request id of its attempt is empty or too long. */
stream_id
StreamIdOf(const std::string& aService, const std::string& aAttempt);

/** The software that began a stream. */
struct stream_origin
{
  stream_id mStream;     ///< The stream.
  software_id mSoftware; ///< Software of the runner that brought its first event.

  auto operator<=>(const stream_origin&) const = default;
};

/** A daemon asks another one which software began a stream. */
struct origin_request
{
  stream_id mStream;        ///< The stream; none if the caller doesn't name it.
  std::string mService;     ///< Its service.
  std::uint32_t mRound = 0; ///< Distinguishes the requests of a daemon.

  auto operator<=>(const origin_request&) const = default;
};

/** What a daemon knows of the software that began a stream; the later ones prevail. */
enum class origin_evidence
{
  eNothing,         ///< It has started too recently, or its list of runners is old.
  eOnlyVersion,     ///< The service's runners have had one version only for long enough.
  eSeveralVersions, ///< They have had several, any of which may have begun it.
  eRecord,          ///< It has a record of the stream.
};

/** What is known of the software that began a stream. */
struct stream_evidence
{
  origin_evidence mEvidence = origin_evidence::eNothing; ///< How it's known.
  software_id mSoftware; ///< The software; none with eNothing and eSeveralVersions.

  auto operator<=>(const stream_evidence&) const = default;
};

/** @return what two daemons know together. */
stream_evidence
Combine(const stream_evidence& aOne, const stream_evidence& aTwo);

/** The reply to an origin_request. */
struct origin_reply
{
  std::uint32_t mRound = 0;  ///< mRound of the request.
  stream_evidence mEvidence; ///< What the daemon knows.

  auto operator<=>(const origin_reply&) const = default;
};

/** By service, the only software that its runners have had for as long as streams go on; none: they
 * have had several. A service without a row isn't known. */
using software_marks = std::map<service_key, software_id>;

/** What daemons tell each other of streams. */
struct origin_message
{
  std::vector<stream_origin> mBegun;      ///< Streams that have begun.
  std::vector<stream_origin> mToStore;    ///< Those that the receiver writes to the store.
  std::optional<origin_request> mRequest; ///< A request.
  std::optional<origin_reply> mReply;     ///< A reply.

  bool operator==(const origin_message&) const = default;
};

/** Most streams in one datagram. */
inline constexpr std::size_t kMaxOriginsPerDatagram = 64;
/** Most streams that a daemon keeps; the oldest are dropped first. */
inline constexpr std::size_t kMaxOrigins = 16384;
/** A stream may be taken up for this long after it began: callers wait for a shorter time, all
 * their attempts together. */
inline constexpr duration kOriginLife = std::chrono::seconds(120);

/** The streams that began lately. */
class origin_table
{
public:
  /** Records a stream. A stream that is known keeps its record: no later attempt changes what
   * began it. */
  void Note(const stream_origin& aOrigin, instant aNow);
  /** @return the software that began a stream; none if it isn't known. */
  software_id Find(stream_id aStream, instant aNow) const;
  /** @return the streams that are known now. */
  std::vector<stream_origin> Known(instant aNow) const;
  std::size_t Count() const { return mOrder.size(); }

private:
  /** A stream's record. */
  struct origin_row
  {
    software_id mSoftware; ///< The software.
    instant mSince{ 0 };   ///< When it was recorded.
  };

  /** Drops records that have expired, and the oldest beyond kMaxOrigins. */
  void Prune(instant aNow);

  std::unordered_map<stream_id, origin_row> mRows; ///< By stream.
  std::deque<stream_id> mOrder;                    ///< The keys of mRows, the oldest first.
};

} // namespace dunehook
