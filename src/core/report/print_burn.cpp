#include <figslip/report/print_burn.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <string_view>

namespace figslip::report {

namespace {

constexpr double kPercent = 100.0;
constexpr double kMicrosPerUnit = 1e6;

template<typename... Values>
std::string
Format(const char* aFormat, const Values&... aValues)
{
  constexpr std::size_t kMaxBytes = 1024;
  char text[kMaxBytes];
  std::snprintf(text, sizeof text, aFormat, aValues...);
  return text;
}

double
HoursOf(Duration aDuration)
{
  return std::chrono::duration<double, std::ratio<3600>>(aDuration).count();
}

double
UnitsOf(const Spending& aSpending)
{
  return static_cast<double>(aSpending.mCost) / kMicrosPerUnit;
}

/// Names the causes of the burn, the largest first.
std::string
CausesOf(const BurnCounts& aCounts)
{
  std::vector<std::pair<std::int64_t, std::string_view>> causes = {
    { aCounts.mRefused, "refusals" },
    { aCounts.mSlow, "latency" },
    { aCounts.mBadRatings, "bad ratings" },
  };
  std::ranges::sort(
    causes, std::greater<>{}, [](const auto& aCause) { return aCause.first; });
  std::string text;
  for (const auto& [count, name] : causes) {
    if (count > 0) {
      text += (text.empty() ? "" : ", ") + std::string(name) + " " +
              std::to_string(count);
    }
  }
  return text.empty() ? "none" : text;
}

nlohmann::ordered_json
ToJson(const BurnWindow& aWindow)
{
  return { { "hours", HoursOf(aWindow.mLength) },
           { "covered_hours", HoursOf(aWindow.mCovered) },
           { "good", aWindow.mCounts.mGood },
           { "slow", aWindow.mCounts.mSlow },
           { "refused", aWindow.mCounts.mRefused },
           { "bad_ratings", aWindow.mCounts.mBadRatings },
           { "burn_rate", aWindow.mRate } };
}

nlohmann::ordered_json
ToJson(const SloBurn& aBurn)
{
  auto history = nlohmann::ordered_json::array();
  for (const auto& point : aBurn.mHistory) {
    history.push_back(
      { { "at_ms", point.mAtMs }, { "burn_rate", point.mRate } });
  }
  return { { "account", aBurn.mSlo.mClientAccount },
           { "slo", aBurn.mSlo.mName },
           { "objective", aBurn.mSlo.mObjective },
           { "latency_ms", aBurn.mSlo.mLatencyMs },
           { "budget_left", aBurn.mBudgetLeft },
           { "short", ToJson(aBurn.mShort) },
           { "long", ToJson(aBurn.mLong) },
           { "budget", ToJson(aBurn.mBudget) },
           { "billed_requests", aBurn.mSpending.mRequests },
           { "cost", aBurn.mSpending.mCost },
           { "history", std::move(history) } };
}

std::string
EscapeHtml(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

/// Draws the burn rate over time, with a line at the rate 1.
std::string
PlotOf(const std::vector<BurnPoint>& aHistory)
{
  constexpr double kWidth = 600.0; // pixels
  constexpr double kHeight = 120.0;
  if (aHistory.empty()) {
    return {};
  }
  const auto highest =
    std::ranges::max_element(aHistory, {}, &BurnPoint::mRate)->mRate;
  const auto top = std::max(highest, 1.0) * 1.1;
  const auto begin = aHistory.front().mAtMs;
  const auto span = static_cast<double>(
    std::max<std::int64_t>(aHistory.back().mAtMs - begin, 1));
  const auto heightOf = [&](double aRate) {
    return kHeight * (1.0 - aRate / top);
  };
  std::string points;
  for (const auto& point : aHistory) {
    points += Format("%.1f,%.1f ",
                     kWidth * static_cast<double>(point.mAtMs - begin) / span,
                     heightOf(point.mRate));
  }
  return Format("<svg viewBox=\"0 0 %.0f %.0f\" width=\"%.0f\" "
                "height=\"%.0f\" role=\"img\">",
                kWidth,
                kHeight,
                kWidth,
                kHeight) +
         Format("<title>burn rate, highest %.2f; dashed line: 1</title>",
                highest) +
         Format("<line x1=\"0\" x2=\"%.0f\" y1=\"%.1f\" y2=\"%.1f\" "
                "stroke=\"#a00\" stroke-dasharray=\"4\"/>",
                kWidth,
                heightOf(1.0),
                heightOf(1.0)) +
         "<polyline fill=\"none\" stroke=\"#036\" stroke-width=\"2\" "
         "points=\"" +
         points + "\"/></svg>\n";
}

std::string
HtmlRow(std::string_view aName, const BurnWindow& aWindow)
{
  return Format("<tr><td>%s, %.1f h (covered %.1f h)</td><td>%.2f</td>"
                "<td>%lld</td><td>%lld</td><td>%s</td></tr>\n",
                std::string(aName).c_str(),
                HoursOf(aWindow.mLength),
                HoursOf(aWindow.mCovered),
                aWindow.mRate,
                static_cast<long long>(aWindow.mCounts.Total()),
                static_cast<long long>(aWindow.mCounts.Bad()),
                CausesOf(aWindow.mCounts).c_str());
}

std::string
HtmlSection(const SloBurn& aBurn)
{
  return "<h2>" + EscapeHtml(aBurn.mSlo.mClientAccount) + ": " +
         EscapeHtml(aBurn.mSlo.mName) + "</h2>\n" +
         Format("<p>%.3f%% within %d ms over %d h; budget left %.1f%%; billed "
                "%lld requests, %.4f units.</p>\n",
                kPercent * aBurn.mSlo.mObjective,
                aBurn.mSlo.mLatencyMs,
                aBurn.mSlo.mWindowHours,
                kPercent * aBurn.mBudgetLeft,
                static_cast<long long>(aBurn.mSpending.mRequests),
                UnitsOf(aBurn.mSpending)) +
         "<table><tr><th>window</th><th>burn rate</th><th>requests</th>"
         "<th>bad</th><th>burnt by</th></tr>\n" +
         HtmlRow("short", aBurn.mShort) + HtmlRow("long", aBurn.mLong) +
         HtmlRow("budget", aBurn.mBudget) + "</table>\n" +
         PlotOf(aBurn.mHistory);
}

} // namespace

std::string
PrintText(const std::vector<SloBurn>& aBurns)
{
  std::string text = Format("%-20s %-16s %8s %10s %10s %10s %12s  %s\n",
                            "client account",
                            "slo",
                            "target",
                            "short burn",
                            "long burn",
                            "left",
                            "cost",
                            "burnt by");
  for (const auto& burn : aBurns) {
    text += Format("%-20s %-16s %7.3f%% %10.2f %10.2f %9.1f%% %12.4f  %s\n",
                   burn.mSlo.mClientAccount.c_str(),
                   burn.mSlo.mName.c_str(),
                   kPercent * burn.mSlo.mObjective,
                   burn.mShort.mRate,
                   burn.mLong.mRate,
                   kPercent * burn.mBudgetLeft,
                   UnitsOf(burn.mSpending),
                   CausesOf(burn.mBudget.mCounts).c_str());
  }
  return text;
}

std::string
PrintJson(const std::vector<SloBurn>& aBurns)
{
  auto slos = nlohmann::ordered_json::array();
  for (const auto& burn : aBurns) {
    slos.push_back(ToJson(burn));
  }
  const nlohmann::ordered_json document = { { "slos", std::move(slos) } };
  return document.dump(2) + "\n";
}

std::string
PrintHtml(const std::vector<SloBurn>& aBurns)
{
  std::string page =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
    "<title>Service-level burn</title>\n<style>body{font-family:sans-serif}"
    "td,th{padding:2px 10px;text-align:left}svg{border:1px solid #999}"
    "</style></head><body>\n<h1>Service-level burn</h1>\n";
  for (const auto& burn : aBurns) {
    page += HtmlSection(burn);
  }
  return page + "</body></html>\n";
}

} // namespace figslip::report
