#pragma once

#include <figslip/net/asio.hpp>
#include <figslip/net/caller_connection.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace figslip::test {

/// Plays the platform's store: lists, watches and conditional writes.
class StoreStandIn
{
public:
  enum class Mode
  {
    Open,
    Busy,   ///< answers 503
    Silent, ///< answers nothing
    Trickle ///< begins answers that go on, slowly, until the caller closes
  };

  /// Revision before the first write.
  static constexpr std::int64_t kFirstRevision = 5;

  StoreStandIn();
  StoreStandIn(const StoreStandIn&) = delete;
  StoreStandIn& operator=(const StoreStandIn&) = delete;
  ~StoreStandIn();

  [[nodiscard]] int Port() const { return mPort; }

  /// Opens another port, at which texts in answers are replaced: an instance
  /// that calls there sees upstreams at other addresses.
  [[nodiscard]] int AddPort(std::map<std::string, std::string> aReplacements);

  void SetMode(Mode aMode) { mMode = aMode; }
  /// Counts the calls so far.
  [[nodiscard]] int Calls();
  /// Counts the calls so far for objects of a kind.
  [[nodiscard]] int CallsOf(const std::string& aKind);

  /// Writes an object as the operator or an upstream would.
  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);
  /// Writes an object as another writer would.
  /// @param[in] aText its spec or its status, sent as it is
  void PutRaw(const std::string& aKind,
              const std::string& aName,
              const std::string& aText,
              const std::string& aPart = "spec");
  /// Writes an object that is sent as it is.
  /// @param[in] aText {revision} stands for its revision
  void PutRawObject(const std::string& aKind,
                    const std::string& aName,
                    std::string aText);
  void Remove(const std::string& aKind, const std::string& aName);
  /// Forgets the history, so that watches answer 410.
  void Compact();

  /// Holds all objects and the history at some moment.
  struct Copy;
  [[nodiscard]] std::shared_ptr<const Copy> TakeCopy();
  /// Comes back from an older copy, in the next era: later changes are gone,
  /// and their revisions are given out again.
  void Restore(const Copy& aCopy);

  /// Returns the status of an object; null if there is none.
  [[nodiscard]] nlohmann::json StatusOf(const std::string& aKind,
                                        const std::string& aName);
  /// Returns the names of the objects of a kind.
  [[nodiscard]] std::vector<std::string> NamesOf(const std::string& aKind);

private:
  using Connection = std::shared_ptr<net::CallerConnection>;

  /// Holds an answer, or tells to wait for a change.
  struct Answer
  {
    unsigned mStatus = 200;
    nlohmann::json mBody;
    bool mMustWait = false;
    int mEra = 0;
  };

  struct Event
  {
    std::string mKind;
    std::int64_t mRevision = 0;
    nlohmann::json mBody;
  };

  using Replacements = std::map<std::string, std::string>;

  /// A port, and the texts that are replaced in its answers.
  struct Listener
  {
    net::tcp::acceptor mAcceptor;
    Replacements mReplacements;
  };

  [[nodiscard]] net::Awaitable<void> Accept(
    std::shared_ptr<Listener> aListener);
  [[nodiscard]] net::Awaitable<void> Serve(Connection aConnection,
                                           const Replacements& aReplacements);
  [[nodiscard]] net::Awaitable<void> Trickle(Connection aConnection);
  [[nodiscard]] Answer AnswerTo(const net::RequestMessage& aRequest);
  [[nodiscard]] Answer Handle(const net::RequestMessage& aRequest);
  [[nodiscard]] Answer Read(const std::string& aKind, std::int64_t aWatch);
  /// Returns the page of the objects after a name.
  [[nodiscard]] Answer List(const std::string& aKind,
                            const std::string& aAfter);
  [[nodiscard]] Answer Write(const net::RequestMessage& aRequest,
                             const std::string& aKind,
                             const std::string& aName);
  /// Keeps a text and returns what stands for it in an object.
  [[nodiscard]] std::string MarkRaw(const std::string& aText);
  /// Prints a body with the texts that are sent as they are.
  [[nodiscard]] std::string Print(const nlohmann::json& aBody);
  void Note(const std::string& aKind,
            const nlohmann::json& aObject,
            bool aDeleted);

  net::asio::io_context mContext{ 1 };
  int mPort = 0;
  std::atomic<Mode> mMode{ Mode::Open };
  std::mutex mMutex;
  std::map<std::string, int> mCalls; ///< by kind
  int mEra = 1;
  std::int64_t mRevision = kFirstRevision;
  std::int64_t mForgotten = 0; ///< revision up to which the history is gone
  std::map<std::string, std::map<std::string, nlohmann::json>> mObjects;
  std::vector<Event> mEvents;
  std::map<std::string, std::string> mRaw; ///< texts by what stands for them
  std::thread mThread;
};

} // namespace figslip::test
