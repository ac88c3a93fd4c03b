#pragma once

#include <figslip/routing/router.hpp>

#include <string>

namespace figslip::test {

/// A router of one entry in domain `a`, with warm upstreams by default.
///
/// The manifest has model `small` (version `s1`) on upstreams `a1` and `a2` of
/// domain `a` and on `b1` of domain `b`, and service `desk` on `a3` with the
/// idempotent operation `look` and the operation `book`.
class RouterFixture
{
public:
  RouterFixture();

  /// Publishes the manifest and instance list as they are now.
  void Publish();

  /// Makes an upstream warm by the successes that it takes.
  void Warm(const std::string& aUpstream);

  [[nodiscard]] routing::Request Chat() const;
  [[nodiscard]] routing::Request Call(const std::string& aOperation) const;

  manifest::Manifest mManifest;
  membership::InstanceList mInstances;
  TimePoint mNow{ std::chrono::hours(1000) };
  routing::Router mRouter;
};

} // namespace figslip::test
