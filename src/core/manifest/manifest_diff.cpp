#include <figslip/json/document.hpp>
#include <figslip/manifest/manifest_diff.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <ranges>
#include <string_view>
#include <utility>

namespace figslip::manifest {

using json::PointerTo;
using Json = nlohmann::json;

namespace {

/// Names the elements of an array in the words of an operator.
struct ElementNoun
{
  std::string_view mField;
  std::string_view mNoun;
};

constexpr auto kNouns = std::to_array<ElementNoun>({
  { "failure_domains", "failure domain" },
  { "models", "model" },
  { "versions", "version" },
  { "cascades", "cascade" },
  { "stages", "stage" },
  { "services", "service" },
  { "operations", "operation" },
  { "upstreams", "upstream" },
  { "client_accounts", "client account" },
  { "slos", "service level objective" },
  { "allow", "permission" },
});

/// Says what becomes of an element whose state takes a value.
struct StatePhrase
{
  std::string_view mState;
  std::string_view mPhrase;
};

constexpr auto kStatePhrases = std::to_array<StatePhrase>({
  { "in", "is put back in" },
  { "out", "is taken out" },
  { "stable", "becomes stable" },
  { "roll_out", "begins its roll-out" },
  { "withdrawn", "is withdrawn" },
});

std::string
NounOf(std::string_view aField)
{
  const auto* const found =
    std::ranges::find(kNouns, aField, &ElementNoun::mField);
  return std::string(found == kNouns.end() ? aField : found->mNoun);
}

std::string
Quoted(std::string_view aText)
{
  return "\"" + std::string(aText) + "\"";
}

/// Returns the name that identifies an element of an array.
std::string
KeyOf(const Json& aElement)
{
  if (aElement.is_string()) {
    return aElement.get<std::string>();
  }
  // a stage is known by its model
  return aElement.value("name", aElement.value("model", std::string()));
}

/// Walks two printed manifests side by side.
class DiffWalker
{
public:
  std::vector<ManifestChange> TakeChanges() { return std::move(mChanges); }

  /// @param[in] aSubject noun and name of the object compared
  void CompareObjects(const Json& aOld,
                      const Json& aNew,
                      const std::string& aPointer,
                      const std::string& aSubject)
  {
    for (const auto& [field, value] : aNew.items()) {
      if (field != "generation") {
        CompareField(field,
                     aOld.contains(field) ? aOld.at(field) : Json(),
                     value,
                     PointerTo(aPointer, field),
                     aSubject);
      }
    }
    for (const auto& [field, value] : aOld.items()) {
      if (!aNew.contains(field)) {
        CompareField(
          field, value, Json(), PointerTo(aPointer, field), aSubject);
      }
    }
  }

private:
  void Add(std::string aPlace, std::string aText)
  {
    mChanges.push_back({ std::move(aPlace), std::move(aText) });
  }

  void CompareField(const std::string& aField,
                    const Json& aOld,
                    const Json& aNew,
                    const std::string& aPointer,
                    const std::string& aSubject)
  {
    if (aOld == aNew) {
      return;
    }
    if (aOld.is_array() || aNew.is_array()) {
      CompareArrays(aField,
                    aOld.is_array() ? aOld : Json::array(),
                    aNew.is_array() ? aNew : Json::array(),
                    aPointer,
                    aSubject);
    } else if (aField == "state") {
      AddState(aNew, aPointer, aSubject);
    } else {
      Add(aPointer,
          aSubject + ": " + aField + " changes from " + aOld.dump() + " to " +
            aNew.dump());
    }
  }

  void AddState(const Json& aNew,
                const std::string& aPointer,
                const std::string& aSubject)
  {
    const auto state = aNew.get<std::string>();
    const auto* const found =
      std::ranges::find(kStatePhrases, state, &StatePhrase::mState);
    Add(aPointer, aSubject + " " + std::string(found->mPhrase));
  }

  void CompareArrays(const std::string& aField,
                     const Json& aOld,
                     const Json& aNew,
                     const std::string& aPointer,
                     const std::string& aSubject)
  {
    const auto before = IndexOf(aOld);
    const auto after = IndexOf(aNew);
    const auto owner = aSubject.empty() ? std::string() : aSubject + ": ";
    for (const auto& [key, index] : before) {
      if (!after.contains(key)) {
        Add(PointerTo(aPointer, index),
            owner + NounOf(aField) + " " + Quoted(key) + " is removed");
      }
    }
    for (const auto& [key, index] : after) {
      const auto subject = NounOf(aField) + " " + Quoted(key);
      const auto found = before.find(key);
      const auto pointer = PointerTo(aPointer, index);
      if (found == before.end()) {
        Add(pointer, owner + subject + " is added");
      } else if (aNew[index].is_object()) {
        CompareObjects(aOld[found->second], aNew[index], pointer, subject);
      }
    }
    // the order of stages decides which one is tried first
    if (aField == "stages" && before != after && SameKeys(before, after)) {
      Add(aPointer, owner + "the order of the stages changes");
    }
  }

  using Index = std::map<std::string, std::size_t>;

  [[nodiscard]] static Index IndexOf(const Json& aArray)
  {
    Index index;
    for (std::size_t position = 0; position < aArray.size(); ++position) {
      index.emplace(KeyOf(aArray[position]), position);
    }
    return index;
  }

  [[nodiscard]] static bool SameKeys(const Index& aOne, const Index& aOther)
  {
    return std::ranges::equal(aOne | std::views::keys,
                              aOther | std::views::keys);
  }

  std::vector<ManifestChange> mChanges;
};

} // namespace

std::vector<ManifestChange>
DiffManifests(const Manifest& aOld, const Manifest& aNew)
{
  DiffWalker walker;
  walker.CompareObjects(
    Json::parse(PrintManifest(aOld)), Json::parse(PrintManifest(aNew)), "", "");
  return walker.TakeChanges();
}

} // namespace figslip::manifest
