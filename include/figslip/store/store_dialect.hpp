#pragma once

#include <figslip/error/result.hpp>
#include <figslip/ingress/configuration.hpp>
#include <figslip/ingress/upstream_entry.hpp>
#include <figslip/net/message.hpp>
#include <figslip/rollout/staged_rollout.hpp>
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
  Configuration, ///< of the operators
  Upstreams,     ///< registered by themselves
  Rollouts,      ///< orders of the operators, with a status
  Drains,        ///< failure domains that get no work
  Shared         ///< of figslip: its instances and quarantined requests
};

/// @brief Returns the name of a kind, as logs and metrics have it.
[[nodiscard]] std::string_view
NameOf(ObjectKind aKind);

/// @brief Holds an object of the store.
struct Object
{
  std::string mName;
  std::int64_t mRevision = 0; ///< of its last change
  std::int64_t mCreated = 0;  ///< tells objects of the same name apart
  nlohmann::json mSpec;
  nlohmann::json mStatus;
};

/// @brief Holds a page of a list.
struct Page
{
  std::vector<Object> mObjects;
  bool mHasMore = false;
  std::int64_t mRevision = 0; ///< of the store
};

/// @brief Holds a change of one object.
struct Change
{
  Object mObject;
  bool mDeleted = false;
};

/// @brief Holds the changes after a revision.
struct Changes
{
  std::vector<Change> mChanges;
  std::int64_t mRevision = 0; ///< to go on from
};

/// @brief Translates between the store's wire and the product's types.
struct StoreDialect
{
  std::function<net::RequestMessage(ObjectKind, std::string_view aAfter)> mList;
  std::function<
    net::RequestMessage(ObjectKind, std::int64_t aRevision, Duration aWait)>
    mWatch;
  std::function<net::RequestMessage(std::string_view aName,
                                    const nlohmann::json& aSpec)>
    mCreateShared;
  std::function<net::RequestMessage(std::string_view aName,
                                    const nlohmann::json& aSpec)>
    mReplaceShared;
  std::function<net::RequestMessage(std::string_view aName)> mRemoveShared;
  /// writes the status if the order still has its revision
  std::function<net::RequestMessage(const rollout::StatusChange&)> mPutStatus;
  std::function<Result<Page>(std::string_view aBody)> mReadPage;
  std::function<Result<Changes>(std::string_view aBody)> mReadChanges;
  std::function<Result<ingress::Configuration>(const Object&)>
    mReadConfiguration;
  std::function<Result<ingress::UpstreamEntry>(const Object&)> mReadUpstream;
  std::function<Result<rollout::RolloutOrder>(const Object&)> mReadRollout;
};

} // namespace figslip::store
