/**
 * @file follower_test.cpp
 * The log follower with a log and a daemon that are slow or have nothing new: it must back off, and
 * must not start a call before the last one has ended.
 */
#include "control/log_follower.h"
#include "net/http_server.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace dunehook;
using namespace std::chrono_literals;

namespace {

using json = nlohmann::json;

const char* const kSecret = "secret";
const endpoint kAnyPort{ "127.0.0.1", 0 };
constexpr std::uint64_t kPeerNext = 1000; ///< Next offset of the fake daemon.

instant
Now()
{
  return boot_clock_source().Now();
}

/** Fake daemon that is ahead: it no longer has the records asked for, and sends its snapshot
 * slowly. */
class fake_daemon
{
public:
  explicit fake_daemon(asio::io_context& aIo)
    : mIo(aIo)
    , mAcceptor(OpenAcceptor(aIo, kAnyPort).value())
  {
    Spawn(mIo, AcceptLoop());
  }

  endpoint Address() const { return AddressOf(mAcceptor); }

  duration mSnapshotTime{ 0 }; ///< Time to send the answer with the snapshot.
  bool mAnswersRecords = true; ///< If false, calls for records get no answer.
  int mRecordCalls = 0;        ///< Calls for records.
  int mRecordLimit = 0;        ///< Record limit of the last such call.
  int mSnapshotCalls = 0;      ///< Calls for a snapshot.
  int mSnapshotsSent = 0;      ///< Snapshots sent completely.

private:
  asio::awaitable<void> AcceptLoop()
  {
    for (;;) {
      tcp::socket socket = co_await mAcceptor.async_accept(asio::use_awaitable);
      Spawn(mIo, Serve(std::make_shared<tcp::socket>(std::move(socket))));
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> aSocket)
  {
    std::string buffer;
    bool secretRead = false;
    for (;;) {
      boost::system::error_code error;
      const std::size_t length =
        co_await asio::async_read_until(*aSocket,
                                        asio::dynamic_buffer(buffer),
                                        '\n',
                                        asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      const std::string line = buffer.substr(0, length - 1);
      buffer.erase(0, length);
      if (!std::exchange(secretRead, true)) {
        continue;
      }
      const json request = json::parse(line);
      if (!co_await Answer(*aSocket, request)) {
        co_return;
      }
    }
  }

  asio::awaitable<bool> Answer(tcp::socket& aSocket, const json& aRequest)
  {
    json response{ { "jsonrpc", "2.0" }, { "id", aRequest["id"] } };
    const auto method = aRequest.value("method", std::string());
    int pieces = 1;
    if (method == "records") {
      ++mRecordCalls;
      mRecordLimit = aRequest["params"]["message"].value("most", 0);
      response["result"] = { { "too_old", true } };
      if (!mAnswersRecords) {
        co_return true;
      }
    } else if (method == "snapshot") {
      ++mSnapshotCalls;
      response["result"] = { { "at", kPeerNext - 1 }, { "entries", json::array() } };
      pieces = 50;
    } else {
      response["result"] = { { "active", true } };
    }
    std::string text = response.dump();
    text.append(pieces, ' '); // One byte for each piece.
    text += '\n';
    for (int piece = 0; piece < pieces; ++piece) {
      co_await Sleep(pieces == 1 ? duration{ 0 } : mSnapshotTime / pieces);
      const std::size_t size = text.size() / static_cast<std::size_t>(pieces - piece);
      boost::system::error_code error;
      co_await asio::async_write(
        aSocket, asio::buffer(text.data(), size), asio::redirect_error(asio::use_awaitable, error));
      text.erase(0, size);
      if (error) {
        co_return false; // The client closed the connection.
      }
    }
    mSnapshotsSent += method == "snapshot" ? 1 : 0;
    co_return true;
  }

  asio::io_context& mIo;   ///< Runs the sessions.
  tcp::acceptor mAcceptor; ///< The listening socket.
};

/** Fake log that has no new records and answers at once. */
class fake_log
{
public:
  explicit fake_log(asio::io_context& aIo)
    : mListener(http_listener::Open(aIo, kAnyPort, http_limits{}, [this](exchange_ptr aExchange) {
                  return Serve(std::move(aExchange));
                }).value())
  {
  }

  endpoint Address() const { return mListener->Address(); }

  int mReads = 0;      ///< Calls for records.
  bool mFails = false; ///< If true, calls get an error.

private:
  asio::awaitable<void> Serve(exchange_ptr aExchange)
  {
    ++mReads;
    const json body{ { "first", 1 }, { "next", 1 }, { "records", json::array() } };
    co_await aExchange->Respond(mFails ? 503 : 200, body.dump());
  }

  std::unique_ptr<http_listener> mListener; ///< Accepts the calls.
};

/** A follower, and a member that is ahead of it. */
struct follower_testbed
{
  explicit follower_testbed(const endpoint& aLog)
    : mLog(aLog)
  {
  }

  /** Runs everything for a time. */
  void Run(duration aSpan) { mIo.run_for(aSpan); }

  /** Starts the follower with a member at @p aPeer that is ahead of it. */
  void StartWithPeer(const endpoint& aPeer)
  {
    member_info ahead;
    ahead.mIncarnation = { 2 };
    ahead.mAddress = aPeer;
    ahead.mNextOffset = kPeerNext;
    ahead.mServing = true;
    mPeerTable = std::make_unique<member_table>(ahead, member_settings{}, kSecret);
    mPeerTable->AddSeed({ "127.0.0.1", 1 });
    mMembers.Receive(mPeerTable->BuildHeartbeat(Now()).mData, Now());
    mFollower.Start();
  }

  /** @return whether a short call to the member is answered in time. */
  bool ShortCallIsAnswered()
  {
    std::optional<bool> answered;
    Spawn(mIo, ShortCall(answered));
    while (!answered) {
      mIo.run_for(10ms);
    }
    return *answered;
  }

  asio::awaitable<void> ShortCall(std::optional<bool>& aAnswered)
  {
    const member_info ahead = mPeerTable->Self();
    const result<json> answer =
      co_await mPeers.Call(ahead, "attempt_active", json::object(), 300ms);
    aAnswered = answer.has_value();
  }

  static member_info Self()
  {
    member_info self;
    self.mIncarnation = { 1 };
    self.mAddress = { "127.0.0.1", 1 };
    return self;
  }

  asio::io_context mIo{ 1 };
  endpoint mLog;
  member_table mMembers{ Self(), member_settings{}, kSecret };
  std::unique_ptr<member_table> mPeerTable; ///< The fake daemon's own table.
  peer_directory mPeers{ mIo, mMembers, kSecret };
  log_follower mFollower{ mIo, mLog, follower_settings{}, mMembers, mPeers };
};

const endpoint kUnreachableLog{ "127.0.0.1", 1 }; ///< Nothing listens there.

} // namespace

TEST_GROUP(follower){};

TEST(follower, ASnapshotThatTakesLongerThanItsLimitIsTakenInTheEnd)
{
  follower_testbed bed(kUnreachableLog);
  fake_daemon peer(bed.mIo);
  peer.mSnapshotTime = 7s;
  bed.StartWithPeer(peer.Address());
  const instant began = Now();
  while (bed.mFollower.State().NextOffset() < kPeerNext && Now() - began < 20s) {
    bed.Run(50ms);
  }
  UT_PRINT(StringFromFormat("next %d after %d ms: %d snapshots asked for, %d sent whole",
                            static_cast<int>(bed.mFollower.State().NextOffset()),
                            static_cast<int>((Now() - began).count() / 1000),
                            peer.mSnapshotCalls,
                            peer.mSnapshotsSent));
  LONGS_EQUAL(kPeerNext, bed.mFollower.State().NextOffset());
  LONGS_EQUAL(2, peer.mSnapshotCalls);
  LONGS_EQUAL(1, peer.mSnapshotsSent);
}

TEST(follower, ASnapshotUnderWayDoesntHoldUpOtherCalls)
{
  follower_testbed bed(kUnreachableLog);
  fake_daemon peer(bed.mIo);
  peer.mSnapshotTime = 3s;
  bed.StartWithPeer(peer.Address());
  bed.Run(1s);
  LONGS_EQUAL(1, peer.mSnapshotCalls);
  LONGS_EQUAL(0, peer.mSnapshotsSent);
  CHECK_TRUE(bed.ShortCallIsAnswered());
}

TEST(follower, AMemberThatDoesntAnswerIsAskedForRecordsLessOften)
{
  follower_testbed bed(kUnreachableLog);
  fake_daemon peer(bed.mIo);
  peer.mAnswersRecords = false;
  bed.StartWithPeer(peer.Address());
  bed.Run(7s);
  UT_PRINT(StringFromFormat("asked for records %d times in 7 s, for %d the last time",
                            peer.mRecordCalls,
                            peer.mRecordLimit));
  CHECK_TRUE(peer.mRecordCalls >= 3);
  CHECK_TRUE(peer.mRecordCalls <= 6);
  CHECK_TRUE(peer.mRecordLimit <= 64);
}

TEST(follower, ALogThatAnswersNothingAtOnceIsReadLessOften)
{
  follower_testbed bed(kUnreachableLog);
  fake_log log(bed.mIo);
  member_table& members = bed.mMembers;
  log_follower follower(bed.mIo, log.Address(), follower_settings{}, members, bed.mPeers);
  follower.Start();
  bed.Run(3s);
  UT_PRINT(StringFromFormat("read %d times in 3 s", log.mReads));
  CHECK_TRUE(log.mReads >= 3);
  CHECK_TRUE(log.mReads <= 7);
}

TEST(follower, ALogThatFailsIsReadLessOften)
{
  follower_testbed bed(kUnreachableLog);
  fake_log log(bed.mIo);
  log.mFails = true;
  member_table& members = bed.mMembers;
  log_follower follower(bed.mIo, log.Address(), follower_settings{}, members, bed.mPeers);
  follower.Start();
  bed.Run(3s);
  UT_PRINT(StringFromFormat("read %d times in 3 s", log.mReads));
  CHECK_TRUE(log.mReads >= 3);
  CHECK_TRUE(log.mReads <= 8);
}
