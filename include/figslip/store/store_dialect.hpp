#pragma once

#include <figslip/error/result.hpp>
#include <figslip/ingress/configuration.hpp>
#include <figslip/ingress/upstream_entry.hpp>
#include <figslip/net/message.hpp>
#include <figslip/rollout/staged_rollout.hpp>
#include <figslip/store/store_revision.hpp>
#include <figslip/time/time_point.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::store {

/// @brief Lists the kinds of objects that an instance follows.
enum class ObjectKind
{
  Configuration, ///< written by the operators
  Upstreams,     ///< registrations that upstreams write
  Rollouts,      ///< roll-out orders of the operators, with a status
  Drains,        ///< failure domains that receive no requests
  Shared         ///< figslip's own: instances and quarantined requests
};

/// @brief Returns the name of a kind as used in logs and metrics.
[[nodiscard]] std::string_view
NameOf(ObjectKind aKind);

/// @brief Holds an object of the store with its spec and status.
///
/// An object that cannot be read has findings and no spec. The values are
/// bounded in depth.
struct Object
{
  std::string mName;         ///< empty if it cannot be read
  StoreRevision mRevision;   ///< of the last change
  std::int64_t mCreated = 0; ///< distinguishes objects of the same name
  nlohmann::json mSpec;
  nlohmann::json mStatus;
  error::Findings mFindings; ///< why the object cannot be read
};

/// @brief Holds one page of a paginated list.
struct Page
{
  std::vector<Object> mObjects;
  std::string mLastName; ///< from which the next page continues, as it is
  bool mHasMore = false;
  StoreRevision mRevision; ///< of the store at the time of the list
};

/// @brief Holds the update or deletion of one object.
struct Change
{
  Object mObject;
  bool mDeleted = false;
};

/// @brief Holds the changes after a revision, as returned by a watch.
struct Changes
{
  std::vector<Change> mChanges;
  StoreRevision mRevision; ///< from which the next watch continues
};

/// @brief Formats requests to the store and parses its responses.
///
/// Decouples the product's types from the store's wire format.
struct StoreDialect
{
  /// lists the page after the object named `aAfter`; empty: the first page
  std::function<net::RequestMessage(ObjectKind, std::string_view aAfter)> mList;
  /// returns the changes after `aRevision`, waiting up to `aWait` for one; the
  /// request does not tell the era, so the answer may be of another one
  std::function<net::RequestMessage(ObjectKind,
                                    const StoreRevision& aRevision,
                                    Duration aWait)>
    mWatch;
  std::function<net::RequestMessage(std::string_view aName,
                                    const nlohmann::json& aSpec)>
    mCreateShared;
  std::function<net::RequestMessage(std::string_view aName,
                                    const nlohmann::json& aSpec)>
    mReplaceShared;
  std::function<net::RequestMessage(std::string_view aName)> mRemoveShared;
  /// writes the status only if the order's revision is unchanged; the request
  /// does not tell the era of that revision
  std::function<net::RequestMessage(const rollout::StatusChange&)> mPutStatus;
  std::function<Result<Page>(const net::Headers&, std::string_view aBody)>
    mReadPage;
  std::function<Result<Changes>(const net::Headers&, std::string_view aBody)>
    mReadChanges;
  std::function<Result<ingress::Configuration>(const Object&)>
    mReadConfiguration;
  std::function<Result<ingress::UpstreamEntry>(const Object&)> mReadUpstream;
  std::function<Result<rollout::RolloutOrder>(const Object&)> mReadRollout;
};

} // namespace figslip::store
