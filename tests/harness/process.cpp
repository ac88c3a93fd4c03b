#include "harness/process.hpp"

#include <figslip/json/field_or.hpp>

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace figslip::test {

std::string
ProgramFolder()
{
  const auto* const folder = std::getenv("FIGSLIP_BIN");
  if (folder != nullptr) {
    return folder;
  }
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

std::string
TemporaryPath(const std::string& aName)
{
  const auto folder = std::filesystem::temp_directory_path() /
                      ("figslip-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  return folder / aName;
}

std::string
WriteTemporaryFile(const std::string& aName, const std::string& aText)
{
  auto path = TemporaryPath(aName);
  std::ofstream(path) << aText;
  return path;
}

Process::Process(const std::string& aProgram,
                 const std::vector<std::string>& aArguments)
{
  int pipeEnds[2] = {};
  if (pipe2(pipeEnds, O_CLOEXEC) != 0) {
    throw std::runtime_error("no pipe can be made");
  }
  const auto path = ProgramFolder() + "/" + aProgram;
  std::vector<char*> arguments = { const_cast<char*>(path.c_str()) };
  for (const auto& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
  const int error = posix_spawn(
    &mId, path.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipeEnds[1]);
  mOutput = pipeEnds[0];
  if (error != 0) {
    throw std::runtime_error(path + " cannot be started");
  }
}

Process::~Process()
{
  Kill();
  if (mOutput >= 0) {
    close(mOutput);
  }
}

std::string
Process::ReadLine()
{
  std::size_t end = mPending.find('\n');
  while (end == std::string::npos) {
    char buffer[4096];
    const auto count = read(mOutput, buffer, sizeof(buffer));
    if (count <= 0) {
      throw std::runtime_error("the program ended without telling its port");
    }
    mPending.append(buffer, static_cast<std::size_t>(count));
    end = mPending.find('\n');
  }
  auto line = mPending.substr(0, end);
  mPending.erase(0, end + 1);
  return line;
}

int
Process::WaitForPort(const std::string& aField)
{
  while (true) {
    mListening = ReadLine();
    const auto line = nlohmann::json::parse(mListening, nullptr, false);
    if (line.is_object() && line.contains(aField)) {
      DrainOutput();
      return PortOf(aField);
    }
  }
}

int
Process::PortOf(const std::string& aField) const
{
  const auto line = nlohmann::json::parse(mListening, nullptr, false);
  return line.is_object() ? json::NumberOr(line, aField, 0) : 0;
}

std::string
Process::Log() const
{
  const std::lock_guard lock(mLog->mMutex);
  return mLog->mText;
}

void
Process::DrainOutput()
{
  const auto* const logFile = std::getenv("FIGSLIP_TEST_LOG");
  const int log =
    logFile == nullptr
      ? -1
      : open(logFile, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  mLog->mText = std::exchange(mPending, {});
  std::thread([output = std::exchange(mOutput, -1), log, kept = mLog] {
    char buffer[4096];
    auto count = read(output, buffer, sizeof(buffer));
    while (count > 0) {
      {
        const std::lock_guard lock(kept->mMutex);
        kept->mText.append(buffer, static_cast<std::size_t>(count));
      }
      if (log >= 0 && write(log, buffer, static_cast<std::size_t>(count)) < 0) {
        break;
      }
      count = read(output, buffer, sizeof(buffer));
    }
    close(output);
    if (log >= 0) {
      close(log);
    }
  }).detach();
}

void
Process::Signal(int aSignal) const
{
  if (mId > 0) {
    kill(mId, aSignal);
  }
}

void
Process::Kill()
{
  if (mId > 0) {
    kill(mId, SIGKILL);
    waitpid(mId, nullptr, 0);
    mId = -1;
  }
}

void
Process::Freeze() const
{
  Signal(SIGSTOP);
}

void
Process::Resume() const
{
  Signal(SIGCONT);
}

std::optional<int>
Process::Stop(std::chrono::milliseconds aPatience)
{
  Signal(SIGTERM);
  return Wait(aPatience);
}

std::optional<int>
Process::Wait(std::chrono::milliseconds aPatience)
{
  constexpr auto kPoll = std::chrono::milliseconds(10);
  for (auto waited = std::chrono::milliseconds(0); waited < aPatience;
       waited += kPoll) {
    int status = 0;
    if (waitpid(mId, &status, WNOHANG) == mId) {
      mId = -1;
      return WIFEXITED(status) ? std::optional(WEXITSTATUS(status))
                               : std::nullopt;
    }
    std::this_thread::sleep_for(kPoll);
  }
  Kill();
  return std::nullopt;
}

} // namespace figslip::test
