#include <figslip/report/exposition.hpp>

#include <cctype>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>

namespace figslip::report {

namespace {

/// Reads one line from left to right; each step fails on a surprise.
class LineReader
{
public:
  explicit LineReader(std::string_view aLine)
    : mRest(aLine)
  {
  }

  std::optional<MetricPoint> Read()
  {
    MetricPoint point{ .mName = ReadName(), .mLabels = {} };
    if (point.mName.empty() || !ReadLabels(point.mLabels) || !Skip(' ') ||
        !ReadValue(point.mValue)) {
      return std::nullopt;
    }
    return point;
  }

private:
  bool Skip(char aExpected)
  {
    if (!mRest.starts_with(aExpected)) {
      return false;
    }
    mRest.remove_prefix(1);
    return true;
  }

  std::string ReadName()
  {
    std::size_t length = 0;
    while (length < mRest.size() &&
           (std::isalnum(static_cast<unsigned char>(mRest[length])) != 0 ||
            mRest[length] == '_' || mRest[length] == ':')) {
      ++length;
    }
    const std::string name(mRest.substr(0, length));
    mRest.remove_prefix(length);
    return name;
  }

  bool ReadQuoted(std::string& aText)
  {
    if (!Skip('"')) {
      return false;
    }
    while (!mRest.empty() && mRest.front() != '"') {
      const bool isEscape = Skip('\\');
      if (mRest.empty()) {
        return false;
      }
      const bool isBreak = isEscape && mRest.front() == 'n';
      aText += isBreak ? '\n' : mRest.front();
      mRest.remove_prefix(1);
    }
    return Skip('"');
  }

  bool ReadLabels(std::map<std::string, std::string>& aLabels)
  {
    if (!Skip('{')) {
      return true;
    }
    do {
      const auto name = ReadName();
      if (name.empty() || !Skip('=') || !ReadQuoted(aLabels[name])) {
        return false;
      }
    } while (Skip(','));
    return Skip('}');
  }

  bool ReadValue(double& aValue)
  {
    const char* const begin = std::to_address(mRest.begin());
    const char* const end = std::to_address(mRest.end());
    const auto [stop, error] = std::from_chars(begin, end, aValue);
    return error == std::errc{} && stop == end;
  }

  std::string_view mRest;
};

} // namespace

Result<std::vector<MetricPoint>>
ParseExposition(std::string_view aText)
{
  std::vector<MetricPoint> points;
  error::Findings findings;
  for (int number = 1; !aText.empty(); ++number) {
    const auto end = aText.find('\n');
    const auto line = aText.substr(0, end);
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    if (line.empty() || line.starts_with('#')) {
      continue;
    }
    if (auto point = LineReader(line).Read()) {
      points.push_back(std::move(*point));
    } else {
      findings.push_back({ error::ErrorKind::MalformedRecord,
                           "line " + std::to_string(number),
                           "no metric of the text exposition form" });
    }
  }
  if (!findings.empty()) {
    return outcome::failure(std::move(findings));
  }
  return points;
}

} // namespace figslip::report
