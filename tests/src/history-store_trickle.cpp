#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <thread>

using namespace std::chrono_literals;
using figslip::test::IngressWorld;
using figslip::test::StoreStandIn;

TEST_CASE("an instance whose calls to the store were answered without end")
{
  IngressWorld world;
  REQUIRE(world.WaitForReady(0));
  world.Store().SetMode(StoreStandIn::Mode::Trickle);
  std::this_thread::sleep_for(3s);
  world.Store().SetMode(StoreStandIn::Mode::Open);

  SUBCASE("asks again and accepts keys beyond the lease of before")
  {
    std::this_thread::sleep_for(6s);
    CHECK(world.Send(0, "GET", "/look/1", "after").mStatus == 200);
  }
}
