/**
 * @file clients.h
 * Stand-ins of clients: kept connections, one request after the other, retries as the pages say.
 */
#pragma once

#include "daemons.h"

#include <thread>

namespace stage {

/** A kind of request. */
struct request_kind
{
  std::string mName;            ///< For the record.
  std::string mMethod;          ///< Its method.
  std::string mPath;            ///< Its path prefix.
  bool mStream = false;         ///< A stream of events.
  bool mSafe = false;           ///< It may be repeated.
  int mDeadlineMs = 3000;       ///< The client's time limit.
  int mTimeoutMs = 1500;        ///< The route's.
  int mBodyBytes = 0;           ///< Of the body.
  bool mChunked = false;        ///< The body comes in chunks.
  int mBytesPerSecond = 0;      ///< Pace of the body; 0: at once.
  bool mNewConnections = false; ///< Each request opens one.
};

/** What became of a request. */
struct outcome
{
  std::string mId;                     ///< Its id.
  const request_kind* mKind = nullptr; ///< Its kind.
  int mDaemon = -1;                    ///< Where it was sent.
  bool mKept = false;                  ///< On a connection that had carried one before.
  std::int64_t mSentAt = 0;            ///< When its last byte was sent.
  std::int64_t mEndAt = 0;             ///< When it ended.
  int mStatus = 0;                     ///< Of the answer; 0 if none came.
  bool mBegun = false;                 ///< A byte of the answer came.
  bool mWhole = false;                 ///< The answer is whole.
  bool mClosed = false;                ///< The connection ended before the answer did.
  bool mSent = false;                  ///< The request was sent whole.
};

/** The clients. */
class clients
{
public:
  clients(daemons& aDaemons, recorder& aRecord)
    : mDaemons(aDaemons)
    , mRecord(aRecord)
  {
  }
  ~clients() { Stop(); }
  clients(const clients&) = delete;
  clients& operator=(const clients&) = delete;

  /** Starts clients that send so many requests a second together. */
  void Start(const request_kind& aKind, int aClients, double aPerSecond);
  /** Ends all once their requests have ended. */
  void Stop();
  /** @return the outcomes so far. */
  std::vector<outcome> Outcomes() const;

private:
  void Run(const request_kind& aKind, std::size_t aClient, ms aPeriod);
  outcome Send(const request_kind& aKind,
               connection& aLink,
               int aDaemon,
               bool aKept,
               instant aUntil,
               double& aComeBack);
  bool SendBody(const request_kind& aKind, connection& aLink, instant aUntil);

  daemons& mDaemons;                      ///< Where they send.
  recorder& mRecord;                      ///< What they send and get.
  std::atomic<bool> mOver = false;        ///< No further requests.
  std::atomic<std::uint64_t> mNumber = 0; ///< Of the last request.
  std::atomic<std::size_t> mClients = 0;  ///< Clients so far.
  std::vector<std::thread> mThreads;      ///< One for each client.
  mutable std::mutex mMutex;              ///< Guards the outcomes.
  std::vector<outcome> mOutcomes;         ///< In the order of their ends.
};

} // namespace stage
