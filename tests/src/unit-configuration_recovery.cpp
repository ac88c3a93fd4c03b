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
  constexpr store::StoreEra kEra{ 2 };
  constexpr store::StoreEra kNextEra{ 3 };
  recovery.OnInForce(5);
  recovery.OnRecords({}, kEra, kStart);

  SUBCASE("is not published while the store holds it")
  {
    recovery.OnStored(5, kEra, true, kStart);
    CHECK_FALSE(recovery.TakeDue(kStart + 10s));
  }

  SUBCASE("is published once by an instance that follows the store")
  {
    recovery.OnStored(3, kEra, true, kStart);
    CHECK_FALSE(recovery.TakeDue(kStart + 99ms));
    CHECK(recovery.TakeDue(kStart + 100ms));
    CHECK_FALSE(recovery.TakeDue(kStart + 60s));

    SUBCASE("and again in the next era, whatever the list of the former shows")
    {
      recovery.OnRecords({ 5 }, kEra, kStart + 1s);
      recovery.OnStored(3, kNextEra, true, kStart + 4s);
      CHECK(recovery.TakeDue(kStart + 5s));
    }
    SUBCASE(
      "and not at once when its record vanishes, as the store may hold it")
    {
      recovery.OnRecords({ 5 }, kEra, kStart + 1s);
      recovery.OnRecords({}, kEra, kStart + 4s);
      CHECK_FALSE(recovery.TakeDue(kStart + 6s));
      CHECK(recovery.TakeDue(kStart + 7s));
    }
    SUBCASE("and not removed for what the store held in another era")
    {
      recovery.OnStored(6, kEra, true, kStart + 4s);
      recovery.OnRecords({ 5 }, kNextEra, kStart + 5s);
      CHECK(recovery.TakeObsolete(true, kStart + 9s) == none);
    }
    SUBCASE("and removed when the store holds a newer one")
    {
      recovery.OnRecords({ 4, 5, 7 }, kEra, kStart + 1s);
      recovery.OnStored(6, kEra, true, kStart + 4s);
      CHECK(recovery.TakeObsolete(true, kStart + 4s) == none);
      CHECK(recovery.TakeObsolete(false, kStart + 9s) == none);
      CHECK(recovery.TakeObsolete(true, kStart + 9s) ==
            std::vector<std::string>{ "configuration.4", "configuration.5" });
      CHECK(recovery.TakeObsolete(true, kStart + 9s) == none);
    }
  }

  SUBCASE("is published later by the others, unless there is a record by then")
  {
    recovery.OnStored(3, kEra, false, kStart);
    CHECK_FALSE(recovery.TakeDue(kStart + 2'099ms));

    SUBCASE("that they see")
    {
      recovery.OnRecords({ 5 }, kEra, kStart + 1s);
      CHECK_FALSE(recovery.TakeDue(kStart + 20s));
    }
    SUBCASE("or not")
    {
      CHECK(recovery.TakeDue(kStart + 2'100ms));
    }
  }

  SUBCASE("has a record that is told by its name")
  {
    CHECK(ConfigurationRecovery::RecordName(12) == "configuration.12");
    CHECK(ConfigurationRecovery::VersionOf("configuration.12") == 12);
    CHECK_FALSE(ConfigurationRecovery::VersionOf("configuration.-1"));
    CHECK_FALSE(ConfigurationRecovery::VersionOf("configuration.-0"));
    CHECK_FALSE(ConfigurationRecovery::VersionOf("configuration.05"));
    CHECK_FALSE(ConfigurationRecovery::VersionOf("configuration.1x"));
    CHECK_FALSE(ConfigurationRecovery::VersionOf("configuration."));
    CHECK_FALSE(ConfigurationRecovery::VersionOf("instance.1"));
  }
}
