#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace figslip::test {

/// Runs one program of the build as a child process of a test.
class Process
{
public:
  /// Starts a program that stands beside the tests.
  /// @param[in] aProgram name of the program
  /// @param[in] aArguments its arguments
  /// @param[in] aInput text for its standard input
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  /// Waits for the line that tells a port, and returns the number in a field.
  [[nodiscard]] int WaitForPort(const std::string& aField);

  /// Returns another number of the line that told the port, 0 if absent.
  [[nodiscard]] int PortOf(const std::string& aField) const;

  void Signal(int aSignal) const;
  void Kill();
  void Freeze() const;
  void Resume() const;

  /// Asks for a graceful stop and waits for the end.
  /// @return the exit code, or nothing if it had to be killed
  std::optional<int> Stop(std::chrono::milliseconds aPatience);

  /// Waits for the end of a process that was told to stop; see `Stop`.
  std::optional<int> Wait(std::chrono::milliseconds aPatience);

  /// Starts to read standard output, so that the pipe does not fill up; done
  /// once the program has told its port, or by the caller where it tells none.
  void DrainOutput();

  /// Returns what has been read of standard output.
  [[nodiscard]] std::string Log() const;

  [[nodiscard]] pid_t Id() const { return mId; }
  [[nodiscard]] bool IsRunning() const { return mId > 0; }

private:
  struct Output
  {
    std::mutex mMutex;
    std::string mText;
  };

  [[nodiscard]] std::string ReadLine();

  pid_t mId = -1;
  int mOutput = -1;
  std::string mPending;
  std::string mListening; ///< the line that told the port
  std::shared_ptr<Output> mLog = std::make_shared<Output>();
};

/// Returns the folder of the built programs.
[[nodiscard]] std::string
ProgramFolder();

/// Returns the path of a file in this test's folder for temporary files.
[[nodiscard]] std::string
TemporaryPath(const std::string& aName);

/// Writes a text to a new file in the folder for temporary files.
[[nodiscard]] std::string
WriteTemporaryFile(const std::string& aName, const std::string& aText);

} // namespace figslip::test
