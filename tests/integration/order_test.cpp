/**
 * @file order_test.cpp
 * Orders of an owner to a frontend whose heartbeat arrives after its events. The frontend is a
 * fake: a listener for calls between daemons, and a member table that builds its heartbeat.
 */
#include "control/message_func.h"
#include "membership/member_base.h"
#include "tests/support/testbed.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <thread>

using namespace dunehook;
using namespace dunehook::test;
using namespace std::chrono_literals;

namespace {

using asio::ip::tcp;
using asio::ip::udp;
using nlohmann::json;

/** Frontend that sends its arrival event and its heartbeat only when a test says so. */
class fake_frontend
{
public:
  explicit fake_frontend(const std::string& aOwner)
    : mOwner(ParseEndpoint(aOwner).value())
    , mListener(mIo, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
  {
    mListener.non_blocking(true);
  }

  /** Sends the owner the event that a request has arrived. */
  void SendArrival()
  {
    request_arrived arrived;
    arrived.mAttempt = { mIncarnation, 1 };
    arrived.mClass = "practice";
    arrived.mPromptTokens = 100;
    arrived.mMaxTokens = 20;
    const json message{ { "prefill", "tutor-prefill" },
                        { "decode", "tutor-decode" },
                        { "link", "great-lakes" },
                        { "event", EventToJson(arrived) } };
    const json call{ { "jsonrpc", "2.0" },
                     { "id", 1 },
                     { "method", "event" },
                     { "params", { { "message", message } } } };
    tcp::socket socket(mIo);
    socket.connect({ asio::ip::make_address(mOwner.mAddress), mOwner.mPort });
    asio::write(socket, asio::buffer(std::string(kPeerSecret) + "\n" + call.dump() + "\n"));
    std::string answer;
    asio::read_until(socket, asio::dynamic_buffer(answer), '\n');
    CHECK(answer.find("\"taken\":true") != std::string::npos ||
          answer.find("taken\\\":true") != std::string::npos);
  }

  void SendHeartbeat()
  {
    member_info self;
    self.mIncarnation = mIncarnation;
    self.mName = "entry-9";
    self.mAddress = { "127.0.0.1", mListener.local_endpoint().port() };
    member_table members(self, {}, kPeerSecret);
    members.AddSeed(mOwner);
    const heartbeat beat = members.BuildHeartbeat(1s);
    udp::socket socket(mIo, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    socket.send_to(asio::buffer(beat.mData),
                   { asio::ip::make_address(mOwner.mAddress), mOwner.mPort });
  }

  /** @return the first call that the owner makes in time, or an empty text. */
  std::string WaitForCall(duration aLimit)
  {
    const auto until = std::chrono::steady_clock::now() + aLimit;
    while (std::chrono::steady_clock::now() < until) {
      boost::system::error_code error;
      tcp::socket socket(mIo);
      mListener.accept(socket, error);
      if (!error) {
        std::string lines;
        asio::read_until(socket, asio::dynamic_buffer(lines), '\n');
        const std::size_t secret = lines.find('\n') + 1;
        if (lines.find('\n', secret) == std::string::npos) {
          asio::read_until(socket, asio::dynamic_buffer(lines), "}\n");
        }
        return lines.substr(secret);
      }
      std::this_thread::sleep_for(10ms);
    }
    return {};
  }

private:
  endpoint mOwner;                          ///< The cell's owner.
  incarnation_id mIncarnation{ 0x1234567 }; ///< The frontend's run.
  asio::io_context mIo;                     ///< For the sockets; they block.
  tcp::acceptor mListener;                  ///< Accepts the owner's calls.
};

} // namespace

TEST_GROUP(orders){};

// A frontend learns of a newly started daemon from that daemon's heartbeat, some ms before the
// daemon learns of the frontend. If the daemon drops its order in that time, the call gets no
// answer until the caller gives up.
TEST(orders, AFrontendThatIsHeardAfterItsEventGetsTheOrder)
{
  testbed bed;
  bed.StartTutoring(1, 1, 1);
  fake_frontend frontend(bed.Daemon("entry-1").mPeers);
  frontend.SendArrival();
  std::this_thread::sleep_for(300ms);
  frontend.SendHeartbeat();
  CHECK(frontend.WaitForCall(3s).find("\"order\"") != std::string::npos);
}

TEST(orders, AFrontendThatIsKnownGetsTheOrderAtOnce)
{
  testbed bed;
  bed.StartTutoring(1, 1, 1);
  fake_frontend frontend(bed.Daemon("entry-1").mPeers);
  frontend.SendHeartbeat();
  std::this_thread::sleep_for(50ms);
  frontend.SendArrival();
  CHECK(frontend.WaitForCall(1s).find("\"order\"") != std::string::npos);
}
