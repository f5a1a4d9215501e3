/**
 * @file engine_calls.h
 * Calls to engines besides the forwarded requests: reservations, and the release of what is no
 * longer needed.
 */
#pragma once

#include "core/log_func.h"
#include "messages/wire_type.h"
#include "state/forward_state.h"

namespace dunehook {

/** Limit of a reservation or release call; engines answer these at once. */
inline constexpr duration kSideCallTimeout = std::chrono::milliseconds(250);

/**
 * Side calls to engines. Each may be repeated: a reservation whose answer is lost expires at the
 * engine.
 */
template<wire_format Wire>
class engine_calls
{
public:
  explicit engine_calls(forward_state& aState)
    : mState(aState)
  {
  }

  /**
   * Reserves memory for a generation.
   * @return the reservation, eRunnerRefused if the engine has no room or the permit isn't valid, or
   * the error that kept the answer away.
   */
  asio::awaitable<result<reservation>> Reserve(service_runner_id aEngine,
                                               send_permit aPermit,
                                               endpoint aAt,
                                               std::uint32_t aTokens,
                                               duration aLifetime)
  {
    if (!aPermit.IsValid(mState.Now())) {
      co_return make_error_code(errc::eRunnerRefused);
    }
    const http_call call = Wire::ReserveCall(aTokens, aLifetime);
    const instant sentAt = mState.Now();
    const result<http_answer> called =
      co_await mState.mSideCalls.Call(aAt, call, kSideCallTimeout, kMaxSideAnswerBytes);
    if (!called && IsWrongAnswer(called.error())) {
      mState.NoteReached(aEngine);
      co_return called.error();
    }
    if (!called) {
      mState.NoteUnreachable(aEngine);
      co_return called.error();
    }
    const http_answer& answer = called.value();
    mState.NoteReached(aEngine);
    mState.NoteNotice(aEngine, Wire::ReadNotice(answer));
    mState.NoteLimit({ aEngine, Wire::ReadLimit(answer), sentAt, false });
    if (answer.mStatus != 200) {
      co_return make_error_code(errc::eRunnerRefused);
    }
    co_return Wire::ReadReservation(answer.mBody);
  }

  /** Releases a reservation without waiting for the answer. */
  void Release(service_runner_id aEngine, const endpoint& aAt, const reservation& aReservation)
  {
    SendInBackground(aEngine, aAt, Wire::ReleaseCall(aReservation));
  }

  /** Frees a prefill result without waiting for the answer. */
  void Free(service_runner_id aEngine, const endpoint& aAt, const prefill_result& aResult)
  {
    SendInBackground(aEngine, aAt, Wire::FreePrefillCall(aResult));
  }

private:
  /** @return whether the engine was reached and sent bytes that are no answer to a side call. */
  static bool IsWrongAnswer(const std::error_code& aError)
  {
    return aError == errc::eWrongAnswer || aError == errc::eBodyTooLarge;
  }

  /** Sends a call that frees something, which no limit holds back. */
  void SendInBackground(service_runner_id aEngine, const endpoint& aAt, http_call aCall)
  {
    const send_permit permit = mState.mChargePermit(aEngine);
    SpawnGuarded(mState.mIo, Send(mState, permit, aAt, std::move(aCall)));
  }

  static asio::awaitable<void> Send(forward_state& aState,
                                    send_permit aPermit,
                                    endpoint aAt,
                                    http_call aCall)
  {
    const instant sentAt = aState.Now();
    const result<http_answer> answer =
      co_await aState.mSideCalls.Call(aAt, aCall, kSideCallTimeout, kMaxSideAnswerBytes);
    if (!answer) { // The engine frees it when its own time limit passes.
      LogEvent(log_level::eInfo, "release_unanswered", { { "at", ToText(aAt) } });
      co_return;
    }
    aState.NoteLimit({ aPermit.Runner(), Wire::ReadLimit(answer.value()), sentAt, false });
  }

  forward_state& mState; ///< State shared by the daemon's components.
};

} // namespace dunehook
