#include <figslip/admission/connection_budget.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace figslip::admission {

namespace {

/// Progress with which a phase begins, bytes. An ordinary request is served
/// before the progress of its connection falls below that of a client that has
/// stopped.
constexpr double kInitialProgress = 65'536.0;

/// Time in which progress falls to 1/e, seconds. Ordinary clients that lose a
/// packet continue within it.
constexpr double kProgressDecay = 1.0;

/// Descriptors of the process for files, of those that the settings name.
constexpr int kFileDescriptors = 200;

/// Smallest part of all descriptors that is left for sockets.
constexpr double kMinSocketFraction = 0.25;

/// Parts of the sockets. Those of callers are shared with pooled connections to
/// upstreams; a request that runs takes two. What is left is for the addresses
/// listened on, for the store, for replacements of silent attempts and for the
/// checks of crashes.
constexpr double kCallerDescriptorFraction = 0.7;
constexpr double kPeerDescriptorFraction = 0.1;
constexpr double kProbeDescriptorFraction = 0.02;

/// Fewest connections at a place, whatever the settings say.
constexpr int kMinDescriptors = 4;

/// Part of the memory for what the kernel holds of callers' connections that
/// has not been read, and the most that it holds of one.
constexpr double kKernelMemoryFraction = 0.3125;
constexpr double kKernelBytes = 131'072.0;

/// Part of the memory for other instances that follow this one, and for
/// readiness and metrics each.
constexpr double kPeerMemoryFraction = 0.06;
constexpr double kProbeMemoryFraction = 0.01;

constexpr double kBytesPerMegabyte = 1'048'576.0;

/// Connections that wait to be accepted at an address for each MB of memory.
/// The kernel holds 4 KB of each, see `net::Listen`, or 0.04 of the memory. An
/// instance of 200 MB must have room for some hundred new connections while it
/// is busy for 100 ms, because a client's kernel tries one that finds no room
/// again only after 1 s. With a backlog of 16 for readiness, a crowd of 300
/// that connected there took 15 s.
constexpr double kBacklogPerMb = 10.0;

/// Bounds of a backlog, whatever the memory.
constexpr int kMinBacklog = 16;
constexpr int kMaxBacklog = 1'024;

} // namespace

std::string_view
NameOf(ConnectionPhase aPhase)
{
  switch (aPhase) {
    case ConnectionPhase::Closing:
      return "closing";
    case ConnectionPhase::Idle:
      return "idle";
    case ConnectionPhase::Reading:
      return "reading";
    case ConnectionPhase::Answering:
      return "answering";
    case ConnectionPhase::Running:
      return "running";
  }
  return "";
}

std::string_view
NameOf(Shortage aShortage)
{
  switch (aShortage) {
    case Shortage::Memory:
      return "memory";
    case Shortage::Descriptors:
      return "descriptors";
  }
  return "";
}

/// What the connections of a client address hold.
struct ConnectionBudget::AddressAccount
{
  std::set<Member*> mMembers;
  std::size_t mBytes = 0;
  int mDescriptors = 0;
};

struct ConnectionBudget::Accounts
{
  /// What a member asks for.
  struct Demand
  {
    Member* mMember = nullptr;
    Shortage mShortage = Shortage::Memory;
    std::size_t mBytes = 0; ///< more than it has
    int mDescriptors = 0;   ///< likewise
    int mConnections = 0;   ///< 1 for a new one
    TimePoint mNow;
  };

  Options mOptions;
  std::map<std::string, AddressAccount> mAddresses;
  std::size_t mBytes = 0;
  int mDescriptors = 0;
  int mConnections = 0;

  [[nodiscard]] int Pooled() const
  {
    return mOptions.mCountPooled ? mOptions.mCountPooled() : 0;
  }
  [[nodiscard]] bool IsMet(const Demand& aDemand) const;
  /// Lets connections yield until a demand is met.
  /// @return false if it cannot be met, or the member itself yielded
  [[nodiscard]] bool MakeRoom(const Demand& aDemand);
  /// Chooses who yields; null if nobody can.
  [[nodiscard]] Member* ChooseYielding(const Demand& aDemand) const;
  [[nodiscard]] Member* ChooseAmong(const AddressAccount& aAddress,
                                    const Demand& aDemand) const;
  void Yield(Member& aMember, Shortage aShortage);
  void Insert(Member& aMember);
  void Erase(Member& aMember);
  void SetBytes(Member& aMember, std::size_t aBytes);
};

bool
ConnectionBudget::Accounts::IsMet(const Demand& aDemand) const
{
  return mConnections + aDemand.mConnections <= mOptions.mMaxConnections &&
         (aDemand.mBytes == 0 ||
          mBytes + aDemand.mBytes <= mOptions.mMaxBytes) &&
         (aDemand.mDescriptors == 0 ||
          mDescriptors + Pooled() + aDemand.mDescriptors <=
            mOptions.mMaxDescriptors);
}

bool
ConnectionBudget::Accounts::MakeRoom(const Demand& aDemand)
{
  while (!IsMet(aDemand)) {
    const bool hasPlace =
      mConnections + aDemand.mConnections <= mOptions.mMaxConnections;
    if (aDemand.mShortage == Shortage::Descriptors && hasPlace &&
        Pooled() > 0) {
      mOptions.mClosePooled();
      continue;
    }
    auto* const yielding = ChooseYielding(aDemand);
    if (yielding == nullptr) {
      return false;
    }
    Yield(*yielding, aDemand.mShortage);
    if (yielding == aDemand.mMember) {
      return false;
    }
  }
  return true;
}

ConnectionBudget::Member*
ConnectionBudget::Accounts::ChooseYielding(const Demand& aDemand) const
{
  const bool isMemory = aDemand.mShortage == Shortage::Memory;
  // what an address would hold if the demand were met
  const auto holding = [&](const auto& aEntry) {
    const auto& [name, address] = aEntry;
    const bool asks = name == aDemand.mMember->mAddress;
    const auto held =
      isMemory ? address.mBytes + (asks ? aDemand.mBytes : 0)
               : static_cast<std::size_t>(address.mDescriptors +
                                          (asks ? aDemand.mDescriptors : 0));
    return std::pair(held, asks);
  };
  std::vector<std::pair<std::pair<std::size_t, bool>, const AddressAccount*>>
    order;
  order.reserve(mAddresses.size());
  for (const auto& entry : mAddresses) {
    order.emplace_back(holding(entry), &entry.second);
  }
  std::ranges::sort(order, std::ranges::greater{}, [](const auto& aEntry) {
    return aEntry.first;
  });
  for (const auto& [held, address] : order) {
    if (auto* const member = ChooseAmong(*address, aDemand)) {
      return member;
    }
    if (held.second) {
      return nullptr; // nobody yields to an address that holds more
    }
  }
  return nullptr;
}

ConnectionBudget::Member*
ConnectionBudget::Accounts::ChooseAmong(const AddressAccount& aAddress,
                                        const Demand& aDemand) const
{
  const bool isMemory = aDemand.mShortage == Shortage::Memory;
  // the least one yields first
  const auto rank = [&](const Member* aMember) {
    const auto phase =
      std::min(aMember->mPhase, ConnectionPhase::Reading); // answers likewise
    if (phase != ConnectionPhase::Reading) {
      const auto since = aMember->mSince.time_since_epoch().count();
      return std::tuple(phase, aMember->mHasServed, static_cast<double>(since));
    }
    const auto held = isMemory ? aMember->mBytes + Member::kBaseBytes : 1;
    return std::tuple(phase,
                      false,
                      aMember->ProgressAt(aDemand.mNow) /
                        static_cast<double>(held));
  };
  Member* chosen = nullptr;
  for (auto* const member : aAddress.mMembers) {
    const bool mayYield = member->mPhase != ConnectionPhase::Running;
    const bool isNew = !isMemory && member == aDemand.mMember;
    if (mayYield && !isNew &&
        (chosen == nullptr || rank(member) < rank(chosen))) {
      chosen = member;
    }
  }
  return chosen;
}

void
ConnectionBudget::Accounts::Yield(Member& aMember, Shortage aShortage)
{
  const YieldedConnection yielded{ .mAddress = aMember.mAddress,
                                   .mPhase = aMember.mPhase,
                                   .mShortage = aShortage,
                                   .mBytes = aMember.mBytes };
  // an idle connection has nothing to be told and is closed either way
  if (aShortage == Shortage::Memory &&
      aMember.mPhase == ConnectionPhase::Reading) {
    SetBytes(aMember, 0);
    aMember.mPhase = ConnectionPhase::Closing;
  } else {
    Erase(aMember);
  }
  aMember.mIsAdmitted = false;
  aMember.mOnYield(yielded.mPhase == ConnectionPhase::Reading
                     ? aShortage
                     : Shortage::Descriptors);
  if (mOptions.mOnYielded) {
    mOptions.mOnYielded(yielded);
  }
}

void
ConnectionBudget::Accounts::Insert(Member& aMember)
{
  auto& place = mAddresses[aMember.mAddress];
  aMember.mPlace = &place;
  place.mMembers.insert(&aMember);
  place.mBytes += Member::kBaseBytes;
  place.mDescriptors += aMember.Descriptors();
  mBytes += Member::kBaseBytes;
  mDescriptors += aMember.Descriptors();
  ++mConnections;
}

void
ConnectionBudget::Accounts::Erase(Member& aMember)
{
  if (aMember.mPlace == nullptr) {
    return;
  }
  SetBytes(aMember, 0);
  auto& place = *std::exchange(aMember.mPlace, nullptr);
  place.mMembers.erase(&aMember);
  place.mBytes -= Member::kBaseBytes;
  place.mDescriptors -= aMember.Descriptors();
  mBytes -= Member::kBaseBytes;
  mDescriptors -= aMember.Descriptors();
  --mConnections;
  if (place.mMembers.empty()) {
    mAddresses.erase(aMember.mAddress);
  }
}

void
ConnectionBudget::Accounts::SetBytes(Member& aMember, std::size_t aBytes)
{
  aMember.mPlace->mBytes += aBytes;
  aMember.mPlace->mBytes -= aMember.mBytes;
  mBytes += aBytes;
  mBytes -= aMember.mBytes;
  aMember.mBytes = aBytes;
}

ConnectionBudget::ConnectionBudget(Options aOptions)
  : mAccounts(std::make_shared<Accounts>())
{
  mAccounts->mOptions = std::move(aOptions);
}

std::size_t
ConnectionBudget::UsedBytes() const
{
  return mAccounts->mBytes;
}

int
ConnectionBudget::UsedDescriptors() const
{
  return mAccounts->mDescriptors;
}

int
ConnectionBudget::Connections() const
{
  return mAccounts->mConnections;
}

ConnectionBudget::Member::Member(ConnectionBudget& aBudget,
                                 std::string aAddress,
                                 std::function<void(Shortage)> aOnYield,
                                 TimePoint aNow)
  : mAccounts(aBudget.mAccounts)
  , mAddress(std::move(aAddress))
  , mOnYield(std::move(aOnYield))
  , mSince(aNow)
  , mProgressAt(aNow)
  , mProgress(kInitialProgress)
{
  const bool hasDescriptor =
    mAccounts->MakeRoom({ .mMember = this,
                          .mShortage = Shortage::Descriptors,
                          .mDescriptors = 1,
                          .mConnections = 1,
                          .mNow = aNow });
  mIsAdmitted =
    hasDescriptor && mAccounts->MakeRoom({ .mMember = this,
                                           .mShortage = Shortage::Memory,
                                           .mBytes = kBaseBytes,
                                           .mNow = aNow });
  if (mIsAdmitted) {
    mAccounts->Insert(*this);
  } else if (mAccounts->mOptions.mOnYielded) {
    const auto shortage =
      hasDescriptor ? Shortage::Memory : Shortage::Descriptors;
    mAccounts->mOptions.mOnYielded(
      { .mAddress = mAddress, .mIsNew = true, .mShortage = shortage });
  }
}

ConnectionBudget::Member::~Member()
{
  mAccounts->Erase(*this);
}

bool
ConnectionBudget::Member::Resize(std::size_t aBytes, TimePoint aNow)
{
  if (!mIsAdmitted) {
    return false;
  }
  if (aBytes > mBytes && !mAccounts->MakeRoom({ .mMember = this,
                                                .mShortage = Shortage::Memory,
                                                .mBytes = aBytes - mBytes,
                                                .mNow = aNow })) {
    return false;
  }
  mAccounts->SetBytes(*this, aBytes);
  return true;
}

void
ConnectionBudget::Member::Record(std::size_t aBytes, TimePoint aNow)
{
  if (!Resize(aBytes, aNow) && mIsAdmitted) {
    mAccounts->SetBytes(*this, aBytes);
  }
}

bool
ConnectionBudget::Member::Enter(ConnectionPhase aPhase, TimePoint aNow)
{
  if (!mIsAdmitted) {
    return false;
  }
  const int more = DescriptorsIn(aPhase) - Descriptors();
  if (more > 0 && !mAccounts->MakeRoom({ .mMember = this,
                                         .mShortage = Shortage::Descriptors,
                                         .mDescriptors = more,
                                         .mNow = aNow })) {
    return false;
  }
  mHasServed = mHasServed || mPhase == ConnectionPhase::Answering ||
               mPhase == ConnectionPhase::Running;
  mPhase = aPhase;
  mPlace->mDescriptors += more;
  mAccounts->mDescriptors += more;
  mSince = aNow;
  mProgressAt = aNow;
  mProgress = kInitialProgress;
  return true;
}

void
ConnectionBudget::Member::OnProgress(std::size_t aBytes, TimePoint aNow)
{
  mProgress = ProgressAt(aNow) + static_cast<double>(aBytes);
  mProgressAt = aNow;
}

double
ConnectionBudget::Member::ProgressAt(TimePoint aNow) const
{
  const std::chrono::duration<double> elapsed = aNow - mProgressAt;
  return mProgress * std::exp(-std::max(0.0, elapsed.count()) / kProgressDecay);
}

int
ConnectionBudget::Member::DescriptorsIn(ConnectionPhase aPhase) const
{
  const int forRun = mAccounts->mOptions.mRunDescriptors;
  return aPhase == ConnectionPhase::Running ? 1 + forRun : 1;
}

ConnectionLimits
DivideConnectionLimits(int aMemoryMb,
                       int aMaxDescriptors,
                       double aCallerMemoryFraction)
{
  const double memory = aMemoryMb * kBytesPerMegabyte;
  const int descriptors =
    std::max(aMaxDescriptors - kFileDescriptors,
             static_cast<int>(aMaxDescriptors * kMinSocketFraction));
  const auto bytes = [&](double aFraction) {
    return static_cast<std::size_t>(memory * aFraction);
  };
  const auto count = [&](double aFraction) {
    return std::max(kMinDescriptors, static_cast<int>(descriptors * aFraction));
  };
  return { .mCallerBytes = bytes(aCallerMemoryFraction),
           .mCallerDescriptors = count(kCallerDescriptorFraction),
           .mCallerConnections = std::max(
             kMinDescriptors,
             static_cast<int>(memory * kKernelMemoryFraction / kKernelBytes)),
           .mPeerBytes = bytes(kPeerMemoryFraction),
           .mPeerDescriptors = count(kPeerDescriptorFraction),
           .mProbeBytes = bytes(kProbeMemoryFraction),
           .mProbeDescriptors = count(kProbeDescriptorFraction),
           .mBacklog =
             static_cast<int>(std::clamp(aMemoryMb * kBacklogPerMb,
                                         static_cast<double>(kMinBacklog),
                                         static_cast<double>(kMaxBacklog))) };
}

} // namespace figslip::admission
