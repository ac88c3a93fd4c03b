#include <figslip/ratings/rating_service.hpp>
#include <figslip/time/wall_clock.hpp>

#include <utility>

namespace figslip::ratings {

RatingService::RatingService(
  Options aOptions,
  std::shared_ptr<platform::PlatformClient> aPlatform,
  std::shared_ptr<entry::RouterService> aRouter)
  : mOptions(std::move(aOptions))
  , mPlatform(std::move(aPlatform))
  , mRouter(std::move(aRouter))
{
}

void
RatingService::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
RatingService::Stop()
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

void
RatingService::Submit(platform::RatableAnswer aAnswer)
{
  const std::lock_guard lock(mMutex);
  if (mQueue.size() < mOptions.mMaxQueue) {
    aAnswer.mSource = mOptions.mSource;
    mQueue.push_back(std::move(aAnswer));
  }
}

void
RatingService::SendQueued()
{
  std::unique_lock lock(mMutex);
  while (!mQueue.empty() && !mStopping) {
    const auto answer = std::move(mQueue.front());
    mQueue.pop_front();
    lock.unlock();
    // ratings may come partly; an answer that cannot be sent is not rated
    const bool sent = static_cast<bool>(mPlatform->SubmitAnswer(answer));
    lock.lock();
    if (!sent) {
      return;
    }
    RememberAccount(answer);
  }
}

void
RatingService::RememberAccount(const platform::RatableAnswer& aAnswer)
{
  mAccounts[aAnswer.mRequestId] = aAnswer.mAccount;
  mAccountOrder.push_back(aAnswer.mRequestId);
  // ratings come partly, so the oldest answers are forgotten unrated
  if (mAccountOrder.size() > mOptions.mMaxUnrated) {
    mAccounts.erase(mAccountOrder.front());
    mAccountOrder.pop_front();
  }
}

void
RatingService::ReportBadRating(const std::string& aRequestId)
{
  const auto account = mAccounts.find(aRequestId);
  if (account != mAccounts.end() && mOptions.mOnBadRating) {
    mOptions.mOnBadRating(account->second);
  }
}

void
RatingService::ReadRatings()
{
  const auto page = mPlatform->Ratings(mOptions.mSource, mNextRating);
  if (!page) {
    return;
  }
  mNextRating = page.assume_value().mNext;
  for (const auto& rating : page.assume_value().mRatings) {
    if (!rating.mGood) {
      ReportBadRating(rating.mRequestId);
    }
  }
  mRouter->With([&](routing::Router& aRouter) {
    for (const auto& rating : page.assume_value().mRatings) {
      aRouter.OnRating(rating.mKey, rating.mGood, ReadClock());
    }
  });
}

void
RatingService::Run()
{
  while (true) {
    SendQueued();
    ReadRatings();
    std::unique_lock lock(mMutex);
    if (mChanged.wait_for(
          lock, mOptions.mPollEvery, [this] { return mStopping; })) {
      return;
    }
  }
}

} // namespace figslip::ratings
