/**
 * @file log_client.h
 * Client of the platform's log service. Published protocol: POST /log/append with
 * {"records":[text]} answers {"offset":first}; GET /log/read?from=N&wait_ms=W answers
 * {"first","next","records":[{"offset","time","data"}]}, or 410 if N is no longer kept.
 */
#pragma once

#include "log/log_type.h"
#include "net/http_client.h"

#include <concepts>

namespace dunehook {

/** A service with the log's read and append calls; satisfied by log_client and by fakes in tests.
 */
template<typename T>
concept log_service =
  requires(T& aLog, std::uint64_t aFrom, duration aWait, const std::vector<std::string>& aRecords)
{
  {
    aLog.Read(aFrom, aWait)
    } -> std::same_as<asio::awaitable<result<log_batch>>>;
  {
    aLog.Append(aRecords)
    } -> std::same_as<asio::awaitable<result<std::uint64_t>>>;
};

/** Reads and appends records of the log service over HTTP. */
class log_client
{
public:
  explicit log_client(endpoint aAddress)
    : mAddress(std::move(aAddress))
  {
  }

  /**
   * Reads records.
   * @param aFrom first offset wanted.
   * @param aWait how long the service may hold the answer while there are no records.
   * @return the batch, eRetentionPassed if the records are no longer kept, or eLogUnavailable.
   */
  asio::awaitable<result<log_batch>> Read(std::uint64_t aFrom, duration aWait);

  /**
   * Appends records with one call.
   * @return the first record's offset; eLogUnavailable if nothing was appended; eLogAmbiguous if
   * the answer was lost, so that the records may have been appended.
   */
  asio::awaitable<result<std::uint64_t>> Append(const std::vector<std::string>& aRecords);

  /** @return the oldest offset kept according to the last read. */
  std::uint64_t OldestKept() const { return mOldestKept; }

private:
  endpoint mAddress;             ///< Address of the service.
  http_pool mPool;               ///< Connections for reuse.
  std::uint64_t mOldestKept = 1; ///< From the last read.
};

static_assert(log_service<log_client>);

/** Reads the host list over HTTP. GET /hosts answers
 * {"hosts":[{"name","address","pool","hall","state"}]}.
 */
class host_list_client
{
public:
  explicit host_list_client(endpoint aAddress)
    : mAddress(std::move(aAddress))
  {
  }

  /** @return the hosts, live and leaving, or eLogUnavailable. */
  asio::awaitable<result<std::vector<host>>> Read();

private:
  endpoint mAddress; ///< Address of the service.
  http_pool mPool;   ///< Connections for reuse.
};

} // namespace dunehook
