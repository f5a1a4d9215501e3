/**
 * @file store_view.cpp
 * Rows and tables of what the store holds.
 */
#include "cli/store_view.h"

namespace dunehook {

namespace {

using json = nlohmann::json;

std::string_view
RepeatName(repeat_rule aRule)
{
  switch (aRule) {
    case repeat_rule::eRepeatable:
      return "repeatable";
    case repeat_rule::eOnce:
      return "once";
    case repeat_rule::eStream:
      return "stream";
  }
  return "unknown";
}

std::int64_t
Millis(duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

std::string
CellText(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

} // namespace

json
RouteRows(const routing_config& aConfig)
{
  json rows = json::array();
  for (const forward_route& route : aConfig.mRoutes) {
    json services = json::object();
    for (const weighted_service& part : route.mServices) {
      services[part.mService] = part.mWeight;
    }
    rows.push_back({ { "host", route.mHost },
                     { "path", route.mPathPrefix },
                     { "repeat", RepeatName(route.mRepeat) },
                     { "resumable", route.mResumable },
                     { "services", services },
                     { "target_ms", Millis(route.mFirstAnswer) },
                     { "timeout_ms", Millis(route.mTimeout) } });
  }
  return rows;
}

json
RunnerRows(const runner_listing& aListing)
{
  json rows = json::array();
  for (const runner_entry& runner : aListing.mRunners) {
    rows.push_back({ { "address", ToText(runner.mAddress) },
                     { "hall", runner.mHall },
                     { "leaving", runner.mLeaving },
                     { "name", runner.mName },
                     { "role", RoleName(runner.mRole) },
                     { "service", runner.mService },
                     { "slots", runner.mSlots } });
  }
  return rows;
}

void
PrintRows(const json& aRows, bool aAsJson)
{
  if (aAsJson) {
    std::cout << aRows.dump(2) << "\n";
    return;
  }
  std::map<std::string, std::size_t> widths;
  for (const json& row : aRows) {
    for (const auto& [column, value] : row.items()) {
      std::size_t& width = widths.try_emplace(column, column.size()).first->second;
      width = std::max(width, CellText(value).size());
    }
  }
  for (const auto& [column, width] : widths) {
    std::cout << absl::StrFormat("%-*s  ", width, column);
  }
  std::cout << "\n";
  for (const json& row : aRows) {
    for (const auto& [column, width] : widths) {
      std::cout << absl::StrFormat("%-*s  ", width, CellText(row.at(column)));
    }
    std::cout << "\n";
  }
}

int
PrintStoreFailure(const std::error_code& aError)
{
  std::cerr << "the store gave no answer: " << ErrorName(aError) << "\n";
  return 1;
}

} // namespace dunehook
