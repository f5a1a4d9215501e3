/**
 * @file proxy.cpp
 * Fault-injecting TCP proxy. POST /control on its control address sets:
 * refuse (1: connections end at once), request_bytes (connections end after so many bytes towards
 * the target, those not forwarded), answer_bytes (the same towards the client; 0 for none),
 * delay_ms (bytes towards the client come late), answer_kb_s (a link: so many KB a second towards
 * the clients, over all connections; 0 for any), stall (1: nothing moves, nothing closes),
 * stall_requests, stall_answers (1: the same, one way), reset (1: open connections are reset now),
 * silence (1: connections that are open now carry nothing any more and never close; new ones work),
 * cut ("refuse": open connections are reset and new ones refused; "closed": new ones are refused;
 * "hang": open connections carry nothing any more, and are reset once the cut is over, and new ones
 * get no answer; "": none of these),
 * faults (how many connections the byte limits are applied to; then they pass), limit_by ("reset"
 * or "silence": how connections end at a byte limit; else they are closed).
 */
#include "standins/common/standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/write.hpp>

#include <array>
#include <list>
#include <optional>

ABSL_FLAG(std::string, target, "", "where connections go");

namespace dunehook {
namespace {

using json = nlohmann::json;

/** One connection through the proxy. */
struct proxied
{
  proxied(tcp::socket aClient, asio::io_context& aIo)
    : mClient(std::move(aClient))
    , mTarget(aIo)
  {
  }
  void Close()
  {
    boost::system::error_code ignored;
    mClient.close(ignored);
    mTarget.close(ignored);
  }
  void Reset()
  {
    boost::system::error_code ignored; // A connection that has ended can't be reset.
    mClient.set_option(asio::socket_base::linger(true, 0), ignored);
    mTarget.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }
  tcp::socket mClient;             ///< Who connected.
  tcp::socket mTarget;             ///< Where it goes.
  std::int64_t mRequestLimit = -1; ///< Bytes forwarded to the target; -1 for all.
  std::int64_t mAnswerLimit = -1;  ///< Bytes forwarded to the client; -1 for all.
  bool mSilent = false;            ///< Nothing is forwarded any more, and no end either.
};

class proxy
{
public:
  proxy(asio::io_context& aIo, const endpoint& aTarget, tcp::acceptor aAcceptor)
    : mIo(aIo)
    , mTarget(aTarget)
    , mAcceptor(std::move(aAcceptor))
    , mAddress(AddressOf(mAcceptor))
  {
    Spawn(mIo, AcceptLoop());
  }

  asio::awaitable<void> Control(exchange_ptr aExchange)
  {
    mFaults.merge_patch(BodyOf(*aExchange));
    if (Fault("reset", 0) != 0) {
      ResetAll();
      mFaults.erase("reset");
    }
    SetCut(mFaults.value("cut", ""));
    if (Fault("silence", 0) != 0) {
      SilenceAll();
      mFaults.erase("silence");
    }
    json body = mFaults;
    body["proxy"] = ToText(mAddress);
    body["connections"] = mConnections;
    body["answer_bytes_out"] = mAnswerBytesOut;
    co_await aExchange->Respond(200, body.dump());
  }

private:
  std::int64_t Fault(const char* aName, std::int64_t aDefault) const
  {
    return mFaults.value(aName, aDefault);
  }

  /** Cuts the way to the target, or mends it. */
  void SetCut(const std::string& aHow)
  {
    if (aHow == mCut) {
      return;
    }
    boost::system::error_code ignored; // What is closed twice stays closed.
    const bool refuses = aHow == "closed" || aHow == "refuse";
    if (mCut.empty()) {
      mAcceptor.cancel(ignored);
    } else if (!refuses) {
      Reopen();
    }
    mCut = aHow;
    if (refuses && mAcceptor.is_open()) {
      mFillers.clear();
      mAcceptor.close(ignored);
      HoldPort();
    }
    if (aHow == "refuse") {
      ResetAll();
    } else if (aHow == "hang") {
      SilenceAll();
      FillQueue();
    } else if (aHow.empty()) {
      Spawn(mIo, AcceptLoop());
    }
  }

  void Reopen()
  {
    boost::system::error_code ignored; // What is closed twice stays closed.
    mFillers.clear();
    mHeldPort.reset();
    mAcceptor.close(ignored);
    for (const std::shared_ptr<proxied>& silenced : std::exchange(mSilenced, {})) {
      silenced->Reset();
    }
    mAcceptor = std::move(OpenAcceptor(mIo, mAddress).value());
  }

  /** Holds the port without listening: connections are refused. */
  void HoldPort()
  {
    boost::system::error_code ignored; // If it can't be held, connections are refused as well.
    mHeldPort.emplace(mIo, tcp::v4());
    mHeldPort->set_option(asio::socket_base::reuse_address(true), ignored);
    mHeldPort->bind({ asio::ip::make_address(mAddress.mAddress), mAddress.mPort }, ignored);
  }

  /** Fills the queue of connections that wait to be accepted: the kernel ignores further ones. */
  void FillQueue()
  {
    boost::system::error_code ignored; // A connection that waits for room is what is wanted.
    mAcceptor.listen(0, ignored);
    const tcp::endpoint to(asio::ip::make_address(mAddress.mAddress), mAddress.mPort);
    for (int i = 0; i < kFillers; ++i) {
      tcp::socket& filler = mFillers.emplace_back(mIo, tcp::v4());
      filler.async_connect(to, [](const boost::system::error_code& /*aError*/) {});
    }
  }

  /** Resets every open connection, on both sides. */
  void ResetAll()
  {
    for (const std::weak_ptr<proxied>& open : mOpen) {
      if (const auto pair = open.lock()) {
        pair->Reset();
      }
    }
    mOpen.clear();
  }

  /** Makes every open connection carry nothing from now on. Both ends stay open for the proxy's
   * life: neither side is told of the other's end. */
  void SilenceAll()
  {
    for (const std::weak_ptr<proxied>& open : mOpen) {
      if (auto pair = open.lock()) {
        pair->mSilent = true;
        mSilenced.push_back(std::move(pair));
      }
    }
    mOpen.clear();
  }

  asio::awaitable<void> AcceptLoop()
  {
    for (;;) {
      boost::system::error_code error;
      tcp::socket client =
        co_await mAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
      if (!mCut.empty()) {
        co_return; // Begun again once the way is mended.
      }
      if (error) {
        continue;
      }
      ++mConnections;
      if (Fault("refuse", 0) == 0) {
        auto pair = std::make_shared<proxied>(std::move(client), mIo);
        std::erase_if(mOpen, [](const auto& aOpen) { return aOpen.expired(); });
        mOpen.push_back(pair);
        Spawn(mIo, Connect(std::move(pair)));
      }
    }
  }

  asio::awaitable<void> Connect(std::shared_ptr<proxied> aPair)
  {
    const std::int64_t faults = Fault("faults", 0);
    if (faults > 0) {
      mFaults["faults"] = faults - 1;
      aPair->mRequestLimit = Fault("request_bytes", -1);
      aPair->mAnswerLimit = Fault("answer_bytes", -1);
    }
    boost::system::error_code error;
    const tcp::endpoint target(asio::ip::make_address(mTarget.mAddress), mTarget.mPort);
    co_await aPair->mTarget.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      aPair->Close();
      co_return;
    }
    Spawn(mIo, Pump(aPair, aPair->mClient, aPair->mTarget, aPair->mRequestLimit, false));
    Spawn(mIo, Pump(aPair, aPair->mTarget, aPair->mClient, aPair->mAnswerLimit, true));
  }

  asio::awaitable<void> Pump(std::shared_ptr<proxied> aPair,
                             tcp::socket& aFrom,
                             tcp::socket& aTo,
                             std::int64_t aLimit,
                             bool aIsAnswer)
  {
    std::array<char, 16384> bytes;
    std::int64_t left = aLimit;
    for (;;) {
      boost::system::error_code error;
      const std::size_t got = co_await aFrom.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      const char* const oneWay = aIsAnswer ? "stall_answers" : "stall_requests";
      while (Fault("stall", 0) != 0 || Fault(oneWay, 0) != 0) {
        co_await Sleep(std::chrono::milliseconds(20));
      }
      if (aIsAnswer && Fault("delay_ms", 0) > 0) {
        co_await Sleep(std::chrono::milliseconds(Fault("delay_ms", 0)));
      }
      if (aIsAnswer && Fault("answer_kb_s", 0) > 0) {
        co_await AwaitLink(got, Fault("answer_kb_s", 0));
      }
      if (aPair->mSilent) {
        co_return; // What came is lost; the sockets stay open.
      }
      if (error == asio::error::eof) {
        aPair->Close();
        co_return;
      }
      if (error) {
        aPair->Reset(); // As one side's reset would reach the other.
        co_return;
      }
      mAnswerBytesOut += aIsAnswer ? got : 0;
      std::size_t send = got;
      if (left >= 0) {
        send = std::min<std::size_t>(got, static_cast<std::size_t>(left));
        left -= static_cast<std::int64_t>(send);
      }
      co_await asio::async_write(
        aTo, asio::buffer(bytes.data(), send), asio::redirect_error(asio::use_awaitable, error));
      if (!error && left == 0 && !aPair->mSilent) {
        EndAtLimit(aPair);
        co_return;
      }
      if (error && !aPair->mSilent) {
        aPair->Close();
        co_return;
      }
    }
  }

  /** Ends a connection that has reached its byte limit. */
  void EndAtLimit(const std::shared_ptr<proxied>& aPair)
  {
    const std::string how = mFaults.value("limit_by", "");
    if (how == "reset") {
      aPair->Reset();
    } else if (how == "silence") {
      aPair->mSilent = true;
      mSilenced.push_back(aPair);
    } else {
      aPair->Close();
    }
  }

  /** Waits until the link has carried these bytes after all that came before them. */
  asio::awaitable<void> AwaitLink(std::size_t aBytes, std::int64_t aKilobytesPerSecond)
  {
    const double seconds =
      static_cast<double>(aBytes) / (static_cast<double>(aKilobytesPerSecond) * kKilobyte);
    const instant now = boot_clock_source{}.Now();
    mLinkFreeAt = std::max(mLinkFreeAt, now) + FromSeconds(seconds);
    co_await Sleep(mLinkFreeAt - now);
  }

  static constexpr int kFillers = 3;          ///< More than a queue without a backlog takes.
  static constexpr double kKilobyte = 1000.0; ///< Bytes, as links are counted.

  asio::io_context& mIo;                           ///< Runs everything.
  endpoint mTarget;                                ///< Where connections go.
  tcp::acceptor mAcceptor;                         ///< Takes connections.
  endpoint mAddress;                               ///< Where, also while mAcceptor is closed.
  json mFaults = json::object();                   ///< As set by /control.
  std::vector<std::weak_ptr<proxied>> mOpen;       ///< Connections; some may have ended.
  std::vector<std::shared_ptr<proxied>> mSilenced; ///< Connections that carry nothing any more.
  std::string mCut;                                ///< How the way is cut; empty if it isn't.
  std::optional<tcp::socket> mHeldPort;            ///< Holds the port while it refuses.
  std::list<tcp::socket> mFillers;                 ///< Fill the queue while the way hangs.
  std::uint64_t mConnections = 0;                  ///< Connections taken.
  std::uint64_t mAnswerBytesOut = 0;               ///< Bytes passed on towards the clients.
  instant mLinkFreeAt{ 0 }; ///< When the link has carried what was handed to it.
};

} // namespace
} // namespace dunehook

int
main(int aCount, char** aValues)
{
  absl::ParseCommandLine(aCount, aValues);
  dunehook::asio::io_context io(1);
  const auto target = dunehook::ParseEndpoint(absl::GetFlag(FLAGS_target));
  auto acceptor = dunehook::OpenAcceptor(io, { "127.0.0.1", 0 });
  if (!target || !acceptor) {
    std::cerr << "--target must be an address and port\n";
    return 2;
  }
  dunehook::proxy proxy(io, target.value(), std::move(acceptor.value()));
  const auto listener = dunehook::OpenAndAnnounce(
    io, absl::GetFlag(FLAGS_listen), [&](dunehook::exchange_ptr aExchange) {
      return proxy.Control(std::move(aExchange));
    });
  io.run();
}
