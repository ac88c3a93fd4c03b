#include <figslip/handover/peer_choice.hpp>
#include <figslip/handover/ticket.hpp>
#include <figslip/handover/upstream_contact.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using handover::ContactState;
using handover::Decline;
using handover::PeerChoice;
using handover::PeerQuery;
using handover::Ticket;
using handover::UpstreamContact;

namespace {

constexpr TimePoint kStart{ 1h };
using Names = std::set<std::string, std::less<>>;

} // namespace

TEST_CASE("the contact with six upstreams in three failure domains")
{
  UpstreamContact contact({});
  contact.OnUpstreams({ { "a1", "a" },
                        { "a2", "a" },
                        { "b1", "b" },
                        { "b2", "b" },
                        { "c1", "c" },
                        { "c2", "c" } });
  contact.OnConnected(kStart - 10s);
  const auto fail = [&](const char* aUpstream) {
    contact.OnConnectFailed(aUpstream, kStart, kStart);
  };

  SUBCASE("is held while one upstream fails")
  {
    fail("a1");
    fail("a1");
    CHECK(contact.State() == ContactState::Held);
    CHECK(contact.TakeDueProbes(kStart).empty());
  }

  SUBCASE("is suspected with the second one that fails")
  {
    fail("a1");
    fail("b1");
    CHECK(contact.State() == ContactState::Suspected);

    SUBCASE("and an upstream of the remaining domain is probed first")
    {
      const auto first = contact.TakeDueProbes(kStart);
      REQUIRE(first.size() == 1);
      CHECK(first.front().starts_with("c"));
      CHECK(contact.TakeDueProbes(kStart + 249ms).empty());
      CHECK(contact.TakeDueProbes(kStart + 250ms).size() == 4);
    }
    SUBCASE("and held again when a connection is opened")
    {
      contact.OnConnected(kStart + 10ms);
      CHECK(contact.IsHeld());

      SUBCASE("and no try from before counts")
      {
        fail("c1");
        fail("c2");
        CHECK(contact.IsHeld());
      }
    }
    SUBCASE("and not lost while one domain has not failed")
    {
      fail("a2");
      fail("b2");
      CHECK(contact.State() == ContactState::Suspected);
      fail("c1");
      CHECK(contact.State() == ContactState::Suspected);
      CHECK_FALSE(contact.TakeDueProbes(kStart).empty());
      fail("c2");
      CHECK(contact.IsLost());

      SUBCASE("and then one upstream after the other is probed")
      {
        const auto first = contact.TakeDueProbes(kStart + 1s);
        const auto second = contact.TakeDueProbes(kStart + 2s);
        REQUIRE(first.size() == 1);
        REQUIRE(second.size() == 1);
        CHECK(first != second);
      }
    }
    SUBCASE("and old failures do not count")
    {
      fail("a2");
      contact.OnConnectFailed("c1", kStart + 4s, kStart + 4s);
      CHECK(contact.FailedCount() == 1);
    }
  }

  SUBCASE("is suspected when open requests get nothing")
  {
    contact.OnTick(true, kStart);
    contact.OnReceived(kStart + 200ms);
    contact.OnTick(true, kStart + 600ms);
    CHECK(contact.IsHeld());
    contact.OnTick(true, kStart + 700ms);
    CHECK(contact.State() == ContactState::Suspected);
  }

  SUBCASE("is not suspected without open requests")
  {
    contact.OnTick(false, kStart);
    contact.OnTick(false, kStart + 60s);
    contact.OnTick(true, kStart + 60s);
    CHECK(contact.IsHeld());
  }
}

TEST_CASE("the choice of an instance to hand a request over to")
{
  const PeerQuery any;
  const auto without = [](const Names& aAsked) {
    return PeerQuery{ .mAsked = &aAsked };
  };
  const Names near{ "near" };
  const Names both{ "near", "far" };
  PeerChoice choice({ .mInstance = "me",
                      .mDomain = "a",
                      .mRegions = { { "a", "east" }, { "b", "west" } } });
  choice.OnInstances({ { "me", "a", "10.0.0.1:1" },
                       { "near", "a", "10.0.0.2:1" },
                       { "far", "b", "10.0.0.3:1" } });

  SUBCASE("prefers the own failure domain")
  {
    CHECK(choice.Choose(any, kStart)->mName == "near");

    SUBCASE("until it has several requests more")
    {
      choice.OnSent("near");
      choice.OnSent("near");
      choice.OnSent("near");
      CHECK(choice.Choose(any, kStart)->mName == "far");
      choice.OnEnded("near");
      choice.OnEnded("near");
      CHECK(choice.Choose(any, kStart)->mName == "near");
    }
  }

  SUBCASE("leaves out instances that declined the request")
  {
    CHECK(choice.Choose(without(near), kStart)->mName == "far");
    CHECK_FALSE(choice.HasCandidate(without(both), kStart));
    CHECK_FALSE(choice.Choose(without(both), kStart));
  }

  SUBCASE("stays in the regions of the route and of the account")
  {
    const std::vector<std::string> west{ "west" };
    const std::vector<std::string> east{ "east" };
    CHECK(choice.Choose({ .mRegions = &west }, kStart)->mName == "far");
    CHECK(choice.Choose({ .mAccountRegions = &east }, kStart)->mName == "near");
    CHECK_FALSE(choice.HasCandidate(
      { .mRegions = &west, .mAccountRegions = &east }, kStart));
  }

  SUBCASE("leaves a failure domain in which instances have no contact")
  {
    choice.OnInstances({ { "me", "a", "10.0.0.1:1" },
                         { "n1", "a", "10.0.0.2:1" },
                         { "n2", "a", "10.0.0.4:1" },
                         { "n3", "a", "10.0.0.5:1" },
                         { "far", "b", "10.0.0.3:1" } });
    choice.OnDeclined("n1", Decline::NoContact, kStart);
    CHECK(choice.Choose(any, kStart)->mFailureDomain == "a");
    choice.OnDeclined("n2", Decline::NoContact, kStart);
    CHECK(choice.Choose(any, kStart)->mName == "far");

    SUBCASE("until one of them takes a request, or for two seconds")
    {
      CHECK(choice.Choose(any, kStart + 2s)->mFailureDomain == "a");
      choice.OnTaken("n3");
      CHECK(choice.Choose(any, kStart)->mName == "n3");
    }
  }

  SUBCASE("does not ask an instance without contact for a while")
  {
    choice.OnDeclined("near", Decline::NoContact, kStart);
    CHECK(choice.Choose(any, kStart + 499ms)->mName == "far");
    CHECK(choice.Choose(any, kStart + 500ms)->mName == "near");
  }

  SUBCASE("asks one that does not answer less and less")
  {
    choice.OnDeclined("near", Decline::Unreachable, kStart);
    choice.OnDeclined("near", Decline::Unreachable, kStart + 1s);
    CHECK(choice.Choose(any, kStart + 2s)->mName == "far");
    CHECK(choice.Choose(any, kStart + 3s)->mName == "near");

    SUBCASE("until it has taken a request")
    {
      choice.OnTaken("near");
      choice.OnDeclined("near", Decline::Unreachable, kStart + 4s);
      CHECK(choice.Choose(any, kStart + 5s)->mName == "near");
    }
  }

  SUBCASE("knows no instance that has no address or is gone")
  {
    choice.OnInstances({ { "me", "a", "10.0.0.1:1" }, { "new", "a", "" } });
    CHECK_FALSE(choice.HasCandidate(any, kStart));
  }
}

TEST_CASE("the ticket of a request that is handed over")
{
  const Ticket ticket{ .mAge = 120ms,
                       .mAttempts = 2,
                       .mConfiguration = 41,
                       .mIsCounted = true,
                       .mLastEventId = "7\r\n\x01" };
  const auto text = handover::FormatTicket(ticket);

  SUBCASE("passes through a header")
  {
    CHECK(text.find_first_of("\r\n\x01") == std::string::npos);
    CHECK(handover::ParseTicket(text).assume_value() == ticket);
  }
  SUBCASE("is rejected with a reason")
  {
    const std::map<std::string, std::string> findings{
      { "", "" },
      { "[]", "" },
      { R"({"age_ms":-1,"attempts":0,"configuration":1,"counted":false,)"
        R"("last_event":""})",
        "/age_ms" },
      { R"({"age_ms":1,"attempts":0,"configuration":1,"counted":false})",
        "/last_event" }
    };
    for (const auto& [bad, place] : findings) {
      CAPTURE(bad);
      const auto read = handover::ParseTicket(bad);
      REQUIRE_FALSE(read);
      if (!place.empty()) {
        CHECK(read.assume_error().front().mPlace == place);
      }
    }
  }
}
