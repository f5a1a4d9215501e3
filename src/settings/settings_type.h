/**
 * @file settings_type.h
 * Settings of a daemon, read once at its start. Every key is checked; all faults are reported
 * together with line and column.
 */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/finding_type.h"
#include "net/http_server.h"
#include "net/net_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace dunehook {

/** Settings of `dunehookd`. */
struct daemon_settings
{
  std::string mName;              ///< Name of this daemon's host.
  std::string mHall;              ///< Data hall the host stands in.
  endpoint mCallers;              ///< Where callers connect.
  http_limits mCallerLimits;      ///< Limits of callers' connections.
  endpoint mOperators;            ///< Where operators connect.
  std::string mOperatorTokenFile; ///< File that holds the operators' secret.
  endpoint mPeers;                ///< Where other daemons connect: TCP and UDP.
  std::string mPeerSecretFile;    ///< File that holds the daemons' common secret.
  std::vector<endpoint> mSeeds;   ///< Daemons to greet first, besides those of the host list.
  duration mHeartbeat = std::chrono::milliseconds(150); ///< Time between heartbeats.
  duration mFailAfter = std::chrono::milliseconds(900); ///< Silence after which a daemon is gone.
  double mPeerBytesPerSecond = 11264.0; ///< Budget of heartbeats, in bytes a second.
  endpoint mLog;                        ///< The platform's log service.
  endpoint mHostList;                   ///< The platform's host list.
  double mAppendsPerSecond = 10.0;      ///< This daemon's share of the log's append rate.
  std::uint64_t mSnapshotEvery = 2000;  ///< Records between snapshots.
  duration mHostListEvery =
    std::chrono::milliseconds(500);                 ///< Time between reads of the host list.
  duration mDrainLimit = std::chrono::seconds(120); ///< Longest planned stop.
};

/** Settings read, and what is wrong with them. */
struct settings_report
{
  daemon_settings mSettings; ///< Valid only if there are no findings.
  finding_list mFindings;    ///< All faults, in the order of the file.
};

/**
 * Reads settings.
 * @param aText the TOML text.
 */
settings_report
ParseSettings(std::string_view aText);

/** Reads settings from a file; a file that can't be read is a finding. */
settings_report
LoadSettings(const std::string& aPath);

/**
 * Reads a secret.
 * @return the file's first line, or eNotFound if there is none.
 */
result<std::string>
LoadSecret(const std::string& aPath);

/** @return a finding as "file:line:column: place: message". */
std::string
Describe(const finding& aFinding, std::string_view aFile);

} // namespace dunehook
