#include "harness/traffic.hpp"

#include "harness/uuid.hpp"

#include <figslip/json/field_or.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <utility>

namespace figslip::test {

namespace {

constexpr int kOk = 200;
constexpr std::uint64_t kDefaultSeed = 20261204;
constexpr Millis kOpen = INT64_MAX; ///< end of an isolation that lasts
constexpr auto kSampleEvery = std::chrono::milliseconds(100);
constexpr auto kSamplePatience = std::chrono::milliseconds(500);
constexpr auto kCallMargin = std::chrono::milliseconds(1500);
constexpr auto kReadinessPoll = std::chrono::milliseconds(10);
constexpr auto kRetryPause = std::chrono::milliseconds(100);
constexpr auto kStopPatience = std::chrono::seconds(45);
constexpr auto kAnswerPatience = std::chrono::seconds(30);
constexpr auto kLoopback = "127.0.0.1";

std::vector<CallerWork>
MixedWorks()
{
  return {
    { .mAccount = "salon", .mTarget = "chat" },
    { .mAccount = "school", .mTarget = "chat", .mInSession = true },
    { .mAccount = "salon", .mTarget = "small", .mStream = true },
    { .mAccount = "salon", .mTarget = "bookings/lookup" },
    { .mAccount = "school", .mTarget = "bookings/book", .mIdempotent = false }
  };
}

std::int64_t
WholeOf(std::string_view aText)
{
  std::int64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

bool
IsChat(const CallerWork& aWork)
{
  return aWork.mTarget.find('/') == std::string::npos;
}

/// A booking of unknown outcome is a matter for people, not for repeats.
bool
IsUnknown(const CallerRecord& aCall)
{
  return aCall.mEnd == CallerEnd::Refused && aCall.mRun == "unknown";
}

/// Joins the tokens of a streamed answer.
std::string
JoinStream(const std::string& aBody)
{
  constexpr std::string_view kPrefix = "data: ";
  std::string text;
  std::size_t start = 0;
  while (start < aBody.size()) {
    const auto end = std::min(aBody.find('\n', start), aBody.size());
    const auto line = aBody.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kPrefix)) {
      continue;
    }
    const auto event =
      nlohmann::json::parse(line.substr(kPrefix.size()), nullptr, false);
    if (event.is_object() && event.contains("choices")) {
      text +=
        json::TextOr(event.at("choices").at(0).at("delta"), "content", "");
    }
  }
  return text;
}

UpstreamRun
ReadRun(const nlohmann::json& aRun)
{
  constexpr std::string_view kCall = "/v1/call/";
  const auto path = json::TextOr(aRun, "path", "");
  return { .mUpstream = json::TextOr(aRun, "upstream", ""),
           .mRequestId = json::TextOr(aRun, "request_id", ""),
           .mAttemptId = json::TextOr(aRun, "attempt_id", ""),
           .mVersion = json::TextOr(aRun, "version", ""),
           .mOperation =
             path.starts_with(kCall) ? path.substr(kCall.size()) : "",
           .mIdempotencyKey = json::TextOr(aRun, "idempotency_key", ""),
           .mAt = json::NumberOr(aRun, "at_ms", std::int64_t{ 0 }),
           .mCold = json::FlagOr(aRun, "cold", false),
           .mRunning = json::NumberOr(aRun, "running", 1),
           .mColdBound = json::NumberOr(aRun, "cold_bound", 1) };
}

BillingEntry
ReadBilling(const nlohmann::json& aRecord)
{
  BillingEntry entry{ .mRequestId = json::TextOr(aRecord, "request_id", ""),
                      .mAccount = json::TextOr(aRecord, "account", ""),
                      .mAttempts = {} };
  for (const auto& attempt : aRecord.at("attempts")) {
    entry.mAttempts.push_back({ json::TextOr(attempt, "upstream", ""),
                                json::TextOr(attempt, "version", "") });
  }
  return entry;
}

} // namespace

std::uint64_t
SeedOfRun()
{
  const auto* const text = std::getenv("FIGSLIP_SEED");
  return text == nullptr ? kDefaultSeed
                         : static_cast<std::uint64_t>(WholeOf(text));
}

Millis
NowMillis()
{
  return ToUnixMillis(ReadClock());
}

Traffic::Traffic(Cluster& aCluster, Options aOptions)
  : mCluster(aCluster)
  , mOptions(std::move(aOptions))
  , mSeed(SeedOfRun())
{
  std::cout << "seed " << mSeed << '\n';
  if (mOptions.mWorks.empty()) {
    mOptions.mWorks = MixedWorks();
  }
  for (const auto& entry : mCluster.Plan().mEntries) {
    mEntries.push_back(entry.mName);
    mPorts[entry.mName] = mCluster.EntryPort(entry.mName);
    mHistory.mEntryDomains.emplace_back(entry.mName, entry.mFailureDomain);
  }
  // published before the entries started
  mHistory.mManifests.push_back({ 0, mCluster.Manifest() });
}

Traffic::~Traffic()
{
  mStopping = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
}

int
Traffic::PortOf(const std::string& aEntry)
{
  const std::lock_guard lock(mMutex);
  return mPorts.at(aEntry);
}

/// Chooses the entry with an index, or the next one in the balancer.
std::string
Traffic::Balance(std::size_t aIndex)
{
  const std::lock_guard lock(mMutex);
  for (std::size_t step = 0; step < mEntries.size(); ++step) {
    const auto& entry = mEntries[(aIndex + step) % mEntries.size()];
    if (!mOutOfBalancer.contains(entry)) {
      return entry;
    }
  }
  return mEntries[aIndex % mEntries.size()];
}

bool
Traffic::IsReady(const std::string& aEntry)
{
  const auto called = mClient.Call(
    { kLoopback, PortOf(aEntry) },
    { .mTarget = "/readyz", .mHeaders = {}, .mBody = {} },
    { .mFirstByteTimeout = kSamplePatience, .mFreshConnection = true });
  const auto* const response = std::get_if<http::ClientResponse>(&called);
  return response != nullptr && response->mStatus == kOk;
}

void
Traffic::Start()
{
  for (int caller = 0; caller < mOptions.mCallers; ++caller) {
    mThreads.emplace_back([this, caller] { RunCaller(caller); });
  }
  mThreads.emplace_back([this] { SampleGenerations(); });
}

void
Traffic::RunCaller(int aCaller)
{
  std::mt19937_64 random(mSeed + static_cast<std::uint64_t>(aCaller));
  std::map<std::string, Session> sessions;
  while (!mStopping) {
    const auto& work = mOptions.mWorks[random() % mOptions.mWorks.size()];
    const auto id = "q" + std::to_string(mNextRequest++);
    auto& session = sessions[work.mAccount + work.mTarget];
    if (work.mTwice) {
      SendTwice(work, id, session);
    } else {
      const auto last =
        SendRequest(work, id, random() % mEntries.size(), session);
      CountRequest(work, last.mEnd == CallerEnd::Answered);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(mOptions.mPauseMs));
  }
}

void
Traffic::CountRequest(const CallerWork& aWork, bool aAnswered)
{
  const std::lock_guard lock(mMutex);
  auto& served = aWork.mIdempotent ? mIdempotent : mNonIdempotent;
  ++served.mRequests;
  served.mAnswered += aAnswered ? 1 : 0;
  mAnsweredMore.notify_all();
}

CallerRecord
Traffic::Send(const CallerWork& aWork,
              const std::string& aRequestId,
              std::size_t aFirstEntry)
{
  Session session;
  return SendRequest(aWork, aRequestId, aFirstEntry, session);
}

CallerRecord
Traffic::SendRequest(const CallerWork& aWork,
                     const std::string& aRequestId,
                     std::size_t aFirstEntry,
                     Session& aSession)
{
  const auto key = aWork.mIdempotent ? "" : NewUuidV7();
  CallerRecord last;
  for (int attempt = 0; attempt < mOptions.mTries; ++attempt) {
    const auto entry = Balance(aFirstEntry + static_cast<std::size_t>(attempt));
    last = CallOnce(aWork, aRequestId, key, entry, aSession);
    if (last.mEnd == CallerEnd::Answered ||
        (!aWork.mIdempotent && IsUnknown(last))) {
      break;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return last;
}

void
Traffic::SendTwice(const CallerWork& aWork,
                   const std::string& aRequestId,
                   Session& aSession)
{
  const auto key = aWork.mIdempotent ? "" : NewUuidV7();
  std::atomic<bool> answered{ false };
  const auto call = [&](const std::string& aEntry) {
    auto session = aSession;
    for (int attempt = 0; attempt < mOptions.mTries && !answered; ++attempt) {
      const auto record = CallOnce(aWork, aRequestId, key, aEntry, session);
      answered = answered || record.mEnd == CallerEnd::Answered;
      if (IsUnknown(record)) {
        break;
      }
    }
  };
  std::thread other([&] { call(mEntries.back()); });
  call(mEntries.front());
  other.join();
  CountRequest(aWork, answered);
}

CallerRecord
Traffic::CallOnce(const CallerWork& aWork,
                  const std::string& aRequestId,
                  const std::string& aKey,
                  const std::string& aEntry,
                  Session& aSession)
{
  const bool isChat = IsChat(aWork);
  std::vector<http::Header> headers = {
    { "Figslip-Account", aWork.mAccount },
    { "Figslip-Request-Id", aRequestId },
    { "Figslip-Deadline-Ms", std::to_string(mOptions.mDeadlineMs) },
    { "Content-Type", "application/json" },
  };
  if (!aKey.empty()) {
    headers.push_back({ "Idempotency-Key", aKey });
  }
  if (aWork.mInSession && !aSession.mToken.empty()) {
    headers.push_back({ "Figslip-Session", aSession.mToken });
  }
  const nlohmann::json body =
    isChat ? nlohmann::json{ { "model", aWork.mTarget },
                             { "messages",
                               { { { "role", "user" },
                                   { "content", aWork.mText } } } },
                             { "max_tokens", 20 },
                             { "stream", aWork.mStream } }
           : nlohmann::json{ { "client", aWork.mText } };
  CallerRecord record{ .mRequestId = aRequestId,
                       .mAccount = aWork.mAccount,
                       .mEntry = aEntry,
                       .mTarget = aWork.mTarget,
                       .mIdempotencyKey = aKey,
                       .mSessionVersion =
                         aWork.mInSession ? aSession.mVersion : "",
                       .mSentAt = NowMillis() };
  std::string streamed;
  http::ClientResponse head;
  const auto patience =
    std::chrono::milliseconds(mOptions.mDeadlineMs) + kCallMargin;
  const auto called = mClient.Call(
    { kLoopback, PortOf(aEntry) },
    { .mMethod = http::Method::Post,
      .mTarget =
        isChat ? "/v1/chat/completions" : "/v1/services/" + aWork.mTarget,
      .mHeaders = std::move(headers),
      .mBody = body.dump() },
    { .mFirstByteTimeout = patience,
      .mNextByteTimeout = patience,
      .mFreshConnection = true,
      .mReceiver =
        [&](std::string_view aData) {
          streamed += aData;
          return true;
        },
      .mOnHead = [&](const http::ClientResponse& aHead) { head = aHead; } });
  record.mEndedAt = NowMillis();
  const auto header = [&](std::string_view aName) {
    return std::string(http::FindHeader(head.mHeaders, aName));
  };
  record.mRun = header("Figslip-Run");
  record.mVersion = header("Figslip-Version");
  record.mGeneration = WholeOf(header("Figslip-Generation"));
  if (const auto* const failure = std::get_if<http::CallFailure>(&called)) {
    record.mEnd =
      failure->mBytesMayHaveLeft ? CallerEnd::Cut : CallerEnd::NotConnected;
  } else {
    const auto& response = std::get<http::ClientResponse>(called);
    record.mBody = response.mBody.empty() ? streamed : response.mBody;
    const bool isEnded =
      !aWork.mStream || record.mBody.ends_with("data: [DONE]\n\n");
    record.mEnd =
      response.mStatus == kOk ? CallerEnd::Answered : CallerEnd::Refused;
    if (response.mStatus == kOk && !isEnded) {
      record.mEnd = CallerEnd::Cut;
    }
    if (aWork.mStream && record.mEnd == CallerEnd::Answered) {
      record.mBody = JoinStream(record.mBody);
    }
  }
  if (record.mEnd == CallerEnd::Answered) {
    aSession = { header("Figslip-Session"), record.mVersion };
  }
  const std::lock_guard lock(mMutex);
  mHistory.mCalls.push_back(record);
  return record;
}

void
Traffic::SampleGenerations()
{
  while (!mStopping) {
    for (const auto& entry : mEntries) {
      const auto askedAt = NowMillis();
      const auto called =
        mClient.Call({ kLoopback, PortOf(entry) },
                     { .mTarget = "/status", .mHeaders = {}, .mBody = {} },
                     { .mFirstByteTimeout = kSamplePatience,
                       .mNextByteTimeout = kSamplePatience,
                       .mFreshConnection = true });
      const auto* const response = std::get_if<http::ClientResponse>(&called);
      if (response == nullptr || response->mStatus != kOk) {
        continue;
      }
      const auto status =
        nlohmann::json::parse(response->mBody, nullptr, false);
      const auto generation =
        json::NumberOr(status, "generation", std::int64_t{ 0 });
      const std::lock_guard lock(mMutex);
      mHistory.mGenerations.push_back({ entry, askedAt, generation });
    }
    std::this_thread::sleep_for(kSampleEvery);
  }
}

bool
Traffic::WaitForAnswers(int aCount)
{
  std::unique_lock lock(mMutex);
  const auto answered = [this] {
    return mIdempotent.mAnswered + mNonIdempotent.mAnswered;
  };
  const auto goal = answered() + aCount;
  return mAnsweredMore.wait_for(
    lock, kAnswerPatience, [&] { return answered() >= goal; });
}

void
Traffic::Publish(manifest::Manifest aManifest)
{
  const auto at = NowMillis();
  mCluster.Publish(std::move(aManifest));
  const std::lock_guard lock(mMutex);
  mHistory.mManifests.push_back({ at, mCluster.Manifest() });
}

void
Traffic::Leave(const std::string& aUpstream)
{
  mCluster.PublishInstances({ aUpstream });
  const std::lock_guard lock(mMutex);
  mHistory.mLeaving.push_back({ aUpstream, NowMillis() });
}

void
Traffic::RestartEntry(const std::string& aEntry)
{
  mCluster.StartEntry(aEntry);
  {
    const std::lock_guard lock(mMutex);
    mOutOfBalancer.erase(aEntry);
    mPorts[aEntry] = mCluster.EntryPort(aEntry);
  }
  mCluster.PublishInstances();
}

void
Traffic::FreezeEntry(const std::string& aEntry)
{
  const std::lock_guard lock(mMutex);
  mHistory.mIsolations.push_back(
    { Isolation::Kind::Frozen, aEntry, NowMillis(), kOpen });
  mCluster.Entry(aEntry).Freeze();
}

void
Traffic::ResumeEntry(const std::string& aEntry)
{
  mCluster.Entry(aEntry).Resume();
  Heal(Isolation::Kind::Frozen, aEntry);
}

void
Traffic::NoteCut(const std::string& aEntry)
{
  const std::lock_guard lock(mMutex);
  mHistory.mIsolations.push_back(
    { Isolation::Kind::Cut, aEntry, NowMillis(), kOpen });
}

void
Traffic::NoteCutHealed(const std::string& aEntry)
{
  Heal(Isolation::Kind::Cut, aEntry);
}

void
Traffic::Heal(Isolation::Kind aKind, const std::string& aEntry)
{
  const std::lock_guard lock(mMutex);
  for (auto& isolation : mHistory.mIsolations) {
    if (isolation.mKind == aKind && isolation.mInstance == aEntry &&
        isolation.mTo == kOpen) {
      isolation.mTo = NowMillis();
    }
  }
}

void
Traffic::StopEntry(const std::string& aEntry)
{
  const auto from = NowMillis();
  auto& process = mCluster.Entry(aEntry);
  process.Signal(SIGTERM);
  while (IsReady(aEntry)) {
    std::this_thread::sleep_for(kReadinessPoll);
  }
  {
    const std::lock_guard lock(mMutex);
    mOutOfBalancer.insert(aEntry);
  }
  const auto code = process.Wait(kStopPatience);
  const std::lock_guard lock(mMutex);
  mHistory.mStops.push_back({ aEntry, from, NowMillis(), code == 0 });
}

Served
Traffic::Idempotent()
{
  const std::lock_guard lock(mMutex);
  return mIdempotent;
}

Served
Traffic::NonIdempotent()
{
  const std::lock_guard lock(mMutex);
  return mNonIdempotent;
}

History
Traffic::Finish()
{
  mStopping = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
  for (const auto& entry : mEntries) {
    if (mCluster.Entry(entry).IsRunning()) {
      StopEntry(entry);
    }
  }
  for (const auto& record : mCluster.BillingRecords()) {
    mHistory.mBilling.push_back(ReadBilling(record));
  }
  for (const auto& plan : mCluster.Plan().mUpstreams) {
    std::ifstream file(mCluster.HistoryFile(plan.mUpstream.mName));
    std::string line;
    while (std::getline(file, line)) {
      mHistory.mRuns.push_back(
        ReadRun(nlohmann::json::parse(line, nullptr, false)));
    }
  }
  std::ranges::sort(mHistory.mRuns, {}, &UpstreamRun::mAt);
  const auto print = [](const char* aName, const Served& aServed) {
    std::cout << aName << ": " << aServed.mAnswered << " of "
              << aServed.mRequests << " answered\n";
  };
  print("idempotent", mIdempotent);
  print("non-idempotent", mNonIdempotent);
  std::cout << mHistory.mCalls.size() << " calls, " << mHistory.mRuns.size()
            << " runs\n";
  return mHistory;
}

} // namespace figslip::test
