#pragma once

#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace figslip::admission {

/// @brief Lists what a connection is used for, in the order in which
/// connections are closed when the budget is short.
enum class ConnectionPhase
{
  Closing,   ///< nothing more is served on it
  Idle,      ///< waits for a request
  Reading,   ///< a request has arrived in part
  Answering, ///< a whole response is being sent
  Running    ///< a request runs at an upstream; never closed
};

/// @brief Returns the name of a phase for logs and metrics.
[[nodiscard]] std::string_view
NameOf(ConnectionPhase aPhase);

/// @brief Lists what the budget was short of.
enum class Shortage
{
  Memory,
  Descriptors
};

/// @brief Returns the name of a shortage for logs and metrics.
[[nodiscard]] std::string_view
NameOf(Shortage aShortage);

/// @brief Describes a connection that yields to others.
struct YieldedConnection
{
  std::string mAddress;
  bool mIsNew = false; ///< was not admitted at all
  ConnectionPhase mPhase = ConnectionPhase::Closing; ///< until then
  Shortage mShortage = Shortage::Memory;
  std::size_t mBytes = 0; ///< held until then
};

/// @brief Divides the memory and the descriptors of a process among the
/// connections of its clients.
///
/// Each connection takes memory before it buffers. When the budget is short,
/// the client address that holds the most yields, so that an address's share
/// binds only while others compete: first its connections that are closing or
/// idle, then the one with the least progress for what it holds.
class ConnectionBudget
{
  struct Accounts;
  struct AddressAccount;

public:
  struct Options
  {
    std::size_t mMaxBytes = 0; ///< of all connections together
    int mMaxDescriptors = 0;   ///< likewise
    int mMaxConnections = std::numeric_limits<int>::max();
    /// descriptors of a request that runs, beyond the connection's own
    int mRunDescriptors = 1;
    /// called for each connection that yields
    std::function<void(const YieldedConnection&)> mOnYielded;
    /// returns the descriptors of idle connections to upstreams; empty: none
    std::function<int()> mCountPooled;
    /// closes one of those; they yield before any client's connection
    std::function<void()> mClosePooled;
  };

  /// @brief Accounts for one connection from its construction to its
  /// destruction.
  class Member
  {
  public:
    /// Memory of a connection without any buffer, bytes: its objects, its
    /// coroutine and the kernel's socket.
    static constexpr std::size_t kBaseBytes = 8'192;

    /// @param[in] aBudget may be destroyed before the member
    /// @param[in] aOnYield called when the connection must yield: for memory,
    ///            its buffers must be freed, and it may still be told why it is
    ///            closed; for descriptors, possibly later, it must be closed at
    ///            once. Must not change the budget.
    Member(ConnectionBudget& aBudget,
           std::string aAddress,
           std::function<void(Shortage)> aOnYield,
           TimePoint aNow);
    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;
    ~Member();

    /// @brief Changes the memory that the connection buffers beyond its base.
    /// @return false if it must not; then nothing has changed, or the
    /// connection itself had to yield
    [[nodiscard]] bool Resize(std::size_t aBytes, TimePoint aNow);

    /// @brief Records memory that is held in any case, such as the kernel's;
    /// others yield for it where they can.
    void Record(std::size_t aBytes, TimePoint aNow);

    /// @brief Enters a phase; the connection begins it with the progress of a
    /// new one.
    /// @return false if it must not: there is no descriptor for the upstream's
    /// connection of a request that is to run
    [[nodiscard]] bool Enter(ConnectionPhase aPhase, TimePoint aNow);

    /// @brief Records bytes that came or were taken by the client.
    void OnProgress(std::size_t aBytes, TimePoint aNow);

    [[nodiscard]] std::size_t Bytes() const { return mBytes; }
    [[nodiscard]] ConnectionPhase Phase() const { return mPhase; }
    /// @brief Returns whether the budget admitted the connection and did not
    /// want it to yield since.
    [[nodiscard]] bool IsAdmitted() const { return mIsAdmitted; }

  private:
    friend class ConnectionBudget;

    /// Returns the progress at a time, bytes; recent bytes count more.
    [[nodiscard]] double ProgressAt(TimePoint aNow) const;
    [[nodiscard]] int Descriptors() const { return DescriptorsIn(mPhase); }
    [[nodiscard]] int DescriptorsIn(ConnectionPhase aPhase) const;

    std::shared_ptr<Accounts> mAccounts;
    std::string mAddress;
    AddressAccount* mPlace = nullptr; ///< null: not in the accounts
    std::function<void(Shortage)> mOnYield;
    TimePoint mSince; ///< begin of the phase
    TimePoint mProgressAt;
    double mProgress = 0.0; ///< as of `mProgressAt`
    std::size_t mBytes = 0;
    ConnectionPhase mPhase = ConnectionPhase::Idle;
    bool mHasServed = false;
    bool mIsAdmitted = false;
  };

  explicit ConnectionBudget(Options aOptions);

  [[nodiscard]] std::size_t UsedBytes() const;
  [[nodiscard]] int UsedDescriptors() const;
  [[nodiscard]] int Connections() const;

private:
  std::shared_ptr<Accounts> mAccounts;
};

/// @brief Holds the parts of a process's limits that its addresses may use.
struct ConnectionLimits
{
  std::size_t mCallerBytes = 0;
  int mCallerDescriptors = 0; ///< with those to upstreams for running requests
  int mCallerConnections = 0;
  std::size_t mPeerBytes = 0;
  int mPeerDescriptors = 0;
  std::size_t mProbeBytes = 0; ///< of readiness and metrics each
  int mProbeDescriptors = 0;   ///< likewise
  int mBacklog = 0; ///< connections that wait to be accepted at an address
};

/// @brief Divides the limits of a process.
/// @param[in] aMemoryMb memory of the process, MB
/// @param[in] aMaxDescriptors descriptors of the process, with those of files
/// @param[in] aCallerMemoryFraction of the memory for what callers send and
///            have not taken
[[nodiscard]] ConnectionLimits
DivideConnectionLimits(int aMemoryMb,
                       int aMaxDescriptors,
                       double aCallerMemoryFraction);

} // namespace figslip::admission
