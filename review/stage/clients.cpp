/**
 * @file clients.cpp
 * What clients send and read.
 */
#include "clients.h"

#include <algorithm>

namespace stage {

namespace {

constexpr ms kConnectTime{ 1000 };
/** A stream is given up after a gap of four times the objective of 900 ms. */
constexpr ms kStreamGap{ 3600 };
constexpr std::size_t kPiece = 32768;

} // namespace

void
clients::Start(const request_kind& aKind, int aClients, double aPerSecond)
{
  const ms period(static_cast<int>(1000.0 * aClients / aPerSecond));
  const auto* const kind = new request_kind(aKind); // Outcomes refer to it until the end.
  for (int i = 0; i < aClients; ++i) {
    const std::size_t client = mClients++;
    mThreads.emplace_back([this, kind, client, period, i, aClients] {
      std::this_thread::sleep_for(period * i / aClients);
      Run(*kind, client, period);
    });
  }
}

void
clients::Stop()
{
  mOver = true;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

std::vector<outcome>
clients::Outcomes() const
{
  const std::lock_guard lock(mMutex);
  return mOutcomes;
}

void
clients::Run(const request_kind& aKind, std::size_t aClient, ms aPeriod)
{
  connection link;
  int daemon = -1;
  bool kept = false;
  std::size_t attempt = 0;
  while (!mOver) {
    const instant next = steady::now() + aPeriod;
    const instant until = steady::now() + ms(aKind.mDeadlineMs);
    for (int tries = 0; tries < 2; ++tries) {
      const bool idle = link.Open() && !link.ClosedWithin(ms(0));
      if (!idle || tries > 0 || aKind.mNewConnections) {
        daemon = mDaemons.Pick(aClient + 1009 * attempt++);
        kept = false;
        if (!link.Connect(mDaemons.Callers(daemon), kConnectTime)) {
          continue;
        }
      }
      double comeBack = -1.0;
      const outcome end = Send(aKind, link, daemon, kept, until, comeBack);
      {
        const std::lock_guard lock(mMutex);
        mOutcomes.push_back(end);
      }
      kept = link.Open();
      if (end.mWhole && end.mStatus < 300) {
        break;
      }
      const bool promise = end.mStatus == 503 || end.mStatus == 429;
      const bool again = aKind.mSafe ? end.mStatus != 404 : promise;
      const auto left = std::chrono::duration_cast<ms>(until - steady::now());
      if (!again || left < ms(200)) {
        break;
      }
      const ms wait(static_cast<int>(std::max(0.05, comeBack) * 1000.0));
      std::this_thread::sleep_for(std::min(wait, left / 3));
    }
    std::this_thread::sleep_until(next);
  }
}

bool
clients::SendBody(const request_kind& aKind, connection& aLink, instant aUntil)
{
  const std::string all(static_cast<std::size_t>(aKind.mBodyBytes), 'b');
  const instant began = steady::now();
  for (std::size_t at = 0; at < all.size(); at += kPiece) {
    const std::string piece = all.substr(at, kPiece);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    if (!aLink.Write(aKind.mChunked ? size + piece + "\r\n" : piece, aUntil)) {
      return false;
    }
    if (aKind.mBytesPerSecond > 0) {
      const double due = static_cast<double>(at + piece.size()) / aKind.mBytesPerSecond;
      std::this_thread::sleep_until(began + ms(static_cast<int>(due * 1000.0)));
    }
  }
  return !aKind.mChunked || aLink.Write("0\r\n\r\n", aUntil);
}

outcome
clients::Send(const request_kind& aKind,
              connection& aLink,
              int aDaemon,
              bool aKept,
              instant aUntil,
              double& aComeBack)
{
  outcome end;
  end.mId = "r" + std::to_string(++mNumber);
  end.mKind = &aKind;
  end.mDaemon = aDaemon;
  end.mKept = aKept;
  const auto left = std::chrono::duration_cast<ms>(aUntil - steady::now()).count();
  std::string head = aKind.mMethod + " " + aKind.mPath + end.mId + " HTTP/1.1\r\n" +
                     "Host: calls.example\r\nX-Request-Id: " + end.mId +
                     "\r\nX-Deadline-Ms: " + std::to_string(left) + "\r\n";
  if (aKind.mStream) {
    const std::size_t tokens = 3000 + std::hash<std::string>{}(end.mId) % 3000;
    head += "X-Model: m\r\nX-Token-Counts: " + std::to_string(tokens + 200) +
            ",640\r\nLength-Hint: 640\r\nX-Prefix-Hash: aa:200," +
            std::to_string(std::hash<std::string>{}(end.mId) % 1000000) + ":" +
            std::to_string(tokens) + "\r\n";
  }
  if (aKind.mChunked) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (aKind.mBodyBytes > 0) {
    head += "Content-Length: " + std::to_string(aKind.mBodyBytes) + "\r\n";
  }
  mRecord.Line("sent " + end.mId + " " + aKind.mName + " to daemon " + std::to_string(aDaemon) +
               (aKept ? " on a kept connection" : " on a new connection"));
  end.mSent = aLink.Write(head + "\r\n", aUntil) && SendBody(aKind, aLink, aUntil);
  end.mSentAt = NowMs();
  message answer;
  const instant firstBy = aKind.mStream ? std::min(aUntil, steady::now() + kStreamGap) : aUntil;
  bool whole = aLink.ReadHead(answer, firstBy);
  end.mBegun = aLink.Begun();
  end.mStatus = whole ? answer.Status() : 0;
  whole = whole && aLink.ReadBody(answer, aUntil, true);
  end.mWhole = whole;
  end.mClosed = !whole && !aLink.TimedOut();
  end.mEndAt = NowMs();
  if (!whole || answer.Field("Connection") == "close" ||
      (!answer.Has("Content-Length") && !answer.Has("Transfer-Encoding"))) {
    aLink.Close();
  }
  if (answer.Has("Retry-After")) {
    aComeBack = std::atof(answer.Field("Retry-After").c_str());
  }
  mRecord.Line("end " + end.mId + " status " + std::to_string(end.mStatus) +
               (end.mWhole    ? " whole"
                : end.mClosed ? " connection ended"
                              : " given up at the time limit"));
  return end;
}

} // namespace stage
