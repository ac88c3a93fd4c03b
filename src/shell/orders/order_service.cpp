#include <figslip/log/log.hpp>
#include <figslip/orders/order_service.hpp>
#include <figslip/time/wall_clock.hpp>

#include <utility>

namespace figslip::orders {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(500);

} // namespace

OrderService::OrderService(const Options& aOptions, Services aServices)
  : mServices(std::move(aServices))
  , mLeaseObject{ "lease", "orders-" + aOptions.mFailureDomain }
  , mFailureDomain(aOptions.mFailureDomain)
  , mLease({ .mSelf = aOptions.mSelf })
  , mPlanner({}, aOptions.mFailureDomain)
{
}

void
OrderService::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
OrderService::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_one();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
OrderService::WaitForNextPoll()
{
  std::unique_lock lock(mMutex);
  return !mChanged.wait_for(lock, kPollInterval, [this] { return mStopping; });
}

void
OrderService::Run()
{
  do {
    AdvanceLease();
    SendOrders();
  } while (WaitForNextPoll());
}

void
OrderService::AdvanceLease()
{
  const auto step = mLease.Next(ReadClock());
  if (std::holds_alternative<lease::ReadLease>(step)) {
    const auto object = mServices.mPlatform->Read(mLeaseObject);
    if (!object) {
      mLease.OnNoResponse(ReadClock());
      return;
    }
    const auto& current = object.assume_value();
    mLease.OnObject(current.mVersion, current.mValue, ReadClock());
  } else if (const auto* const write = std::get_if<lease::WriteLease>(&step)) {
    const auto written = mServices.mPlatform->Write(
      mLeaseObject, write->mExpectedVersion, write->mValue);
    if (!written) {
      mLease.OnNoResponse(ReadClock());
    } else if (const auto* const done =
                 std::get_if<platform::Written>(&written.assume_value())) {
      mLease.OnWritten(done->mVersion, ReadClock());
    } else {
      const auto& current =
        std::get<platform::Conflict>(written.assume_value()).mCurrent;
      mLease.OnObject(current.mVersion, current.mValue, ReadClock());
    }
  }
}

void
OrderService::SendOrders()
{
  const auto manifest = mServices.mControl->Snapshot()->mManifest;
  if (manifest == nullptr || !mLease.Held(ReadClock())) {
    return;
  }
  for (const auto& upstream : manifest->Content().mUpstreams) {
    if (upstream.mFailureDomain != mFailureDomain ||
        upstream.mKind != manifest::UpstreamKind::Model) {
      continue;
    }
    const auto report = mServices.mUpstreams->ReadLoad(
      upstream.mName, { upstream.mAddress, upstream.mPort });
    // an engine that has not reported its versions receives no orders
    if (!report) {
      continue;
    }
    if (const auto& loaded = report.assume_value().mLoadedVersions) {
      mPlanner.OnEngineReport(upstream.mName, *loaded);
    }
  }
  const auto held = mLease.Held(ReadClock());
  if (!held) {
    return;
  }
  for (const auto& order : mPlanner.Plan(*manifest, *held, ReadClock())) {
    const auto* const upstream = manifest->FindUpstream(order.mUpstream);
    const bool succeeded = mServices.mUpstreams->SendOrder(
      order, { upstream->mAddress, upstream->mPort });
    mPlanner.OnOrderEnded(order, succeeded, ReadClock());
    log::Write(log::Level::Info,
               succeeded ? "order_taken" : "order_not_taken",
               { { "upstream", order.mUpstream },
                 { "order", std::string(NameOf(order.mKind)) },
                 { "version", order.mVersion },
                 { "fencing_token", std::to_string(order.mFencingToken) } });
  }
}

} // namespace figslip::orders
