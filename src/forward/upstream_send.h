/**
 * @file upstream_send.h
 * One send of a caller's request to one runner: builds the head, reads the head of the answer and
 * tells what can be said of it.
 */
#pragma once

#include "core/log_func.h"
#include "core/text_func.h"
#include "forward/caller_session.h"
#include "messages/wire_type.h"
#include "quarantine/request_fingerprint.h"
#include "state/forward_state.h"

namespace dunehook {

/** Longest wait for a connection to a runner; halls lie some milliseconds apart. */
inline constexpr duration kConnectTime = std::chrono::milliseconds(250);
/** Time beyond a request's limit that a runner gets to tell of its own end. */
inline constexpr duration kResponseSlack = std::chrono::milliseconds(120);

/** What is known after a send. */
enum class send_status
{
  eNotSent,  ///< No connection: nothing left this daemon.
  eNotRun,   ///< The runner told that it did not run the request.
  eAnswered, ///< The head of an answer is there.
  eUnknown,  ///< Something was sent, and it may have run.
};

/** A send and the head of its answer. */
struct upstream_response
{
  send_status mSendStatus = send_status::eNotSent; ///< What is known.
  answer_facts mFacts;                             ///< Of the head, if there is one.
  http::fields mHead;                              ///< Fields for the caller, if answered.
  upstream_ptr mConnection;                        ///< Where the body follows, if answered.
  bool mTimedOut = false;                          ///< It ended by its time limit.
  bool mConnectionLost = false;                    ///< The connection ended before the answer did.
};

/** @return whether a field concerns one connection only. */
bool
IsHopByHopHeader(std::string_view aName);

/** @return the names that a Connection field lists, in lower case. */
std::vector<std::string>
ConnectionHeaderTokens(const http::fields& aHead);

/** @return the head to send for a caller's request, as text. */
template<wire_format Wire>
upstream_request
BuildUpstreamRequest(const caller_exchange& aExchange, const send_plan& aPlan)
{
  const auto& request = aExchange.Request();
  const std::vector<std::string> listed = ConnectionHeaderTokens(request);
  http::fields out;
  for (const auto& field : request) {
    const std::string_view name{ field.name_string().data(), field.name_string().size() };
    const bool isListed =
      std::any_of(listed.begin(), listed.end(), [&](const std::string& aListed) {
        return beast::iequals(aListed, field.name_string());
      });
    const bool drop = IsHopByHopHeader(name) || Wire::IsOwnHeader(name) ||
                      field.name() == http::field::content_length ||
                      (isListed && !Wire::IsFixedHeader(name) && field.name() != http::field::host);
    if (!drop) {
      out.insert(field.name_string(), field.value());
    }
  }
  Wire::WritePlan(aPlan, out);
  const bool mayHaveBody =
    request.method() != http::verb::get && request.method() != http::verb::head;
  if (mayHaveBody || !aExchange.Body()->empty()) {
    out.set(http::field::content_length, std::to_string(aExchange.Body()->size()));
  }
  const auto method = request.method_string();
  upstream_request built;
  built.mMethod = request.method();
  built.mBody = aExchange.Body();
  built.mHead =
    Join(std::string_view(method.data(), method.size()), " ", aExchange.Target(), " HTTP/1.1\r\n");
  for (const auto& field : out) {
    built.mHead.append(field.name_string().data(), field.name_string().size());
    built.mHead += ": ";
    built.mHead.append(field.value().data(), field.value().size());
    built.mHead += "\r\n";
  }
  built.mHead += "\r\n";
  return built;
}

/** @return a runner's fields as they go to the caller. */
http::fields
FieldsForCaller(const http::fields& aHead);

/**
 * Sends a request to a runner and reads the head of the answer.
 * @param aOnlyProven see upstream_pool::Take().
 * @param aLimit longest wait for the head.
 */
template<wire_format Wire>
asio::awaitable<upstream_response>
SendToRunner(forward_state& aState,
             caller_exchange& aExchange,
             const endpoint& aTo,
             const send_plan& aPlan,
             const std::string& aRequestId,
             bool aOnlyProven,
             duration aLimit)
{
  upstream_response answer;
  const duration connectTime = std::min(kConnectTime, aLimit);
  result<upstream_ptr> taken =
    co_await aState.mPool.Take(aTo, aOnlyProven, aState.Now(), connectTime);
  if (!taken || aExchange.Disconnected()) {
    if (taken) {
      aState.mPool.Give(aTo, taken.value(), aState.Now());
    }
    co_return answer;
  }
  const upstream_ptr connection = taken.value();
  aExchange.OnDisconnect([connection] { connection->Abort(); });
  const upstream_request request = BuildUpstreamRequest<Wire>(aExchange, aPlan);
  const auto head = co_await connection->Start(request, aLimit);
  answer.mSendStatus = send_status::eUnknown;
  if (!head) {
    answer.mTimedOut = head.error() == errc::eDeadlinePassed;
    answer.mConnectionLost = head.error() == errc::eConnectionLost;
    connection->Abort();
    co_return answer;
  }
  answer.mFacts = Wire::ReadAnswer(*head.value(), head.value()->result_int());
  if (!answer.mFacts.mRequestId.empty() && answer.mFacts.mRequestId != aRequestId) {
    connection->Abort(); // An answer to another request, in place of ours.
    co_return answer;
  }
  connection->mKeepFor = answer.mFacts.mKeepFor;
  aState.NoteNotice(aPlan.mRunner, answer.mFacts.mNotice);
  answer.mHead = FieldsForCaller(*head.value());
  answer.mConnection = connection;
  answer.mSendStatus = answer.mFacts.mNotRun ? send_status::eNotRun : send_status::eAnswered;
  if (answer.mFacts.mStatus < 200) {
    connection->Abort();
    answer.mSendStatus = send_status::eUnknown;
  }
  co_return answer;
}

/** @return what a send that gave no answer says of the runner. */
inline send_outcome
OutcomeOf(const upstream_response& aAnswer)
{
  if (aAnswer.mFacts.mMisdirected) {
    return send_outcome::eMisdirected;
  }
  if (aAnswer.mSendStatus == send_status::eNotRun) {
    return send_outcome::eRefused;
  }
  const bool silent = aAnswer.mSendStatus == send_status::eNotSent || aAnswer.mTimedOut;
  return silent ? send_outcome::eUnreachable : send_outcome::eFailed;
}

/** @return what a caller's request is known by among tries. */
request_fingerprint
FingerprintOf(const caller_exchange& aExchange, const request_facts& aFacts);

/** Gives a connection back: from then on it's not this caller's to end. */
inline void
ReturnConnection(forward_state& aState,
                 caller_exchange& aExchange,
                 const endpoint& aTo,
                 const upstream_ptr& aConnection)
{
  aExchange.OnDisconnect(nullptr);
  aState.mPool.Give(aTo, aConnection, aState.Now());
}

/**
 * Reads what is left of an answer's body.
 * @param aMost the body may hold this many bytes.
 * @return the body, eBodyTooLarge with its start in @p aOut, or why it ended.
 */
asio::awaitable<result<void>>
ReadBody(upstream_connection& aConnection,
         std::string& aOut,
         std::size_t aMaxBytes,
         duration aLimit);

/** Answers that the request didn't run, and when to come back. */
template<wire_format Wire>
asio::awaitable<void>
Refuse(caller_exchange& aExchange,
       const std::string& aRequestId,
       unsigned aStatus,
       duration aRetryAfter,
       std::string_view aReason)
{
  http::fields head;
  head.set(http::field::content_type, "application/json");
  Wire::WriteRefusal(aRequestId, aRetryAfter, head);
  const std::string body = Join("{\"error\":\"", aReason, "\"}");
  co_await aExchange.Respond(aStatus, head, body);
}

} // namespace dunehook
