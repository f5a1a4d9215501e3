/**
 * @file completion_steps.cpp
 * The engine calls of a completions call (prefill, transfer in chunks, decode) and the streaming of
 * tokens to the caller.
 */
#include "callers/completion_session.h"

namespace dunehook {

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr duration kEngineCallTimeout =
  20s;                                 ///< Time limit of a prefill or of one chunk's transfer.
constexpr duration kTokenTimeout = 5s; ///< Longest time without data on a token stream.

} // namespace

void
completion_session::BeginPrefill(const start_prefill& aOrder, const endpoint& aAddress)
{
  const attempt_entry* const entry = mFrontend.mAttempts.Find(mAttempt);
  if (entry->mStage == request_stage::ePrefilling && mPrefill.mId == aOrder.mEngine) {
    return; // A duplicate of the order.
  }
  FreeEngine(mPrefill);
  FreeEngine(mDecode);
  mPrefill = { aOrder.mEngine, aAddress };
  mMayHaveReachedRunner = true;
  SetStage(request_stage::ePrefilling);
  Spawn(mFrontend.mIo, RunPrefill(aOrder, aAddress));
}

asio::awaitable<void>
completion_session::RunPrefill(start_prefill aOrder, endpoint aAddress)
{
  const auto self = shared_from_this();
  const prefill_call call{ mAttempt, mRequest.mPrompt, mText, aOrder.mPriority };
  const result<prefill_answer> answer =
    co_await mFrontend.mEngines.Prefill(aAddress, call, kEngineCallTimeout, mConnection);
  mConnection.reset();
  Post(prefill_ended{ aOrder.mEngine, answer });
}

asio::awaitable<void>
completion_session::Handle(prefill_ended aMessage)
{
  if (aMessage.mEngine != mPrefill.mId) {
    co_return;
  }
  if (!aMessage.mAnswer) {
    FreeEngine(mPrefill);
    SetStage(request_stage::eWaiting);
    co_await ReportFailure(aMessage.mEngine, aMessage.mAnswer.error());
    co_return;
  }
  mKvBytes = aMessage.mAnswer.value().mKvBytes;
  SetStage(request_stage::eReady);
  const prefill_finished finished{ mAttempt, mKvBytes, aMessage.mAnswer.value().mCachedTokens };
  co_await Report(finished);
}

void
completion_session::BeginChunk(const start_chunk& aOrder, const endpoint& aAddress)
{
  if (mDecode.mId != aOrder.mEngine) {
    FreeEngine(mDecode); // A former owner had chosen another engine.
  }
  mDecode = { aOrder.mEngine, aAddress };
  SetStage(request_stage::eTransferring);
  ++mChunksInFlight;
  Spawn(mFrontend.mIo, RunChunk(aOrder, aAddress, mPrefill.mAddress));
}

asio::awaitable<void>
completion_session::RunChunk(start_chunk aOrder, endpoint aAddress, endpoint aFrom)
{
  const auto self = shared_from_this();
  const import_call call{ mAttempt, aFrom, aOrder.mOffset, aOrder.mBytes, mKvBytes };
  const result<void> answer =
    co_await mFrontend.mEngines.Import(aAddress, call, kEngineCallTimeout);
  Post(chunk_ended{ aOrder.mEngine, aOrder.mLast, answer });
}

asio::awaitable<void>
completion_session::Handle(chunk_ended aMessage)
{
  --mChunksInFlight;
  if (aMessage.mEngine != mDecode.mId) {
    co_return;
  }
  if (!aMessage.mAnswer) {
    const bool lost = aMessage.mAnswer.error() == errc::eNotFound;
    FreeEngine(mDecode);
    if (lost) {
      FreeEngine(mPrefill);
    }
    SetStage(lost ? request_stage::eWaiting : request_stage::eReady);
    co_await ReportFailure(aMessage.mEngine, aMessage.mAnswer.error());
    co_return;
  }
  const chunk_finished finished{ mAttempt };
  co_await Report(finished);
  if (aMessage.mLast && !mEnded) {
    mPrefill = {};
    SetStage(request_stage::eDecoding);
    co_await StreamTokens();
  }
}

asio::awaitable<void>
completion_session::StreamTokens()
{
  const engine_id engine = mDecode.mId;
  const decode_call call{ mAttempt, mNextIndex, mRequest.mMaxTokens };
  const result<http_connection_ptr> connection =
    co_await mFrontend.mEngines.Decode(mDecode.mAddress, call, kTokenTimeout);
  result<void> read = boost::outcome_v2::success();
  if (connection) {
    mConnection = connection.value();
    read = co_await ReadTokens(connection.value());
    mConnection.reset();
  } else {
    read = connection.error();
  }
  if (mExchange->CallerGone()) {
    co_return; // A caller_left message is pending.
  }
  if (read) {
    mFrontend.mEngines.Give(mDecode.mAddress, connection.value());
    co_await Finish();
    co_return;
  }
  if (read.error() == errc::eWrongAnswer) {
    mFrontend.mMetrics.CountWrongAnswer();
  }
  FreeEngine(mDecode);
  SetStage(request_stage::eWaiting);
  mFrontend.mAttempts.Find(mAttempt)->mRequest = DescribeRequest();
  const work_failed failed{ mAttempt, engine, read.error() == errc::eRunnerRefused, true };
  co_await Report(failed);
}

asio::awaitable<result<void>>
completion_session::ReadTokens(http_connection_ptr aConnection)
{
  token_parser parser(mAttempt);
  bool more = true;
  while (more) {
    std::string bytes;
    const result<bool> read = co_await aConnection->ReadSome(bytes, Now() + kTokenTimeout);
    std::vector<token> tokens;
    const result<void> parsed = parser.Take(bytes, tokens);
    if (!parsed) {
      aConnection->Abort();
      co_return parsed.error();
    }
    if (!co_await WriteTokens(tokens)) {
      co_return make_error_code(errc::eCallerGone);
    }
    if (!read) {
      co_return read.error();
    }
    more = read.value();
  }
  if (!parser.Done()) {
    co_return make_error_code(errc::eConnectionLost);
  }
  co_return boost::outcome_v2::success();
}

std::string
completion_session::TokenEvent(const token& aToken) const
{
  // Concatenated, since building a JSON tree per token takes most of a stream's processor time.
  std::string event = mEventPrefix;
  event += std::to_string(aToken.mIndex);
  event += R"(,"choices":[{"index":0,"finish_reason":null,"text":)";
  event += json(aToken.mText).dump(-1, ' ', false, json::error_handler_t::replace);
  event += "}]}\n\n";
  return event;
}

asio::awaitable<bool>
completion_session::WriteTokens(const std::vector<token>& aTokens)
{
  std::string events;
  for (const token& one : aTokens) {
    if (one.mIndex != mNextIndex) {
      continue; // Already written from an earlier decode.
    }
    if (mNextIndex == 0) {
      mFrontend.mMetrics.ObserveFirstToken(mRoute.mClass, ToSeconds(Now() - mArrived));
    }
    ++mNextIndex;
    mText += one.mText;
    if (mRequest.mStream) {
      events += TokenEvent(one);
    }
  }
  mFrontend.mMetrics.CountTokens(static_cast<double>(aTokens.size()));
  if (events.empty()) {
    co_return !mExchange->CallerGone();
  }
  if (!mExchange->Streaming() &&
      !co_await mExchange->StartStream(200, OutcomeHeaders(call_outcome::eInStream, mAttempt))) {
    co_return false;
  }
  co_return co_await mExchange->Write(events);
}

asio::awaitable<void>
completion_session::Finish()
{
  mEnded = true;
  mFrontend.mMetrics.CountCall("completion", "done");
  json body{ { "id", ToText(mAttempt) },
             { "object", "text_completion" },
             { "model", mRequest.mModel },
             { "outcome", "done" },
             { "choices",
               json::array({ { { "index", 0 },
                               { "text", mRequest.mStream ? "" : mText },
                               { "finish_reason", "length" } } }) } };
  if (!mRequest.mStream) {
    co_await mExchange->Respond(200, body.dump(), OutcomeHeaders(call_outcome::eDone, mAttempt));
  } else {
    if (!mExchange->Streaming()) {
      co_await mExchange->StartStream(200, OutcomeHeaders(call_outcome::eInStream, mAttempt));
    }
    if (co_await mExchange->Write("data: " + body.dump() + "\n\ndata: [DONE]\n\n")) {
      co_await mExchange->EndStream();
    }
  }
  // The engine frees its slot at the end of a stream, so no cancel is needed.
  const stream_finished finished{ mAttempt, mNextIndex };
  co_await mFrontend.mOwners.Send(mCell, finished);
}

} // namespace dunehook
