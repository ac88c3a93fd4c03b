#include <platform/settings_dialect.hpp>

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace figslip;

namespace {

nlohmann::json
Translate(const nlohmann::json& aSettings)
{
  return nlohmann::json::parse(platform::TranslateSettings(aSettings.dump()));
}

} // namespace

TEST_CASE("the contracts in the platform's settings")
{
  SUBCASE("call for overload control where clients may press")
  {
    const auto settings =
      Translate({ { "platform_contracts", { "base", "pressure" } } });
    CHECK(settings == nlohmann::json{ { "overload_control", true } });

    SUBCASE("unless the settings say otherwise")
    {
      CHECK(Translate({ { "platform_contracts", { "pressure" } },
                        { "overload_control", false } }) ==
            nlohmann::json{ { "overload_control", false } });
    }
  }

  SUBCASE("leave it off without that contract")
  {
    CHECK(Translate({ { "platform_contracts", { "base" } } }) ==
          nlohmann::json{ { "overload_control", false } });
  }

  SUBCASE("are optional")
  {
    const std::string settings = R"({"instance": "a"})";
    CHECK(platform::TranslateSettings(settings) == settings);
  }

  SUBCASE("stay for the findings where they are no list, or the text no object")
  {
    for (const std::string text :
         { R"({"platform_contracts": 3})", "[]", "no JSON" }) {
      CAPTURE(text);
      CHECK(platform::TranslateSettings(text) == text);
    }
  }
}

TEST_CASE("the ports for instances in the platform's settings")
{
  SUBCASE("have one for requests that are handed over")
  {
    CHECK(Translate({ { "peers", "10.1.0.4:70" },
                      { "platform_internal_ports", { 70, 72 } } }) ==
          nlohmann::json{ { "peers", "10.1.0.4:70" },
                          { "hand_over", "10.1.0.4:71" } });
  }
  SUBCASE("have none if they are too few")
  {
    CHECK(Translate({ { "peers", "10.1.0.4:70" },
                      { "platform_internal_ports", { 70, 71 } } }) ==
          nlohmann::json{ { "peers", "10.1.0.4:70" } });
  }
  SUBCASE("stay for the findings where they cannot be read")
  {
    const std::string text = R"({"platform_internal_ports": [70]})";
    CHECK(platform::TranslateSettings(text) == text);
  }
}
