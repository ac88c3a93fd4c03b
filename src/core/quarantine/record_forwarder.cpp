#include <figslip/quarantine/record_forwarder.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace figslip::quarantine {

namespace {

template<typename... Handlers>
struct Visitor : Handlers...
{
  using Handlers::operator()...;
};

bool
IsSameReport(const CrashReport& aReport, const CrashReport& aOther)
{
  return aReport.mFingerprint == aOther.mFingerprint &&
         aReport.mUpstream == aOther.mUpstream;
}

void
RemoveParts(const CrashSuspects& aFrom, CrashSuspects& aCrash)
{
  std::erase_if(aCrash.mParts,
                [&](PartId aPart) { return aFrom.mParts.contains(aPart); });
}

} // namespace

void
RecordForwarder::OnSource(const std::string& aSource, TimePoint aNow)
{
  const bool mayForward = mInstances > mOptions.mMaxDirectPublishers;
  const auto source = mayForward ? aSource : std::string();
  if (source == mSource) {
    return;
  }
  mSource = source;
  mSentAt.reset();
  mAvoidUntil = aNow;
  mRetryAt = aNow;
  mRefusals = 0;
  mSourceSince = aNow;
  for (const auto stage : { Stage::Sent, Stage::Accepted }) {
    MoveAll(stage, Stage::Waiting, aNow);
  }
}

bool
RecordForwarder::MayForward(TimePoint aNow) const
{
  return mSource.empty() ? aNow < mSourceSince + mOptions.mSuccessorTime
                         : aNow >= mAvoidUntil;
}

void
RecordForwarder::AddTo(RecordBatch& aBatch, const Record& aRecord)
{
  std::visit(
    Visitor{
      [&](const CrashReport& aReport) { aBatch.mReports.push_back(aReport); },
      [&](const CrashSuspects& aCrash) { aBatch.mSuspects.push_back(aCrash); },
      [&](PartId aPart) { aBatch.mServed.push_back(aPart); },
      [&](const Withdrawal& aWithdrawal) {
        aBatch.mWithdrawn.push_back(aWithdrawal.mName);
      } },
    aRecord);
}

bool
RecordForwarder::AddWithinBounds(const Record& aRecord, RecordBatch& aBatch)
{
  RecordBatch alone;
  AddTo(alone, aRecord);
  const bool sharesRecord = !alone.mServed.empty() && !aBatch.mServed.empty();
  const auto records = aBatch.RecordCount() + (sharesRecord ? 0 : 1);
  const bool fits = records <= kMaxMessageRecords &&
                    aBatch.PartCount() + alone.PartCount() <= kMaxMessageParts;
  if (fits) {
    AddTo(aBatch, aRecord);
  }
  return fits;
}

void
RecordForwarder::Add(const RecordBatch& aRecords, TimePoint aNow)
{
  const auto addAll = [&](const auto& aItems) {
    for (const auto& item : aItems) {
      AddRecord(item, aNow);
    }
  };
  addAll(aRecords.mReports);
  addAll(aRecords.mSuspects);
  addAll(aRecords.mServed);
  for (const auto& name : aRecords.mWithdrawn) {
    AddRecord(Withdrawal{ .mName = name }, aNow);
  }
}

void
RecordForwarder::AddRecord(Record aRecord, TimePoint aNow)
{
  RecordBatch alone;
  const bool mayForward = MayForward(aNow) &&
                          mItems.size() < mOptions.mMaxItems &&
                          AddWithinBounds(aRecord, alone);
  if (mayForward && !LeaveOutHeld(aRecord)) {
    return;
  }
  mItems.push_back({ .mRecord = std::move(aRecord),
                     .mStage = mayForward ? Stage::Waiting : Stage::Own,
                     .mSince = aNow });
}

std::optional<RecordForwarder::Message>
RecordForwarder::TakeMessage(TimePoint aNow)
{
  const bool isDue = !mSource.empty() && !mSentAt && MayForward(aNow) &&
                     aNow >= mRetryAt &&
                     std::ranges::any_of(mItems, [&](const Item& aItem) {
                       return aItem.mStage == Stage::Waiting &&
                              aNow >= aItem.mSince + mOptions.mCollectTime;
                     });
  if (!isDue) {
    return std::nullopt;
  }
  Message message{ .mId = ++mLastId, .mBatch = {} };
  for (auto& item : mItems) {
    if (item.mStage == Stage::Waiting &&
        AddWithinBounds(item.mRecord, message.mBatch)) {
      item.mStage = Stage::Sent;
      item.mSince = aNow;
    }
  }
  mSentAt = aNow;
  return message;
}

void
RecordForwarder::OnAnswer(std::uint64_t aId,
                          ForwardOutcome aOutcome,
                          Duration aRetryAfter,
                          TimePoint aNow)
{
  const bool isAwaited = mSentAt && aId == mLastId;
  if (!isAwaited) {
    return; // the source has changed, or the answer is late
  }
  mSentAt.reset();
  switch (aOutcome) {
    case ForwardOutcome::Accepted:
      mRefusals = 0;
      MoveAll(Stage::Sent, Stage::Accepted, aNow);
      break;
    case ForwardOutcome::Busy:
      MoveAll(Stage::Sent, Stage::Waiting, aNow);
      mRetryAt = aNow + aRetryAfter;
      if (++mRefusals >= mOptions.mMaxRefusals) {
        OnFailed(aNow);
      }
      break;
    case ForwardOutcome::Failed:
      OnFailed(aNow);
      break;
  }
}

void
RecordForwarder::OnFailed(TimePoint aNow)
{
  mSentAt.reset();
  mRefusals = 0;
  mRetryAt = aNow;
  mAvoidUntil = aNow + mOptions.mAvoidTime;
  for (const auto stage : { Stage::Sent, Stage::Waiting, Stage::Accepted }) {
    MoveAll(stage, Stage::Own, aNow);
  }
}

RecordBatch
RecordForwarder::TakeOwn(TimePoint aNow)
{
  if (mSentAt && aNow >= *mSentAt + mOptions.mAnswerTimeout) {
    OnFailed(aNow);
  }
  if (!MayForward(aNow)) {
    MoveAll(Stage::Waiting, Stage::Own, aNow);
  }
  RecordBatch own;
  std::erase_if(mItems, [&](const Item& aItem) {
    if (aItem.mStage == Stage::Own) {
      AddTo(own, aItem.mRecord);
      return true;
    }
    return aItem.mStage == Stage::Accepted &&
           aNow >= aItem.mSince + mOptions.mHoldTime;
  });
  return own;
}

void
RecordForwarder::OnPublished(const RecordBatch& aRecords)
{
  if (mItems.empty()) {
    return;
  }
  const auto leaveOut = [&](const auto& aRecord) { LeaveOut(aRecord); };
  std::ranges::for_each(aRecords.mReports, leaveOut);
  std::ranges::for_each(aRecords.mSuspects, leaveOut);
  std::ranges::for_each(aRecords.mServed, leaveOut);
}

void
RecordForwarder::OnServed(const std::set<std::uint64_t>& aFingerprints)
{
  std::erase_if(mItems, [&](const Item& aItem) {
    const auto* const report = std::get_if<CrashReport>(&aItem.mRecord);
    return report != nullptr && aFingerprints.contains(report->mFingerprint);
  });
}

bool
RecordForwarder::LeaveOutHeld(Record& aRecord) const
{
  const auto holds = [&](const auto& aIsSame) {
    return std::ranges::any_of(mItems, aIsSame);
  };
  return std::visit(
    Visitor{ [&](const CrashReport& aReport) {
              return !holds([&](const Item& aItem) {
                const auto* const held =
                  std::get_if<CrashReport>(&aItem.mRecord);
                return held != nullptr && IsSameReport(*held, aReport);
              });
            },
             [&](CrashSuspects& aCrash) {
               for (const auto& item : mItems) {
                 const auto* const held =
                   std::get_if<CrashSuspects>(&item.mRecord);
                 if (held != nullptr && IsSameCrash(*held, aCrash)) {
                   RemoveParts(*held, aCrash);
                 }
               }
               return !aCrash.mParts.empty();
             },
             // parts that were served, and withdrawals
             [&]<typename Other>(const Other& aOther) {
               return !holds([&](const Item& aItem) {
                 const auto* const held = std::get_if<Other>(&aItem.mRecord);
                 return held != nullptr && *held == aOther;
               });
             } },
    aRecord);
}

void
RecordForwarder::LeaveOut(const Record& aPublished)
{
  const auto isWhole =
    Visitor{ [](const CrashReport& aOther, CrashReport& aHeld) {
              return IsSameReport(aOther, aHeld);
            },
             [&](const CrashSuspects& aOther, CrashSuspects& aHeld) {
               if (IsSameCrash(aOther, aHeld)) {
                 RemoveParts(aOther, aHeld);
               }
               return aHeld.mParts.empty();
             },
             [](PartId aOther, PartId& aHeld) { return aOther == aHeld; },
             [](const auto&, auto&) { return false; } };
  std::erase_if(mItems, [&](Item& aItem) {
    return std::visit(isWhole, aPublished, aItem.mRecord);
  });
}

bool
RecordForwarder::IsSameCrash(const CrashSuspects& aCrash,
                             const CrashSuspects& aOther) const
{
  const auto window = mOptions.mSameCrashWindow / std::chrono::milliseconds(1);
  return aCrash.mEndpoint == aOther.mEndpoint &&
         std::abs(aCrash.mAtMs - aOther.mAtMs) < window;
}

void
RecordForwarder::MoveAll(Stage aFrom, Stage aTo, TimePoint aNow)
{
  for (auto& item : mItems) {
    if (item.mStage == aFrom) {
      item.mStage = aTo;
      item.mSince = aNow;
    }
  }
}

} // namespace figslip::quarantine
