#include <figslip/json/document.hpp>

#include <nlohmann/json.hpp>

#include <set>
#include <utility>
#include <vector>

namespace figslip::json {

namespace {

/// Deepest nesting of objects and arrays; no document of ours needs more.
constexpr std::size_t kMaxDepth = 64;
/// Most findings of one document; a flood of them helps nobody.
constexpr std::size_t kMaxFindings = 100;

/// Ends the parsing of a document that is nested too deeply.
struct NestedTooDeeply
{
  std::string mPlace;
};

/// Removes the library's own tag from the start of its message.
std::string
PlainMessage(std::string_view aMessage)
{
  constexpr std::string_view kTagEnd = "] ";
  const auto end = aMessage.find(kTagEnd);
  return std::string(end == std::string_view::npos
                       ? aMessage
                       : aMessage.substr(end + kTagEnd.size()));
}

/// Follows the parser through nested values and notes duplicate fields.
class DuplicateFieldDetector
{
public:
  void OnEvent(nlohmann::json::parse_event_t aEvent,
               const nlohmann::json& aParsed)
  {
    using Event = nlohmann::json::parse_event_t;
    switch (aEvent) {
      case Event::object_start:
      case Event::array_start:
        EnterElement();
        if (mFrames.size() == kMaxDepth) {
          throw NestedTooDeeply{ Place() };
        }
        mFrames.push_back({ .mIsArray = aEvent == Event::array_start });
        break;
      case Event::object_end:
      case Event::array_end:
        mFrames.pop_back();
        break;
      case Event::key:
        OnField(aParsed.get<std::string>());
        break;
      case Event::value:
        EnterElement();
        break;
    }
  }

  [[nodiscard]] error::Findings TakeFindings() { return std::move(mFindings); }

private:
  struct Frame
  {
    bool mIsArray = false;
    std::size_t mCount = 0;
    std::string mField;
    std::set<std::string> mFields;
  };

  void EnterElement()
  {
    if (!mFrames.empty() && mFrames.back().mIsArray) {
      ++mFrames.back().mCount;
    }
  }

  void OnField(std::string aField)
  {
    auto& frame = mFrames.back();
    frame.mField = aField;
    const bool isNew = frame.mFields.insert(std::move(aField)).second;
    if (!isNew && mFindings.size() < kMaxFindings) {
      mFindings.push_back({ error::ErrorKind::DuplicateField,
                            Place(),
                            "the field is given more than once" });
    }
  }

  [[nodiscard]] std::string Place() const
  {
    std::string pointer;
    for (const auto& frame : mFrames) {
      pointer = frame.mIsArray ? PointerTo(pointer, frame.mCount - 1)
                               : PointerTo(pointer, frame.mField);
    }
    return pointer;
  }

  std::vector<Frame> mFrames;
  error::Findings mFindings;
};

} // namespace

Result<nlohmann::json>
ParseDocument(std::string_view aText)
{
  // the library would take a zero byte for the end of the text
  if (const auto zero = aText.find('\0'); zero != std::string_view::npos) {
    return Failure(error::ErrorKind::MalformedJson,
                   "byte " + std::to_string(zero + 1),
                   "the text holds a zero byte");
  }
  DuplicateFieldDetector detector;
  try {
    auto document =
      nlohmann::json::parse(aText,
                            [&detector](int /*aDepth*/,
                                        nlohmann::json::parse_event_t aEvent,
                                        nlohmann::json& aParsed) {
                              detector.OnEvent(aEvent, aParsed);
                              return true;
                            });
    auto findings = detector.TakeFindings();
    if (!findings.empty()) {
      return outcome::failure(std::move(findings));
    }
    return document;
  } catch (const nlohmann::json::parse_error& error) {
    return Failure(error::ErrorKind::MalformedJson,
                   "byte " + std::to_string(error.byte),
                   PlainMessage(error.what()));
  } catch (const nlohmann::json::out_of_range& error) {
    // a number that no double can hold
    return Failure(
      error::ErrorKind::MalformedJson, "number", PlainMessage(error.what()));
  } catch (const NestedTooDeeply& error) {
    return Failure(error::ErrorKind::MalformedJson,
                   error.mPlace,
                   "the document is nested deeper than " +
                     std::to_string(kMaxDepth) + " levels");
  }
}

std::string
PointerTo(std::string_view aPointer, std::string_view aStep)
{
  std::string pointer(aPointer);
  pointer += '/';
  for (const char letter : aStep) {
    if (letter == '~') {
      pointer += "~0";
    } else if (letter == '/') {
      pointer += "~1";
    } else {
      pointer += letter;
    }
  }
  return pointer;
}

std::string
PointerTo(std::string_view aPointer, std::size_t aIndex)
{
  return PointerTo(aPointer, std::string_view(std::to_string(aIndex)));
}

} // namespace figslip::json
