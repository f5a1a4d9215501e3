/**
 * @file completion_session.cpp
 * The message loop of a completions call, its cancellation and its error answers.
 */
#include "callers/completion_session.h"

#include "core/log_func.h"

#include <optional>

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

/** A request that waits for an order is announced to the owner again: the owner may have lost it.
 */
constexpr duration kResendInterval = 500ms;
constexpr duration kCancelTimeout = 500ms;       ///< Time limit of one cancel call to an engine.
constexpr duration kCancelRetryInterval = 200ms; ///< Pause between cancel calls.
constexpr duration kTakeOverTimeout =
  300ms; ///< Time limit of each peer call that ends an older attempt.
constexpr duration kDefaultRetryAfter = 1s;
constexpr int kMaxCancelTries = 50;

} // namespace

completion_session::completion_session(frontend_context& aFrontend,
                                       exchange_ptr aExchange,
                                       completion_request aRequest,
                                       std::string aRouteName,
                                       const route_spec& aRoute,
                                       const priority_class_spec& aTargets)
  : mFrontend(aFrontend)
  , mExchange(std::move(aExchange))
  , mRequest(std::move(aRequest))
  , mRouteName(std::move(aRouteName))
  , mRoute(aRoute)
  , mClassTargets(aTargets)
  , mCell{ aRoute.mPrefillPool, aRoute.mDecodePool, aRoute.mLink }
  , mAttempt(aFrontend.NextAttempt())
  , mArrived(Now())
  , mDeadline(mArrived + std::chrono::milliseconds(aRoute.mTimeoutMs))
  , mMessageArrived(aFrontend.mIo)
  , mEventPrefix(
      R"(data: {"object":"text_completion","id":")" + ToText(mAttempt) + R"(","model":)" +
      json(mRequest.mModel).dump(-1, ' ', false, json::error_handler_t::replace) + R"(,"token":)")
{
}

request_arrived
completion_session::DescribeRequest() const
{
  return { mAttempt,
           mRoute.mClass,
           mClassTargets,
           CountTokens(mRequest.mPrompt) + mNextIndex,
           mRequest.mMaxTokens,
           PrefixBlocks(mRequest.mPrompt) };
}

asio::awaitable<void>
completion_session::Run()
{
  const auto self = shared_from_this();
  attempt_entry entry;
  entry.mCell = mCell;
  entry.mRequest = DescribeRequest();
  const std::weak_ptr<completion_session> weak = self;
  entry.mOnOrder = [weak](const addressed_order& aOrder) {
    if (const auto session = weak.lock()) {
      session->Post(aOrder);
    }
  };
  entry.mOnSuperseded = [weak] {
    if (const auto session = weak.lock()) {
      session->Post(taken_over{});
    }
  };
  mFrontend.mAttempts.Add(mAttempt, std::move(entry));
  mExchange->OnCallerGone([weak] {
    if (const auto session = weak.lock()) {
      session->Post(caller_left{});
    }
  });
  co_await TakeOverKey();
  co_await Serve();
  mFrontend.mAttempts.Remove(mAttempt);
}

asio::awaitable<void>
completion_session::TakeOverKey()
{
  const std::string key = mExchange->Header("Idempotency-Key");
  if (key.empty()) {
    co_return;
  }
  const std::string scoped = ScopedKey(TeamOf(*mExchange), mRouteName, key);
  const member_info owner = mFrontend.mMembers.OwnerOf("key:" + scoped);
  std::optional<attempt_id> older;
  if (owner.mIncarnation == mFrontend.mMembers.Self().mIncarnation) {
    older = mFrontend.mKeys.ReplaceNewest(scoped, mAttempt);
  } else {
    const json message{ { "key", scoped }, { "attempt", ToText(mAttempt) } };
    const result<json> answer =
      co_await mFrontend.mPeers.Call(owner, "take_over", message, kTakeOverTimeout);
    if (answer && answer.value().contains("older")) {
      const auto parsed = ParseAttempt(answer.value().value("older", std::string()));
      older = parsed ? std::optional(parsed.value()) : std::nullopt;
    }
  }
  if (!older) {
    co_return;
  }
  if (older->mIncarnation == mFrontend.mMembers.Self().mIncarnation) {
    if (attempt_entry* const entry = mFrontend.mAttempts.Find(*older)) {
      entry->mOnSuperseded();
    }
    co_return;
  }
  if (const member_info* const member = mFrontend.mMembers.Find(older->mIncarnation)) {
    const json message{ { "attempt", ToText(*older) } };
    co_await mFrontend.mPeers.Call(member_info(*member), "end_attempt", message, kTakeOverTimeout);
  }
}

asio::awaitable<void>
completion_session::Serve()
{
  co_await Report(DescribeRequest());
  while (!mEnded) {
    if (Now() >= mDeadline) {
      co_await Fail({ 504,
                      make_error_code(errc::eDeadlinePassed),
                      "the call's time limit has passed",
                      OutcomeSoFar(),
                      kDefaultRetryAfter });
      co_return;
    }
    if (mPendingMessages.empty()) {
      co_await mMessageArrived.Wait(std::min<duration>(kResendInterval, mDeadline - Now()));
    }
    if (mPendingMessages.empty()) {
      co_await AnnounceAgain();
      continue;
    }
    session_message message = std::move(mPendingMessages.front());
    mPendingMessages.pop_front();
    co_await std::visit([this](auto& aMessage) { return Handle(std::move(aMessage)); }, message);
  }
}

asio::awaitable<void>
completion_session::AnnounceAgain()
{
  const request_stage stage = mFrontend.mAttempts.Find(mAttempt)->mStage;
  if (stage == request_stage::eWaiting) {
    co_await Report(DescribeRequest()); // An owner that has the request ignores this.
    co_return;
  }
  const bool waitsForOrder = stage == request_stage::eReady ||
                             (stage == request_stage::eTransferring && mChunksInFlight == 0);
  if (waitsForOrder) {
    const request_adopted repeated{ DescribeRequest(), stage, mPrefill.mId, mDecode.mId, true };
    co_await Report(repeated);
  }
}

void
completion_session::Post(session_message aMessage)
{
  const bool urgent =
    std::holds_alternative<caller_left>(aMessage) || std::holds_alternative<taken_over>(aMessage);
  if (urgent && mConnection) {
    mConnection->Abort();
  }
  mPendingMessages.push_back(std::move(aMessage));
  mMessageArrived.Notify();
}

void
completion_session::SetStage(request_stage aStage)
{
  attempt_entry* const entry = mFrontend.mAttempts.Find(mAttempt);
  entry->mStage = aStage;
  entry->mPrefill = mPrefill.mId;
  entry->mDecode = mDecode.mId;
}

call_outcome
completion_session::OutcomeSoFar() const
{
  return mMayHaveReachedRunner ? call_outcome::eUnknown : call_outcome::eNotRun;
}

asio::awaitable<void>
completion_session::Report(decide_event aEvent)
{
  const result<void> sent = co_await mFrontend.mOwners.Send(mCell, std::move(aEvent));
  if (!sent && !mEnded) {
    co_await Fail({ 503,
                    sent.error(),
                    "no host decides for this model now",
                    OutcomeSoFar(),
                    kDefaultRetryAfter });
  }
}

asio::awaitable<void>
completion_session::ReportFailure(engine_id aEngine, std::error_code aError)
{
  const bool refused = aError == errc::eRunnerRefused;
  const bool lost = aError == errc::eNotFound;
  const work_failed failed{ mAttempt, aEngine, refused, lost };
  co_await Report(failed);
}

asio::awaitable<void>
completion_session::Handle(addressed_order aOrder)
{
  if (const auto* const prefill = std::get_if<start_prefill>(&aOrder.mOrder)) {
    BeginPrefill(*prefill, aOrder.mAddress);
  } else if (const auto* const chunk = std::get_if<start_chunk>(&aOrder.mOrder)) {
    BeginChunk(*chunk, aOrder.mAddress);
  } else if (const auto* const refuse = std::get_if<refuse_request>(&aOrder.mOrder)) {
    const unsigned status = refuse->mReason == errc::eOverloaded ? 429 : 503;
    co_await Fail({ status,
                    make_error_code(refuse->mReason),
                    "the request can't be served in time now",
                    OutcomeSoFar(),
                    refuse->mRetryAfter });
  }
}

asio::awaitable<void>
completion_session::Fail(error_answer aAnswer)
{
  mEnded = true;
  mFrontend.mMetrics.CountCall("completion", std::string(OutcomeName(aAnswer.mOutcome)));
  co_await GiveUp();
  if (!mExchange->Streaming()) {
    co_await RespondError(mExchange, std::move(aAnswer));
    co_return;
  }
  json body = json::parse(ErrorBody(ErrorName(aAnswer.mError), aAnswer.mDetail));
  body["outcome"] = OutcomeName(aAnswer.mOutcome);
  body["retry_after_ms"] = aAnswer.mRetryAfter.count() / 1000;
  if (co_await mExchange->Write("data: " + body.dump() + "\n\n")) {
    co_await mExchange->EndStream();
  }
}

asio::awaitable<void>
completion_session::Handle(caller_left /*aMessage*/)
{
  mEnded = true;
  mFrontend.mMetrics.CountCall("completion", "caller-gone");
  LogEvent(log_level::eInfo, "caller_gone", { { "request", ToText(mAttempt) } });
  co_await GiveUp();
}

asio::awaitable<void>
completion_session::Handle(taken_over /*aMessage*/)
{
  mEnded = true;
  mFrontend.mMetrics.CountCall("completion", "taken-over");
  LogEvent(log_level::eInfo, "taken_over", { { "request", ToText(mAttempt) } });
  mExchange->Abort();
  co_await GiveUp();
}

asio::awaitable<void>
completion_session::GiveUp()
{
  if (mConnection) {
    mConnection->Abort();
  }
  FreeEngine(mPrefill);
  FreeEngine(mDecode);
  const request_cancelled cancelled{ mAttempt };
  co_await mFrontend.mOwners.Send(mCell, cancelled);
}

void
completion_session::FreeEngine(used_engine& aEngine)
{
  if (aEngine.mId) {
    Spawn(mFrontend.mIo, CancelAt(aEngine.mAddress));
  }
  aEngine = {};
}

asio::awaitable<void>
completion_session::CancelAt(endpoint aEngine)
{
  const auto self = shared_from_this();
  for (int tries = 0; tries < kMaxCancelTries; ++tries) {
    if (co_await mFrontend.mEngines.Cancel(aEngine, mAttempt, kCancelTimeout)) {
      co_return;
    }
    co_await Sleep(kCancelRetryInterval);
  }
}

asio::awaitable<void>
ServeCompletion(frontend_context& aFrontend, exchange_ptr aExchange)
{
  std::string detail;
  result<completion_request> request = ParseCompletion(aExchange->Body(), detail);
  if (!request) {
    co_await RespondError(aExchange, { 400, request.error(), detail });
    co_return;
  }
  const replicated_state& state = aFrontend.mLog.State();
  for (const auto& [key, resource] : state.Resources()) {
    const auto* const route = std::get_if<route_spec>(&resource.mSpec);
    if (route == nullptr || route->mModel != request.value().mModel) {
      continue;
    }
    const auto* const found =
      state.FindSpec<priority_class_spec>(resource_kind::ePriorityClass, route->mClass);
    const priority_class_spec targets = found == nullptr ? priority_class_spec{} : *found;
    const auto session = std::make_shared<completion_session>(
      aFrontend, aExchange, std::move(request.value()), key.mName, *route, targets);
    co_await session->Run();
    co_return;
  }
  co_await RespondError(aExchange,
                        { 404, make_error_code(errc::eNotFound), "no route has this model" });
}

} // namespace dunehook
