#include <figslip/ingress/configuration_recovery.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using ingress::ConfigurationRecovery;

// guards against instances that use a configuration which was replaced before
// the store lost the newer one
TEST_CASE("a configuration that the store has lost")
{
  constexpr TimePoint kStart{ 1h };
  const std::vector<std::string> none;
  ConfigurationRecovery recovery({ .mSeed = 100'000 }); // a delay of 100 ms
  recovery.OnInForce(5);

  SUBCASE("is not published while the store holds it")
  {
    recovery.OnStored(5, true, kStart);
    CHECK_FALSE(recovery.TakeDue(kStart + 10s));
  }

  SUBCASE("is published once by an instance that follows the store")
  {
    recovery.OnStored(3, true, kStart);
    CHECK_FALSE(recovery.TakeDue(kStart + 99ms));
    CHECK(recovery.TakeDue(kStart + 100ms));
    CHECK_FALSE(recovery.TakeDue(kStart + 200ms));

    SUBCASE("and again if no list shows the record")
    {
      CHECK(recovery.TakeDue(kStart + 4s));
    }
    SUBCASE("and removed when the store holds a newer one")
    {
      recovery.OnRecords({ 4, 5, 7 });
      recovery.OnStored(6, true, kStart + 4s);
      CHECK(recovery.TakeObsolete(true, kStart + 4s) == none);
      CHECK(recovery.TakeObsolete(false, kStart + 9s) == none);
      CHECK(recovery.TakeObsolete(true, kStart + 9s) ==
            std::vector<std::string>{ "configuration.4", "configuration.5" });
      CHECK(recovery.TakeObsolete(true, kStart + 9s) == none);
    }
  }

  SUBCASE("is published later by the others, unless there is a record by then")
  {
    recovery.OnStored(3, false, kStart);
    CHECK_FALSE(recovery.TakeDue(kStart + 799ms));
    CHECK(recovery.TakeDue(kStart + 800ms));
    recovery.OnRecords({ 5 });
    CHECK_FALSE(recovery.TakeDue(kStart + 20s));
  }

  SUBCASE("has a record that is told by its name")
  {
    CHECK(ConfigurationRecovery::RecordName(12) == "configuration.12");
    CHECK(ConfigurationRecovery::VersionOf("configuration.12") == 12);
    CHECK_FALSE(ConfigurationRecovery::VersionOf("configuration.-1"));
    CHECK_FALSE(ConfigurationRecovery::VersionOf("configuration.1x"));
    CHECK_FALSE(ConfigurationRecovery::VersionOf("configuration."));
    CHECK_FALSE(ConfigurationRecovery::VersionOf("instance.1"));
  }
}
