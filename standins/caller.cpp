/**
 * @file caller.cpp
 * Load caller: sends practice turns at a steady rate, checks every text, and prints times to the
 * first token. Calls that are still open after kOpenCallsAfter are printed as they are then. With
 * --prefill and --decode it makes the same calls straight to the engines, for comparison. With
 * --show it prints one answer as it streams.
 */
#include "core/attempt_type.h"
#include "runners/engine_client.h"
#include "standins/common/token_text.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <iostream>
#include <map>

ABSL_FLAG(std::vector<std::string>, daemons, {}, "callers' addresses of the daemons, by commas");
ABSL_FLAG(std::string, prefill, "", "call this prefill engine straight");
ABSL_FLAG(std::string, decode, "", "call this decode engine straight");
ABSL_FLAG(std::string, model, "tutor", "model to call");
ABSL_FLAG(double, rate, 20, "calls a second");
ABSL_FLAG(int, calls, 100, "calls in all");
ABSL_FLAG(int, tokens, 20, "tokens of each answer");
ABSL_FLAG(int, prompt_bytes, 800, "size of each prompt");
ABSL_FLAG(bool, show, false, "print the events of one call");

namespace dunehook {
namespace {

using json = nlohmann::json;

/** Time after the start at which open calls are printed. */
constexpr duration kOpenCallsAfter = std::chrono::seconds(20);

/** How far a call has come. */
struct open_call
{
  std::string mDaemon;       ///< Callers' address of the daemon.
  instant mSince{ 0 };       ///< When it began.
  std::string_view mStage;   ///< What it waits for.
  std::size_t mReceived = 0; ///< Bytes of the answer so far.
};

/** What became of the calls. */
struct tally
{
  std::vector<double> mFirstTokenMs; ///< Of whole answers.
  std::uint64_t mDone = 0;           ///< Whole answers with the right text.
  std::uint64_t mWrong = 0;          ///< Whole answers with another text.
  std::uint64_t mRefused = 0;        ///< Refusals.
  std::uint64_t mFailed = 0;         ///< Anything else.
  std::uint64_t mTokens = 0;         ///< Tokens received.
  std::map<int, open_call> mOpen;    ///< Calls to daemons that haven't ended, by number.
};

std::string
MakePrompt(int aCall)
{
  std::string prompt = "learner " + std::to_string(aCall) + ": ";
  while (prompt.size() < static_cast<std::size_t>(absl::GetFlag(FLAGS_prompt_bytes))) {
    prompt += "how do I say this on the bus? ";
  }
  return prompt;
}

/** Takes the texts of whole events out of a buffer. */
void
TakeEvents(std::string& aBuffer, std::string& aText, bool& aDone, std::uint64_t& aTokens)
{
  for (std::size_t end = aBuffer.find("\n\n"); end != std::string::npos;
       end = aBuffer.find("\n\n")) {
    const std::string line = aBuffer.substr(0, end);
    aBuffer.erase(0, end + 2);
    if (line == "data: [DONE]") {
      aDone = true;
      continue;
    }
    const json event = json::parse(line.substr(6), nullptr, false);
    if (event.is_object() && event.contains("token")) {
      aText += event["choices"][0].value("text", std::string());
      ++aTokens;
    }
  }
}

asio::awaitable<void>
CallDaemon(http_pool& aPool, endpoint aDaemon, int aCall, tally& aTally)
{
  constexpr duration kLimit = std::chrono::seconds(30);
  const instant start = boot_clock_source().Now();
  const std::string prompt = MakePrompt(aCall);
  const auto tokens = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_tokens));
  http_call call;
  call.mMethod = http::verb::post;
  call.mTarget = "/v1/completions";
  call.mBody = json{
    { "model", absl::GetFlag(FLAGS_model) },
    { "prompt", prompt },
    { "max_tokens", tokens },
    { "stream", true }
  }.dump();
  open_call& open = aTally.mOpen[aCall];
  open = { ToText(aDaemon), start, "connection", 0 };
  const auto connection = co_await aPool.Acquire(aDaemon, kLimit);
  open.mStage = "head";
  const result<unsigned> status =
    connection ? co_await connection.value()->Start(call, kLimit, kUnlimitedBody)
               : result<unsigned>(connection.error());
  if (!status || status.value() != 200) {
    ++(status ? aTally.mRefused : aTally.mFailed);
    aTally.mOpen.erase(aCall);
    co_return;
  }
  open.mStage = "events";
  std::string buffer;
  std::string text;
  bool done = false;
  double firstMs = 0;
  for (bool more = true; more;) {
    const std::size_t before = buffer.size();
    const result<bool> read =
      co_await connection.value()->ReadSome(buffer, boot_clock_source().Now() + kLimit);
    if (absl::GetFlag(FLAGS_show)) {
      std::cout << buffer.substr(before) << std::flush;
    }
    if (firstMs == 0 && !buffer.empty()) {
      firstMs = ToSeconds(boot_clock_source().Now() - start) * 1000;
    }
    open.mReceived += buffer.size() - before;
    TakeEvents(buffer, text, done, aTally.mTokens);
    more = read && read.value();
  }
  aTally.mOpen.erase(aCall);
  aPool.Release(aDaemon, connection.value());
  if (!done) {
    ++aTally.mFailed;
  } else if (text != AnswerText(prompt, tokens)) {
    ++aTally.mWrong;
  } else {
    ++aTally.mDone;
    aTally.mFirstTokenMs.push_back(firstMs);
  }
}

asio::awaitable<void>
CallEngines(engine_client& aEngines, attempt_id aAttempt, tally& aTally)
{
  constexpr duration kLimit = std::chrono::seconds(30);
  const endpoint prefill = ParseEndpoint(absl::GetFlag(FLAGS_prefill)).value();
  const endpoint decode = ParseEndpoint(absl::GetFlag(FLAGS_decode)).value();
  const instant start = boot_clock_source().Now();
  const std::string prompt = MakePrompt(static_cast<int>(aAttempt.mCounter));
  const auto tokens = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_tokens));
  http_connection_ptr used;
  const prefill_call read{ aAttempt, prompt, "", 0 };
  const auto answer = co_await aEngines.Prefill(prefill, read, kLimit, used);
  if (!answer) {
    ++aTally.mFailed;
    co_return;
  }
  const std::uint64_t bytes = answer.value().mKvBytes;
  const import_call move{ aAttempt, prefill, 0, bytes, bytes };
  if (!co_await aEngines.Import(decode, move, kLimit)) {
    ++aTally.mRefused;
    co_return;
  }
  const decode_call generate{ aAttempt, 0, tokens };
  const auto stream = co_await aEngines.Decode(decode, generate, kLimit);
  if (!stream) {
    ++aTally.mFailed;
    co_return;
  }
  token_parser parser(aAttempt);
  std::vector<token> received;
  double firstMs = 0;
  for (bool more = true; more;) {
    std::string some;
    const result<bool> got =
      co_await stream.value()->ReadSome(some, boot_clock_source().Now() + kLimit);
    if (firstMs == 0 && !some.empty()) {
      firstMs = ToSeconds(boot_clock_source().Now() - start) * 1000;
    }
    more = parser.Take(some, received) && got && got.value();
  }
  aEngines.Give(decode, stream.value());
  aTally.mTokens += received.size();
  ++(parser.Done() ? aTally.mDone : aTally.mFailed);
  aTally.mFirstTokenMs.push_back(firstMs);
}

void
PrintOpenCalls(const tally& aTally)
{
  for (const auto& [number, call] : aTally.mOpen) {
    const duration open = boot_clock_source().Now() - call.mSince;
    std::cout << json{
      { "open_call", number },
      { "daemon", call.mDaemon },
      { "waits_for", call.mStage },
      { "received", call.mReceived },
      { "ms", open.count() / 1000 }
    }.dump() << std::endl;
  }
}

asio::awaitable<void>
RunAll(asio::io_context& aIo, engine_client& aEngines, http_pool& aPool, tally& aTally, int& aOpen)
{
  const incarnation_id self = DrawIncarnation();
  const instant start = boot_clock_source().Now();
  const auto daemons = absl::GetFlag(FLAGS_daemons);
  const int calls = absl::GetFlag(FLAGS_calls);
  for (int call = 0; call < calls; ++call) {
    co_await Sleep(start + FromSeconds(call / absl::GetFlag(FLAGS_rate)) -
                   boot_clock_source().Now());
    ++aOpen;
    const auto finished = [&aOpen](const std::exception_ptr&) { --aOpen; };
    if (!absl::GetFlag(FLAGS_prefill).empty()) {
      const attempt_id attempt{ self, static_cast<std::uint64_t>(call) + 1 };
      asio::co_spawn(aIo, CallEngines(aEngines, attempt, aTally), finished);
      continue;
    }
    const std::string& target = daemons[static_cast<std::size_t>(call) % daemons.size()];
    asio::co_spawn(aIo, CallDaemon(aPool, ParseEndpoint(target).value(), call, aTally), finished);
  }
  bool printed = false;
  while (aOpen > 0) {
    co_await Sleep(std::chrono::milliseconds(5));
    if (!printed && boot_clock_source().Now() - start >= kOpenCallsAfter) {
      printed = true;
      PrintOpenCalls(aTally);
    }
  }
}

double
Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

} // namespace
} // namespace dunehook

int
main(int aCount, char** aValues)
{
  absl::ParseCommandLine(aCount, aValues);
  if (absl::GetFlag(FLAGS_daemons).empty() && absl::GetFlag(FLAGS_prefill).empty()) {
    std::cerr << "--daemons or --prefill and --decode must be given\n";
    return 2;
  }
  dunehook::asio::io_context io(1);
  dunehook::engine_client engines;
  dunehook::http_pool pool;
  dunehook::tally tally;
  int open = 0;
  const auto start = dunehook::boot_clock_source().Now();
  dunehook::Spawn(io, dunehook::RunAll(io, engines, pool, tally, open));
  io.run();
  const double seconds = dunehook::ToSeconds(dunehook::boot_clock_source().Now() - start);
  const nlohmann::json summary{
    { "done", tally.mDone },
    { "wrong", tally.mWrong },
    { "refused", tally.mRefused },
    { "failed", tally.mFailed },
    { "tokens", tally.mTokens },
    { "seconds", seconds },
    { "first_token_p50_ms", dunehook::Quantile(tally.mFirstTokenMs, 0.5) },
    { "first_token_p99_ms", dunehook::Quantile(tally.mFirstTokenMs, 0.99) }
  };
  std::cout << summary.dump() << std::endl;
  return tally.mWrong == 0 ? 0 : 1;
}
