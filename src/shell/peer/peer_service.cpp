#include <figslip/peer/peer_service.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <utility>

namespace figslip::peer {

namespace {

Gossip::Options
GossipOptions(const PeerService::Options& aOptions)
{
  return { .mSelf = aOptions.mSelf,
           .mFailureDomain = aOptions.mFailureDomain,
           .mSeed = aOptions.mSeed };
}

} // namespace

PeerService::PeerService(Options aOptions, Services aServices)
  : mOptions(std::move(aOptions))
  , mServices(std::move(aServices))
  , mClient(std::make_shared<PeerClient>(PeerClient::Options{}))
  , mCold(std::make_unique<ColdCapacity>(
      ColdCapacity::Options{ .mSelf = mOptions.mSelf,
                             .mFailureDomain = mOptions.mFailureDomain,
                             .mBook = { .mSelf = mOptions.mSelf } },
      mServices.mRouter,
      mClient))
  , mGossip(GossipOptions(mOptions))
{
  mServices.mLoop->Every(mOptions.mRound,
                         [this](TimePoint aNow) { CollectNews(aNow); });
}

Result<void>
PeerService::Start()
{
  auto server = PeerServer::Start(mOptions.mServer, Handlers());
  if (!server) {
    return outcome::failure(std::move(server).assume_error());
  }
  mServer = std::move(server).assume_value();
  mThreads.emplace_back([this] { RunRounds(); });
  mThreads.emplace_back([this] { RunGrants(); });
  return outcome::success();
}

void
PeerService::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
  mServer.reset();
}

PeerHandlers
PeerService::Handlers()
{
  return {
    .mExchange = [this](const Digest& aDigest) { return OnExchange(aDigest); },
    .mFetchManifest = [this] { return OnFetchManifest(); },
    .mRequestGrants =
      [this](const GrantRequest& aRequest) {
        return mCold->Serve(aRequest, *mServices.mControl->Snapshot());
      },
    .mHoldBilling =
      [this](const BillingCopies& aCopies) {
        return mOptions.mHoldBilling && mOptions.mHoldBilling(aCopies);
      },
    .mReleaseBilling =
      [this](const membership::Incarnation& aOrigin, std::int64_t aUpTo) {
        return mOptions.mReleaseBilling &&
               mOptions.mReleaseBilling(aOrigin, aUpTo);
      },
  };
}

void
PeerService::NoteIncarnation(const membership::Incarnation& aRun) const
{
  if (mOptions.mOnIncarnation) {
    mOptions.mOnIncarnation(aRun);
  }
}

Digest
PeerService::OnExchange(const Digest& aDigest)
{
  const auto now = ReadClock();
  NoteIncarnation(aDigest.mSender);
  Digest answer;
  Learned learned;
  {
    const std::lock_guard lock(mMutex);
    learned = mGossip.Absorb(aDigest, now);
    answer = mGossip.Compose(aDigest.mFailureDomain, now);
    if (learned.mNewerManifest) {
      mNewerAt = aDigest.mSender.mInstance;
      mChanged.notify_all();
    }
  }
  PostLearned(std::move(learned));
  return answer;
}

ManifestText
PeerService::OnFetchManifest() const
{
  const auto snapshot = mServices.mControl->Snapshot();
  if (snapshot->mManifest == nullptr) {
    return {};
  }
  return { .mGeneration = snapshot->mManifest->Generation(),
           .mConfirmedAt = snapshot->mConfirmedAt,
           .mText = *snapshot->mManifestText };
}

void
PeerService::CollectNews(TimePoint aNow)
{
  auto news = mServices.mControl->CollectNews(aNow);
  const std::lock_guard lock(mMutex);
  for (auto& upstream : news.mUpstreams) {
    if (const auto found = mReports.find(upstream.mUpstream);
        found != mReports.end()) {
      upstream.mRunning = found->second.mRunning;
      upstream.mRunningAt = found->second.mAt;
    }
  }
  mGossip.OnLocalNews(std::move(news), aNow);
}

void
PeerService::PostLearned(Learned aLearned)
{
  const auto now = ReadClock();
  for (const auto& news : aLearned.mUpstreams) {
    if (news.mRunning >= 0) {
      mCold->OnLoadReport({ .mUpstream = news.mUpstream,
                            .mBootId = news.mBootId,
                            .mRunning = news.mRunning,
                            .mAt = news.mRunningAt },
                          now);
    }
  }
  mServices.mLoop->Post([control = mServices.mControl,
                         learned = std::move(aLearned)](TimePoint aNow) {
    control->OnPeerNews(learned, aNow);
  });
}

bool
PeerService::PauseUntil(TimePoint aTime)
{
  std::unique_lock lock(mMutex);
  const auto time = std::max(Duration::zero(), aTime - ReadClock());
  mChanged.wait_for(lock, time, [this] { return mStopping; });
  return !mStopping;
}

void
PeerService::ExchangeWith(const membership::EntryInstance& aPeer)
{
  Digest digest;
  {
    const std::lock_guard lock(mMutex);
    digest = mGossip.Compose(aPeer.mFailureDomain, ReadClock());
  }
  const auto answer = mClient->Exchange(aPeer, digest);
  if (!answer) {
    return;
  }
  const auto& received = answer.assume_value();
  NoteIncarnation(received.mSender);
  Learned learned;
  {
    const std::lock_guard lock(mMutex);
    learned = mGossip.Absorb(received, ReadClock());
  }
  const bool newer = learned.mNewerManifest;
  mServices.mLoop->Post([control = mServices.mControl,
                         generation = received.mGeneration,
                         at = received.mConfirmedAt](TimePoint aNow) {
    control->OnPeerConfirmation(generation, at, aNow);
  });
  PostLearned(std::move(learned));
  if (newer) {
    FetchFrom(aPeer);
  }
}

void
PeerService::FetchFrom(const membership::EntryInstance& aPeer)
{
  const auto manifest = mClient->FetchManifest(aPeer);
  if (manifest && manifest.assume_value().mGeneration > 0) {
    mServices.mLoop->Post([control = mServices.mControl,
                           text = manifest.assume_value()](TimePoint aNow) {
      control->OnPeerManifest(text.mText, text.mConfirmedAt, aNow);
    });
  }
}

void
PeerService::RunRounds()
{
  auto next = ReadClock();
  while (true) {
    std::optional<std::string> newerAt;
    {
      std::unique_lock lock(mMutex);
      const auto time = std::max(Duration::zero(), next - ReadClock());
      mChanged.wait_for(
        lock, time, [this] { return mStopping || mNewerAt.has_value(); });
      if (mStopping) {
        return;
      }
      newerAt = std::exchange(mNewerAt, std::nullopt);
    }
    const auto snapshot = mServices.mControl->Snapshot();
    const auto& entries = snapshot->mInstances.mEntries;
    if (newerAt) {
      const auto peer =
        std::ranges::find(entries, *newerAt, &membership::EntryInstance::mName);
      if (peer != entries.end()) {
        FetchFrom(*peer);
      }
    }
    if (ReadClock() < next) {
      continue;
    }
    next = ReadClock() + mOptions.mRound;
    std::vector<membership::EntryInstance> peers;
    {
      const std::lock_guard lock(mMutex);
      peers = mGossip.PickPeers(snapshot->mInstances);
    }
    std::ranges::for_each(peers,
                          [this](const auto& aPeer) { ExchangeWith(aPeer); });
  }
}

void
PeerService::RunGrants()
{
  do {
    mCold->Ask(*mServices.mControl->Snapshot());
  } while (PauseUntil(ReadClock() + mOptions.mRound));
}

void
PeerService::OnLoadReport(const routing::LoadReport& aReport)
{
  mCold->OnLoadReport(aReport, ReadClock());
  const std::lock_guard lock(mMutex);
  mReports[aReport.mUpstream] = aReport;
}

TimePoint
PeerService::LoadReportedAt(std::string_view aUpstream)
{
  const std::lock_guard lock(mMutex);
  return mGossip.LoadReportedAt(aUpstream);
}

std::vector<DomainLoad>
PeerService::Loads()
{
  const std::lock_guard lock(mMutex);
  return mGossip.Loads(ReadClock());
}

} // namespace figslip::peer
