/**
 * @file report.cpp
 * Draws a plot from the policy bench's CSV: one line a policy over the load, as SVG.
 */
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

ABSL_FLAG(std::string, csv, "", "file of the policy bench");
ABSL_FLAG(std::string, column, "goodput", "column to draw");
ABSL_FLAG(std::string, out, "plot.svg", "file to write");

namespace dunehook::bench {
namespace {

constexpr double kWidth = 640;
constexpr double kHeight = 400;
constexpr double kMargin = 60;
constexpr std::array<const char*, 8> kColours{ "#1b6ca8", "#c0392b", "#27ae60", "#8e44ad",
                                               "#d35400", "#16a085", "#7f8c8d", "#2c3e50" };

/** One policy's points. */
using series = std::vector<std::pair<double, double>>;

/** Points by policy, with the range of their values. */
struct chart
{
  std::map<std::string, series> mSeries; ///< By policy.
  double mLeast = 1e9;                   ///< Smallest load.
  double mMost = -1e9;                   ///< Largest load.
  double mTop = 0;                       ///< Largest value.
};

bool
ReadChart(const std::string& aPath, const std::string& aColumn, chart& aChart)
{
  std::ifstream file(aPath);
  std::string line;
  std::getline(file, line);
  const std::vector<std::string> head = absl::StrSplit(line, ',');
  const auto column = std::find(head.begin(), head.end(), aColumn);
  if (column == head.end()) {
    return false;
  }
  const auto index = static_cast<std::size_t>(column - head.begin());
  while (std::getline(file, line)) {
    const std::vector<std::string> cells = absl::StrSplit(line, ',');
    const double load = std::stod(cells.at(2));
    const double value = std::stod(cells.at(index));
    aChart.mSeries[cells.at(1)].emplace_back(load, value);
    aChart.mLeast = std::min(aChart.mLeast, load);
    aChart.mMost = std::max(aChart.mMost, load);
    aChart.mTop = std::max(aChart.mTop, value);
  }
  return !aChart.mSeries.empty();
}

double
PlaceX(const chart& aChart, double aLoad)
{
  const double span = std::max(1e-9, aChart.mMost - aChart.mLeast);
  return kMargin + (aLoad - aChart.mLeast) / span * (kWidth - 3 * kMargin);
}

double
PlaceY(const chart& aChart, double aValue)
{
  return kHeight - kMargin - aValue / std::max(1e-9, aChart.mTop) * (kHeight - 2 * kMargin);
}

void
WriteAxes(std::ostream& aOut, const chart& aChart, const std::string& aTitle)
{
  constexpr int kMarks = 5;
  aOut << absl::StrFormat(
    "<text x='%f' y='24' font-size='16'>%s over load</text>\n", kMargin, aTitle);
  for (int mark = 0; mark <= kMarks; ++mark) {
    const double value = aChart.mTop * mark / kMarks;
    const double load = aChart.mLeast + (aChart.mMost - aChart.mLeast) * mark / kMarks;
    aOut << absl::StrFormat("<line x1='%f' x2='%f' y1='%f' y2='%f' stroke='#ddd'/>\n",
                            kMargin,
                            kWidth - 2 * kMargin,
                            PlaceY(aChart, value),
                            PlaceY(aChart, value));
    aOut << absl::StrFormat("<text x='8' y='%f'>%.3g</text>\n", PlaceY(aChart, value) + 4, value);
    aOut << absl::StrFormat(
      "<text x='%f' y='%f'>%.2g</text>\n", PlaceX(aChart, load) - 8, kHeight - kMargin + 20, load);
  }
}

void
WriteSeries(std::ostream& aOut, const chart& aChart)
{
  std::size_t number = 0;
  for (const auto& [name, points] : aChart.mSeries) {
    const char* const colour = kColours.at(number % kColours.size());
    aOut << "<polyline fill='none' stroke-width='2' stroke='" << colour << "' points='";
    for (const auto& [load, value] : points) {
      aOut << absl::StrFormat("%.1f,%.1f ", PlaceX(aChart, load), PlaceY(aChart, value));
    }
    aOut << "'/>\n";
    aOut << absl::StrFormat("<text x='%f' y='%f' fill='%s'>%s</text>\n",
                            kWidth - 2 * kMargin + 8,
                            kMargin + 18.0 * static_cast<double>(number),
                            colour,
                            name);
    ++number;
  }
}

} // namespace
} // namespace dunehook::bench

int
main(int aCount, char** aValues)
{
  using namespace dunehook::bench;
  absl::SetProgramUsageMessage("draws a plot from the policy bench's CSV");
  absl::ParseCommandLine(aCount, aValues);
  chart plot;
  if (!ReadChart(absl::GetFlag(FLAGS_csv), absl::GetFlag(FLAGS_column), plot)) {
    std::cerr << "no such column, or no rows\n";
    return 2;
  }
  std::ofstream out(absl::GetFlag(FLAGS_out));
  out << absl::StrFormat("<svg xmlns='http://www.w3.org/2000/svg' width='%f' height='%f' "
                         "font-family='sans-serif' font-size='12'>\n"
                         "<rect width='100%%' height='100%%' fill='white'/>\n",
                         kWidth + kMargin,
                         kHeight);
  WriteAxes(out, plot, absl::GetFlag(FLAGS_column));
  WriteSeries(out, plot);
  out << "</svg>\n";
  return 0;
}
