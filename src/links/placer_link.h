/**
 * @file placer_link.h
 * Asks the daemon that places generations for all, and answers where this daemon is the one. The
 * first two daemons by RanksBefore() are told of every run; the first one that answers is asked. A
 * daemon that hears nothing in time asks the other, and then decides by itself.
 */
#pragma once

#include "links/daemon_link.h"
#include "messages/place_message.h"

namespace dunehook {

/** A placing daemon answers at once, if only that the question waits. One that has used up its part
 * of a core answers some tens of milliseconds later. */
inline constexpr duration kPlacerResponseTimeout = std::chrono::milliseconds(60);
/** A placing daemon that didn't answer isn't asked for so long. */
inline constexpr duration kPlacerRetryDelay = std::chrono::milliseconds(1500);
/** A daemon places once it has heard a digest of each other daemon's runs: they come each second.
 */
inline constexpr duration kPlacerWarmUp = std::chrono::milliseconds(1250);
/** Daemons that are told of all runs: the one that places, and the next, which takes over. */
inline constexpr std::size_t kMaxPlacers = 2;
/** Time between tries for questions that wait. */
inline constexpr duration kQueueInterval = std::chrono::milliseconds(15);

/** The link. */
class placer_link
{
public:
  placer_link(forward_state& aState, daemon_link& aLink);

  /** Opens the socket: the second port behind that of the heartbeats. */
  result<void> Open();
  /** Starts to take questions and answers. @param aReady tells whether this daemon takes callers.
   */
  void Start(std::function<bool()> aReady);

  /**
   * Asks for a place.
   * @param aGone tells whether the caller has left.
   * @return the answer, or nothing if this daemon must decide by itself.
   */
  asio::awaitable<std::optional<place_reply>> RequestPlace(place_question aQuestion,
                                                           std::function<bool()> aGone);
  /** Tells the daemons that place of runs. */
  void SendToPlacers(run_message aMessage);
  /** Looks which daemons place. Call it some times a second. @param aLate this pass was late: the
   * process has stood still. */
  void UpdatePlacers(bool aLate);

private:
  using udp = asio::ip::udp;

  /** A question on its way. */
  struct pending_question
  {
    pending_question(asio::io_context& aIo, std::uint32_t aRound)
      : mRound(aRound)
      , mReplyArrived(aIo)
    {
    }

    std::uint32_t mRound;              ///< Of the question.
    std::optional<place_reply> mReply; ///< The newest answer.
    wake_list mReplyArrived;           ///< Woken when an answer comes.
  };
  /** A daemon that places. */
  struct placer
  {
    incarnation_id mIncarnation; ///< Its run.
    endpoint mQuestionEndpoint;  ///< Where it takes questions.
    endpoint mRunEndpoint;       ///< Where it takes run messages.
    bool mSelf = false;          ///< It's this daemon.
  };

  /** Takes a question or an answer. */
  void HandleDatagram(std::string_view aData, const udp::endpoint& aFrom);
  asio::awaitable<void> ProcessQueue();
  asio::awaitable<void> SendDigests();
  /** Asks one daemon, and waits for the last answer. */
  asio::awaitable<std::optional<place_reply>> RequestFrom(const placer& aPlacer,
                                                          const place_question& aQuestion,
                                                          const std::function<bool()>& aGone);
  /** Waits for an answer. @return whether one came in time. */
  asio::awaitable<bool> WaitForReply(std::shared_ptr<pending_question> aPending,
                                     instant aUntil,
                                     const std::function<bool()>& aGone);
  place_reply Answer(const place_question& aQuestion, std::uint64_t aDaemon, const endpoint& aFrom);
  /** Hands an answer to whoever asked. @return whether somebody still waits for it. */
  bool Deliver(const place_reply& aReply);
  /** Takes a question back whose caller has left, and the place that it may have. */
  void Withdraw(run_id aRun);
  bool IsSkipped(const placer& aPlacer) const;

  forward_state& mState;                                        ///< Shared.
  daemon_link& mLink;                                           ///< The other daemons.
  udp::socket mSocket;                                          ///< Questions and answers.
  std::function<bool()> mReady;                                 ///< This daemon takes callers.
  std::vector<placer> mPlacers;                                 ///< The first ones, in order.
  std::map<incarnation_id, instant> mSkippedUntil;              ///< Those that didn't answer.
  std::map<run_id, std::shared_ptr<pending_question>> mPending; ///< Questions on their way.
  instant mWarmUpUntil{ 0 };                                    ///< This daemon places after that.
  std::uint32_t mRounds = 0;                                    ///< Questions asked.
  std::uint32_t mEmptyDigests = 0;                              ///< Told in a row.
};

} // namespace dunehook
