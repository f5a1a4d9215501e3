/**
 * @file upstream_send.h
 * Sends a caller's request to one runner once: builds the request head, reads the response head and
 * classifies the outcome.
 */
#pragma once

#include "core/log_func.h"
#include "core/text_func.h"
#include "forward/caller_session.h"
#include "messages/wire_type.h"
#include "quarantine/request_fingerprint.h"
#include "state/forward_state.h"

namespace dunehook {

/** Limit of connecting to a runner; data halls are some milliseconds apart. */
inline constexpr duration kConnectTime = std::chrono::milliseconds(250);
/** Time after a request's deadline in which a runner may still report how the request ended. */
inline constexpr duration kResponseSlack = std::chrono::milliseconds(120);

/** A sound runner's body follows its head at once: a head that came in time gets so long for it. */
inline constexpr duration kBodyGrace = std::chrono::milliseconds(100);

/** What is known after a send. */
enum class send_status
{
  eNotSent,  ///< No connection: nothing was sent.
  eNotRun,   ///< The runner stated that it did not run the request.
  eAnswered, ///< The response head was read.
  eUnknown,  ///< Something was sent; the request may have run.
};

/**
 * @return whether a response is the runner's own: a success has its receipt, a failure names the
 * request. Any other bytes say nothing of the request, which may have run.
 * @pre the response names no other request.
 */
inline bool
IsOwnAnswer(const answer_facts& aFacts)
{
  return aFacts.mHasReceipt || (aFacts.mStatus >= 300 && !aFacts.mRequestId.empty());
}

/** The outcome of a send and the response head. */
struct upstream_response
{
  send_status mSendStatus = send_status::eNotSent; ///< How far the send got.
  answer_facts mFacts;      ///< Parsed from the response head, if there is one.
  http::fields mHead;       ///< Headers for the caller, if a response head was read.
  upstream_ptr mConnection; ///< Carries the body, if a response head was read.
  body_framing mFraming = body_framing::eLength; ///< How the body is framed.
  bool mTimedOut = false;                        ///< The send hit its time limit.
  bool mConnectionLost = false;                  ///< The connection ended before the response did.
};

/**
 * Headers of a relayed request: how many engines have run it already, by way of the daemon that
 * relays it, and that daemon's configuration. Only the listener for relayed requests reads them; a
 * caller's aren't passed on.
 */
inline constexpr std::string_view kRelayRunsHeader = "Dunehook-Relay-Runs";
inline constexpr std::string_view kRelayConfigHeader = "Dunehook-Relay-Config";
inline constexpr std::string_view kRelaySoftwareHeader = "Dunehook-Relay-Software";

/** @return whether a header is for daemons only. */
inline bool
IsRelayHeader(beast::string_view aName)
{
  const auto is = [&](std::string_view aOther) {
    return beast::iequals(aName, beast::string_view(aOther.data(), aOther.size()));
  };
  return is(kRelayRunsHeader) || is(kRelayConfigHeader) || is(kRelaySoftwareHeader);
}

/** @return whether a header is hop-by-hop. */
bool
IsHopByHopHeader(std::string_view aName);

/** @return the header names listed in Connection headers, in lower case. */
std::vector<std::string>
ConnectionHeaderTokens(const http::fields& aHead);

/** @return the request to send to a runner for a caller's request. */
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
                      IsRelayHeader(field.name_string()) ||
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

/** @return the headers of a runner's response that are forwarded to the caller. */
http::fields
FieldsForCaller(const http::fields& aHead);

/**
 * Sends a request to a runner and reads the response head.
 * @param aPermit the right to send it; nothing is sent if it's no longer valid.
 * @param aOnlyProven see upstream_pool::Take().
 * @param aUntil when the wait for the response head ends.
 */
template<wire_format Wire>
asio::awaitable<upstream_response>
SendToRunner(forward_state& aState,
             caller_exchange& aExchange,
             const endpoint& aTo,
             const send_plan& aPlan,
             const send_permit& aPermit,
             const std::string& aRequestId,
             bool aOnlyProven,
             instant aUntil)
{
  upstream_response answer;
  const duration connectTime = std::min(kConnectTime, aUntil - aState.Now());
  result<upstream_ptr> taken =
    co_await aState.mPool.Take(aTo, aOnlyProven, aState.Now(), connectTime);
  if (!taken || aExchange.CheckDisconnected() || !aPermit.IsValid(aState.Now())) {
    if (taken) {
      aState.mPool.Give(aTo, taken.value(), aState.Now());
    } else {
      aState.NoteUnreachable(aPlan.mRunner);
    }
    co_return answer;
  }
  const upstream_ptr connection = taken.value();
  aExchange.OnDisconnect([connection] { connection->Abort(); });
  const upstream_request request = BuildUpstreamRequest<Wire>(aExchange, aPlan);
  const instant sentAt = aState.Now();
  const auto head = co_await connection->Start(request, aUntil - sentAt);
  answer.mSendStatus = send_status::eUnknown;
  if (!head) {
    answer.mTimedOut = head.error() == errc::eDeadlinePassed;
    answer.mConnectionLost = head.error() == errc::eConnectionLost;
    connection->Abort();
    co_return answer;
  }
  aState.NoteReached(aPlan.mRunner);
  answer.mFacts = Wire::ReadAnswer(*head.value(), head.value()->result_int());
  if (!answer.mFacts.mRequestId.empty() && answer.mFacts.mRequestId != aRequestId) {
    connection->Abort(); // The response belongs to another request.
    co_return answer;
  }
  connection->mKeepFor = answer.mFacts.mKeepFor;
  aState.NoteNotice(aPlan.mRunner, answer.mFacts.mNotice);
  const bool ownAnswer = answer.mFacts.mHasReceipt && !answer.mFacts.mMisdirected;
  aState.NoteLimit({ aPlan.mRunner, answer.mFacts.mLimit, sentAt, ownAnswer });
  answer.mHead = FieldsForCaller(*head.value());
  answer.mConnection = connection;
  answer.mFraming = connection->Framing();
  answer.mSendStatus = answer.mFacts.mNotRun ? send_status::eNotRun : send_status::eAnswered;
  if (answer.mFacts.mStatus < 200) {
    connection->Abort();
    answer.mSendStatus = send_status::eUnknown;
  }
  co_return answer;
}

/** @return what a send without a usable response says about the runner. */
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

/** @return the fingerprint that identifies a caller's request across its retries. */
request_fingerprint
FingerprintOf(const caller_exchange& aExchange, const request_facts& aFacts);

/** Returns a connection to the pool. A disconnect of the caller no longer aborts it. */
inline void
ReturnConnection(forward_state& aState,
                 caller_exchange& aExchange,
                 const endpoint& aTo,
                 const upstream_ptr& aConnection)
{
  aExchange.OnDisconnect(nullptr);
  aState.mPool.Give(aTo, aConnection, aState.Now());
}

/** What becomes of a body that is too large to be held. */
enum class large_body
{
  ePassedOn, ///< It's passed on as it comes.
  eRejected, ///< It isn't used.
};

/**
 * Reads the rest of a response body.
 * @param aLarge one that is passed on is held for shorter while there's little room for answers.
 * @param aMaxBytes limit of the body's size.
 * @param aUntil when the body must be whole; kBodyGrace from now at the earliest.
 * @return success, eBodyTooLarge with the start of the body in @p aOut, eWrongAnswer if there was
 * no room for it, or the error that ended it.
 */
asio::awaitable<result<void>>
ReadBody(forward_state& aState,
         upstream_ptr aConnection,
         large_body aLarge,
         std::string& aOut,
         std::size_t aMaxBytes,
         instant aUntil);

/**
 * Sends an error response; status 503 tells that the request didn't run.
 * @param aRetryAfter when the caller may retry; 0: not stated.
 */
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
