/**
 * @file router.cpp
 * Wiring of the daemon, its heartbeats, and its answers to other daemons.
 */
#include "daemon/router_base.h"

#include "core/json_func.h"
#include "core/log_func.h"

#include <array>

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t kMaxDatagram = 65536;
constexpr std::size_t kMaxRelay = 1024;
/** A daemon that has neither the log nor most others in reach takes no new work after this. */
constexpr duration kCutOffAfter = 3s;
constexpr duration kDrainLook = 50ms;
/** Time for the balancer and the other daemons to notice a planned stop. */
constexpr duration kDrainNotice = 1500ms;

instant
Now()
{
  return boot_clock_source().Now();
}

member_settings
MemberSettings(const daemon_settings& aSettings)
{
  member_settings members;
  members.mHeartbeat = aSettings.mHeartbeat;
  members.mFailAfter = aSettings.mFailAfter;
  members.mBytesPerSecond = aSettings.mPeerBytesPerSecond;
  return members;
}

/** Wraps an answer that takes parsed JSON. */
template<typename Answer>
rpc_method
Method(Answer aAnswer)
{
  return [aAnswer](const std::string& aMessage) -> std::string {
    const json message = ParseJson(aMessage);
    if (!message.is_object()) {
      return "{}";
    }
    return aAnswer(message);
  };
}

} // namespace

result<std::unique_ptr<router>>
router::Open(asio::io_context& aIo, const daemon_settings& aSettings)
{
  BOOST_OUTCOME_TRY(const std::string peerSecret, LoadSecret(aSettings.mPeerSecretFile));
  BOOST_OUTCOME_TRY(std::string token, LoadSecret(aSettings.mOperatorTokenFile));
  member_info self;
  self.mIncarnation = DrawIncarnation();
  self.mName = aSettings.mName;
  self.mHall = aSettings.mHall;
  self.mAddress = aSettings.mPeers;
  auto opened = std::make_unique<router>(aIo, aSettings, self, peerSecret, std::move(token));
  BOOST_OUTCOME_TRY(opened->OpenSockets());
  return opened;
}

router::router(asio::io_context& aIo,
               const daemon_settings& aSettings,
               member_info aSelf,
               const std::string& aPeerSecret,
               std::string aOperatorToken)
  : mIo(aIo)
  , mSettings(aSettings)
  , mPeerSecret(aPeerSecret)
  , mDatagrams(aIo)
  , mMembers(std::move(aSelf), MemberSettings(aSettings), aPeerSecret)
  , mPeers(aIo, mMembers, aPeerSecret)
  , mLog(aIo,
         aSettings.mLog,
         { aSettings.mAppendsPerSecond, aSettings.mSnapshotEvery },
         mMembers,
         mPeers)
  , mHosts(aIo, aSettings.mHostList, aSettings.mHostListEvery)
  , mOwner(aIo, mLog, mHosts, mMembers, mPeers, mEngines, mAttempts)
  , mOwners(aIo, mMembers, mPeers, mOwner, mAttempts)
  , mRoles(aIo, mLog, mHosts, mMembers, mEngines)
  , mFrontend{ aIo,      mLog,      mHosts, mMembers, mPeers,  mOwners,
               mEngines, mAttempts, mKeys,  mQuotas,  mMetrics }
  , mOperators(aIo, mLog, mHosts, mMembers, std::move(aOperatorToken))
{
}

result<void>
router::OpenSockets()
{
  BOOST_OUTCOME_TRY(mPeerListener,
                    peer_listener::Open(mIo, mSettings.mPeers, mPeerSecret, mDispatcher));
  const endpoint at = mPeerListener->Address();
  boost::system::error_code error;
  const udp::endpoint local(asio::ip::make_address(at.mAddress), at.mPort);
  mDatagrams.open(local.protocol(), error);
  if (!error) {
    mDatagrams.bind(local, error);
  }
  if (error) {
    return make_error_code(errc::eConnectFailed);
  }
  mMembers.SetSelfAddress(at);
  BOOST_OUTCOME_TRY(
    mCallerListener,
    http_listener::Open(
      mIo, mSettings.mCallers, mSettings.mCallerLimits, [this](exchange_ptr aExchange) {
        return ServeCaller(mFrontend, std::move(aExchange));
      }));
  BOOST_OUTCOME_TRY(
    mOperatorListener,
    http_listener::Open(mIo, mSettings.mOperators, http_limits{}, [this](exchange_ptr aExchange) {
      return mOperators.Serve(std::move(aExchange));
    }));
  LogEvent(log_level::eInfo,
           "listening",
           { { "name", mSettings.mName },
             { "incarnation", ToText(mMembers.Self().mIncarnation) },
             { "callers", ToText(mCallerListener->Address()) },
             { "operators", ToText(mOperatorListener->Address()) },
             { "peers", ToText(at) } });
  return boost::outcome_v2::success();
}

void
router::Start()
{
  AddPeerMethods();
  for (const endpoint& seed : mSettings.mSeeds) {
    mMembers.AddSeed(seed);
  }
  mHosts.OnChanged([this] {
    for (const host* const one : mHosts.AvailableHostsOf(std::string(kRouterPool))) {
      mMembers.AddSeed(one->mAddress);
    }
    mOwner.SyncAllCells();
  });
  mLog.OnApplied([this] { mOwner.SyncAllCells(); });
  mLog.Start();
  mHosts.Start();
  mOwner.Start();
  mOwners.Start();
  mRoles.Start();
  Spawn(mIo,
        ReceiveDatagrams(
          mDatagrams, kMaxDatagram, [this](std::string_view aData, const udp::endpoint& /*aFrom*/) {
            TakeChanges(mMembers.Receive(aData, Now()));
          }));
  Spawn(mIo, HeartbeatLoop());
}

void
router::Drain()
{
  if (mFrontend.mDraining) {
    return;
  }
  LogEvent(log_level::eInfo, "draining", { { "calls", mFrontend.mCallsUnderWay } });
  mFrontend.mDraining = true;
  Spawn(mIo, DrainLoop());
}

asio::awaitable<void>
router::DrainLoop()
{
  const instant deadline = Now() + mSettings.mDrainLimit;
  const instant earliest = Now() + kDrainNotice;
  while (Now() < earliest) {
    co_await Sleep(kDrainLook);
  }
  mFrontend.mRefusing = true;
  mCallerListener->StopAccepting();
  while (mFrontend.mCallsUnderWay > 0 && Now() < deadline) {
    co_await Sleep(kDrainLook);
  }
  LogEvent(log_level::eInfo, "stopped", { { "calls_cut", mFrontend.mCallsUnderWay } });
  mIo.stop();
}

bool
router::IsServing() const
{
  const bool inContact = Now() - mLastContact < kCutOffAfter;
  return !mFrontend.mDraining && mLog.CaughtUp() && mHosts.Ready() && inContact;
}

asio::awaitable<void>
router::HeartbeatLoop()
{
  for (;;) {
    const std::size_t others = mMembers.Others().size();
    mMostMembers = std::max(mMostMembers, others);
    if (mLog.LogReachable() || (others > 0 && 2 * others >= mMostMembers)) {
      mLastContact = Now();
    }
    mMembers.SetSelf(mLog.State().NextOffset(), IsServing());
    const heartbeat beat = mMembers.BuildHeartbeat(Now());
    for (const endpoint& to : beat.mTo) {
      boost::system::error_code ignored;
      const udp::endpoint target(asio::ip::make_address(to.mAddress, ignored), to.mPort);
      mDatagrams.send_to(asio::buffer(beat.mData), target, 0, ignored);
    }
    TakeChanges(mMembers.DropSilent(Now()));
    TickLogging();
    co_await Sleep(mSettings.mHeartbeat);
  }
}

void
router::TakeChanges(const member_changes& aChanges)
{
  for (const member_info& joined : aChanges.mJoined) {
    LogEvent(log_level::eInfo,
             "member_joined",
             { { "name", joined.mName }, { "incarnation", ToText(joined.mIncarnation) } });
  }
  for (const member_info& gone : aChanges.mGone) {
    LogEvent(log_level::eWarning,
             "member_gone",
             { { "name", gone.mName }, { "incarnation", ToText(gone.mIncarnation) } });
    mPeers.CloseLinks(gone);
    mOwner.HandleDaemonGone(gone.mIncarnation);
  }
}

void
router::AddPeerMethods()
{
  mDispatcher.Add("event", Method([this](const json& aMsg) { return AnswerEvent(aMsg); }));
  mDispatcher.Add("order", Method([this](const json& aMsg) { return AnswerOrder(aMsg); }));
  mDispatcher.Add("records", Method([this](const json& aMsg) { return AnswerRecords(aMsg); }));
  mDispatcher.Add("snapshot", Method([this](const json&) { return AnswerSnapshot(); }));
  mDispatcher.Add("claim_status",
                  Method([this](const json& aMsg) { return AnswerClaimStatus(aMsg); }));
  mDispatcher.Add("take_over", Method([this](const json& aMsg) { return AnswerTakeOver(aMsg); }));
  mDispatcher.Add("end_attempt",
                  Method([this](const json& aMsg) { return AnswerEndAttempt(aMsg); }));
  mDispatcher.Add("attempt_active",
                  Method([this](const json& aMsg) { return AnswerAttemptActive(aMsg); }));
}

std::string
router::AnswerEvent(const json& aMessage)
{
  const cell_key key{ aMessage.value("prefill", std::string()),
                      aMessage.value("decode", std::string()),
                      aMessage.value("link", std::string()) };
  const result<decide_event> event = EventFromJson(aMessage.value("event", json::object()));
  if (event) {
    mOwner.Handle(key, event.value());
  }
  return json{ { "taken", event.has_value() } }.dump();
}

std::string
router::AnswerOrder(const json& aMessage)
{
  const result<addressed_order> order = OrderFromJson(aMessage);
  attempt_entry* const entry = order ? mAttempts.Find(AttemptOf(order.value().mOrder)) : nullptr;
  if (entry != nullptr) {
    entry->mOnOrder(order.value());
  }
  return json{ { "taken", entry != nullptr } }.dump();
}

std::string
router::AnswerRecords(const json& aMessage) const
{
  const std::size_t most = std::min(kMaxRelay, aMessage.value("most", std::size_t{ 0 }));
  const auto records = mLog.Records(aMessage.value("from", std::uint64_t{ 1 }), most);
  if (!records) {
    return json{ { "too_old", true } }.dump();
  }
  json rows = json::array();
  for (const log_record& record : records.value()) {
    rows.push_back(json::array({ record.mOffset, record.mTimeMs, record.mData }));
  }
  return json{ { "records", rows } }.dump();
}

std::string
router::AnswerSnapshot() const
{
  const replicated_state& state = mLog.State();
  return json{ { "at", state.NextOffset() - 1 }, { "entries", state.SnapshotEntries() } }.dump();
}

std::string
router::AnswerClaimStatus(const json& aMessage)
{
  const auto key = aMessage.value("key", std::string());
  const keyed_call* const call = mKeys.Calls().Find(key);
  if (call == nullptr) {
    return json::object().dump();
  }
  if (call->mState == keyed_state::eAbandoned) {
    mLog.Release(key, call->mAttempt); // The first release may have come before the claim.
  }
  return ToJson(*call).dump();
}

std::string
router::AnswerTakeOver(const json& aMessage)
{
  json answer = json::object();
  const result<attempt_id> attempt = ParseAttempt(aMessage.value("attempt", std::string()));
  if (attempt) {
    const auto older = mKeys.ReplaceNewest(aMessage.value("key", std::string()), attempt.value());
    if (older) {
      answer["older"] = ToText(*older);
    }
  }
  return answer.dump();
}

std::string
router::AnswerEndAttempt(const json& aMessage)
{
  const result<attempt_id> attempt = ParseAttempt(aMessage.value("attempt", std::string()));
  attempt_entry* const entry = attempt ? mAttempts.Find(attempt.value()) : nullptr;
  if (entry != nullptr) {
    entry->mOnSuperseded();
  }
  return json{ { "ended", entry != nullptr } }.dump();
}

std::string
router::AnswerAttemptActive(const json& aMessage)
{
  const result<attempt_id> attempt = ParseAttempt(aMessage.value("attempt", std::string()));
  const bool active = attempt && mAttempts.Find(attempt.value()) != nullptr;
  return json{ { "active", active } }.dump();
}

} // namespace dunehook
