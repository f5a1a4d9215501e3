/**
 * @file store_view.h
 * What the users' store holds, for operators: configuration in force, runners, holder of the term.
 * Reads only; the operator writes the store by the platform's own means.
 */
#pragma once

#include "cli/cli_func.h"
#include "messages/wire_type.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <iostream>

namespace dunehook {

/** @return a row for each route of a configuration. */
nlohmann::json
RouteRows(const routing_config& aConfig);

/** @return a row for each runner of a listing. */
nlohmann::json
RunnerRows(const runner_listing& aListing);

/** Prints rows as a table, columns in the order of their names, or as JSON. */
void
PrintRows(const nlohmann::json& aRows, bool aAsJson);

/** Prints that the store gave no answer. @return the exit code. */
int
PrintStoreFailure(const std::error_code& aError);

/** The commands. */
template<control_store Store>
class store_view
{
public:
  store_view(Store& aStore, const cli_options& aOptions)
    : mStore(aStore)
    , mOptions(aOptions)
  {
  }

  /** Runs the command line's command. @param aCode receives the exit code. */
  asio::awaitable<void> Run(int& aCode)
  {
    const std::string& command = mOptions.mWords[0];
    if (command == "status") {
      aCode = co_await Status();
    } else if (command == "watch") {
      aCode = co_await Watch();
    } else {
      aCode = co_await Get();
    }
  }

private:
  static constexpr int kExitOk = 0;
  static constexpr int kExitBadInput = 2;
  /** How long an answer may take to begin; the store answers in some ms when it's well. */
  static constexpr duration kAnswerTime = std::chrono::milliseconds(1500);
  /** How long one read waits for a change. */
  static constexpr duration kChangeWait = std::chrono::seconds(1);

  asio::awaitable<int> Get()
  {
    const std::string kind = mOptions.mWords.size() > 1 ? mOptions.mWords[1] : "";
    if (kind == "runners") {
      const result<runner_listing> listing = co_await mStore.ReadRunners();
      if (!listing) {
        co_return PrintStoreFailure(listing.error());
      }
      PrintRows(RunnerRows(listing.value()), mOptions.mJson);
      co_return kExitOk;
    }
    if (kind != "routes") {
      std::cerr << "get needs a kind: routes or runners\n";
      co_return kExitBadInput;
    }
    const result<config_reading> reading = co_await mStore.ReadConfig(kAnswerTime);
    if (!reading) {
      co_return PrintStoreFailure(reading.error());
    }
    PrintRows(RouteRows(reading.value().mConfig.value_or(routing_config{})), mOptions.mJson);
    co_return kExitOk;
  }

  asio::awaitable<int> Status()
  {
    const result<config_reading> reading = co_await mStore.ReadConfig(kAnswerTime);
    if (!reading) {
      co_return PrintStoreFailure(reading.error());
    }
    const result<runner_listing> listing = co_await mStore.ReadRunners();
    if (!listing) {
      co_return PrintStoreFailure(listing.error());
    }
    const result<term_record> term = co_await mStore.ReadTerm();
    if (!term) {
      co_return PrintStoreFailure(term.error());
    }
    const routing_config config = reading.value().mConfig.value_or(routing_config{});
    std::size_t leaving = 0;
    for (const runner_entry& runner : listing.value().mRunners) {
      leaving += runner.mLeaving ? 1 : 0;
    }
    nlohmann::json row{ { "config_version", config.mVersion },
                        { "routes", config.mRoutes.size() },
                        { "services", config.mServices.size() },
                        { "runners", listing.value().mRunners.size() },
                        { "leaving", leaving },
                        { "term", term.value().mTerm },
                        { "term_holder", term.value().mHolder } };
    PrintRows(nlohmann::json::array({ std::move(row) }), mOptions.mJson);
    co_return kExitOk;
  }

  /** Prints a line for each version that comes into force. */
  asio::awaitable<int> Watch()
  {
    const instant start = boot_clock_source().Now();
    std::uint64_t shown = 0;
    result<config_reading> reading = co_await mStore.ReadConfig(kAnswerTime);
    for (;;) {
      if (!reading) {
        co_return PrintStoreFailure(reading.error());
      }
      const std::optional<routing_config>& config = reading.value().mConfig;
      if (config && config->mVersion > shown) {
        shown = config->mVersion;
        std::cout << nlohmann::json{
          { "config_version", shown }, { "routes", config->mRoutes.size() }
        }.dump() << std::endl;
      }
      const double watched = ToSeconds(boot_clock_source().Now() - start);
      if (mOptions.mSeconds != 0 && watched >= mOptions.mSeconds) {
        co_return kExitOk;
      }
      const store_mark next = reading.value().mNext;
      reading = co_await mStore.AwaitConfig(next, kChangeWait);
    }
  }

  Store& mStore;               ///< The store.
  const cli_options& mOptions; ///< What the command line said.
};

} // namespace dunehook
