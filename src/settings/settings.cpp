/**
 * @file settings.cpp
 * Reading of settings: a table of keys, each with its reader.
 */
#include "settings/settings_type.h"

#include "core/text_func.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

namespace dunehook {

namespace {

/** Reads values of a TOML document and collects findings. */
class settings_reader
{
public:
  explicit settings_reader(const toml::table& aRoot)
    : mRoot(aRoot)
  {
  }

  void Text(std::string_view aKey, std::string& aField)
  {
    const toml::node* const node = Take(aKey, true);
    if (node == nullptr) {
      return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
      Report(*node, aKey, "must be a text that isn't empty");
      return;
    }
    aField = *value;
  }

  void Address(std::string_view aKey, endpoint& aField)
  {
    std::string text;
    const std::size_t before = mFindings.size();
    Text(aKey, text);
    if (mFindings.size() != before) {
      return;
    }
    const result<endpoint> parsed = ParseEndpoint(text);
    if (!parsed) {
      Report(*Find(aKey), aKey, "must be an IP number and a port, such as \"127.0.0.1:8080\"");
      return;
    }
    aField = parsed.value();
  }

  void Addresses(std::string_view aKey, std::vector<endpoint>& aField)
  {
    const toml::node* const node = Take(aKey, false);
    if (node == nullptr) {
      return;
    }
    if (!node->is_array()) {
      Report(*node, aKey, "must be a list of addresses");
      return;
    }
    for (const toml::node& item : *node->as_array()) {
      const result<endpoint> parsed = ParseEndpoint(item.value_or(std::string()));
      if (parsed) {
        aField.push_back(parsed.value());
      } else {
        Report(item, aKey, "must hold IP numbers with ports");
      }
    }
  }

  /** Reads a number between bounds into a field of any number type. */
  template<typename T>
  void Number(std::string_view aKey, T& aField, double aLeast, double aMost)
  {
    const toml::node* const node = Take(aKey, false);
    if (node == nullptr) {
      return;
    }
    const std::optional<double> value =
      node->is_number() ? node->value<double>() : std::optional<double>();
    if (!value || *value < aLeast || *value > aMost) {
      Report(*node, aKey, Join("must be a number from ", aLeast, " to ", aMost));
      return;
    }
    aField = static_cast<T>(*value);
  }

  void Milliseconds(std::string_view aKey, duration& aField, double aLeast, double aMost)
  {
    std::int64_t value = std::chrono::duration_cast<std::chrono::milliseconds>(aField).count();
    Number(aKey, value, aLeast, aMost);
    aField = std::chrono::milliseconds(value);
  }

  /** Reports every key that nobody asked for. */
  void ReportUnknown()
  {
    for (const auto& [section, node] : mRoot) {
      const std::string name(section.str());
      if (!node.is_table()) {
        Report(node, name, "unknown key");
        continue;
      }
      for (const auto& [key, value] : *node.as_table()) {
        const std::string path = Join(name, ".", std::string(key.str()));
        if (!mKnown.contains(path)) {
          Report(value, path, "unknown key");
        }
      }
    }
  }

  /** @return the findings in the order of the file. */
  finding_list Findings()
  {
    std::stable_sort(mFindings.begin(), mFindings.end(), [](const auto& aOne, const auto& aTwo) {
      return std::tie(aOne.mLine, aOne.mColumn) < std::tie(aTwo.mLine, aTwo.mColumn);
    });
    return mFindings;
  }

private:
  const toml::node* Find(std::string_view aKey) const
  {
    const std::size_t dot = aKey.find('.');
    const toml::table* const section = mRoot[aKey.substr(0, dot)].as_table();
    return section == nullptr ? nullptr : section->get(aKey.substr(dot + 1));
  }

  const toml::node* Take(std::string_view aKey, bool aRequired)
  {
    mKnown.emplace(aKey);
    const toml::node* const node = Find(aKey);
    if (node == nullptr && aRequired) {
      const std::string_view section = aKey.substr(0, aKey.find('.'));
      const toml::node* const table = mRoot.get(section);
      Report(table == nullptr ? mRoot : *table, aKey, "must be given");
    }
    return node;
  }

  void Report(const toml::node& aNode, std::string_view aKey, std::string aMessage)
  {
    const toml::source_position at = aNode.source().begin;
    mFindings.push_back({ std::string(aKey), std::move(aMessage), at.line, at.column });
  }

  const toml::table& mRoot;     ///< The document.
  std::set<std::string> mKnown; ///< Keys that were asked for.
  finding_list mFindings;       ///< Faults found.
};

void
ReadAll(settings_reader& aReader, daemon_settings& aSettings)
{
  aReader.Text("daemon.name", aSettings.mName);
  aReader.Text("daemon.hall", aSettings.mHall);
  aReader.Milliseconds("daemon.drain_limit_ms", aSettings.mDrainLimit, 0, 3'600'000);
  aReader.Address("callers.listen", aSettings.mCallers);
  aReader.Number("callers.header_bytes", aSettings.mCallerLimits.mHeaderBytes, 256, 1 << 20);
  aReader.Number("callers.body_bytes", aSettings.mCallerLimits.mBodyBytes, 1, 1 << 30);
  aReader.Milliseconds("callers.read_ms", aSettings.mCallerLimits.mReadTimeout, 1, 3'600'000);
  aReader.Milliseconds("callers.write_ms", aSettings.mCallerLimits.mWriteTimeout, 1, 3'600'000);
  aReader.Number("callers.connections", aSettings.mCallerLimits.mConnections, 1, 1'000'000);
  aReader.Address("operators.listen", aSettings.mOperators);
  aReader.Text("operators.token_file", aSettings.mOperatorTokenFile);
  aReader.Address("peers.listen", aSettings.mPeers);
  aReader.Text("peers.secret_file", aSettings.mPeerSecretFile);
  aReader.Addresses("peers.seeds", aSettings.mSeeds);
  aReader.Milliseconds("peers.heartbeat_ms", aSettings.mHeartbeat, 10, 60'000);
  aReader.Milliseconds("peers.fail_after_ms", aSettings.mFailAfter, 20, 600'000);
  aReader.Number("peers.bytes_per_second", aSettings.mPeerBytesPerSecond, 512, 1e9);
  aReader.Address("platform.log", aSettings.mLog);
  aReader.Address("platform.host_list", aSettings.mHostList);
  aReader.Number("platform.appends_per_second", aSettings.mAppendsPerSecond, 0.01, 100);
  aReader.Number("platform.snapshot_every", aSettings.mSnapshotEvery, 1, 1e9);
  aReader.Milliseconds("platform.host_list_ms", aSettings.mHostListEvery, 10, 60'000);
}

} // namespace

settings_report
ParseSettings(std::string_view aText)
{
  settings_report report;
  const toml::parse_result parsed = toml::parse(aText);
  if (!parsed) {
    const toml::source_position at = parsed.error().source().begin;
    report.mFindings.push_back(
      { "toml", std::string(parsed.error().description()), at.line, at.column });
    return report;
  }
  settings_reader reader(parsed.table());
  ReadAll(reader, report.mSettings);
  reader.ReportUnknown();
  report.mFindings = reader.Findings();
  return report;
}

settings_report
LoadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    settings_report report;
    report.mFindings.push_back({ aPath, "can't be read" });
    return report;
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str());
}

result<std::string>
LoadSecret(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string line;
  if (!std::getline(file, line) || line.empty()) {
    return make_error_code(errc::eNotFound);
  }
  return line;
}

std::string
Describe(const finding& aFinding, std::string_view aFile)
{
  return Join(aFile,
              ":",
              aFinding.mLine,
              ":",
              aFinding.mColumn,
              ": ",
              aFinding.mPlace,
              ": ",
              aFinding.mMessage);
}

} // namespace dunehook
