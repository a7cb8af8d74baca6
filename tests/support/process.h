#ifndef ROSEMARYWINCH_TESTS_SUPPORT_PROCESS_H_
#define ROSEMARYWINCH_TESTS_SUPPORT_PROCESS_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/json_codec.h"

extern char** environ;

namespace rosemarywinch::test {

// Checks `holds` repeatedly until it returns true or `limit` has elapsed.
// Returns whether it returned true.
inline bool WaitUntil(
    const std::function<bool()>& holds,
    std::chrono::milliseconds limit = std::chrono::milliseconds(15'000)) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock lock(mutex);
  while (!holds()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    never.wait_for(lock, std::chrono::milliseconds(20), [] { return false; });
  }
  return true;
}

inline void Pause(std::chrono::milliseconds length) {
  WaitUntil([] { return false; }, length);
}

// A temporary folder that is removed on destruction.
class TempFolder {
 public:
  TempFolder() {
    char name[] = "/tmp/rosemarywinch-test-XXXXXX";
    m_path = ::mkdtemp(name);
  }
  ~TempFolder() { std::filesystem::remove_all(m_path); }
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;

  std::string At(const std::string& name) const { return m_path + "/" + name; }

 private:
  std::string m_path;
};

// A child process that runs a program of the build folder. Its output and its
// log go to files.
class Process {
 public:
  Process(const std::string& program,
          std::vector<std::string> arguments,
          const std::string& output)
      : m_output(output) {
    arguments.insert(arguments.begin(),
                     std::string(ROSEMARYWINCH_BINARY_FOLDER) + "/" + program);
    std::vector<char*> words;
    for (std::string& argument : arguments) {
      words.push_back(argument.data());
    }
    words.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, output.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_addopen(&files, 2, (output + ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::posix_spawn(&m_pid, words[0], &files, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&files);
  }
  ~Process() {
    if (m_pid > 0) {
      Signal(SIGKILL);
      Wait();
    }
  }
  Process(Process&& other) noexcept
      : m_output(std::move(other.m_output)),
        m_pid(std::exchange(other.m_pid, -1)) {}
  Process& operator=(Process&&) = delete;

  void Signal(int number) const { ::kill(m_pid, number); }

  // Largest resident memory so far, in MB.
  uint64_t PeakMegabytes() const {
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stoull(line.substr(line.find_first_of("0123456789"))) /
               1024;
      }
    }
    return 0;
  }

  // Returns whether the process has neither exited nor been ended.
  bool IsRunning() {
    siginfo_t info{};
    const int result = ::waitid(P_PID, static_cast<id_t>(m_pid), &info,
                                WEXITED | WNOHANG | WNOWAIT);
    return result == 0 && info.si_pid == 0;
  }

  // Waits for the process to exit. Returns the exit code, or -1 if a signal
  // ended it.
  int Wait() {
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  // Returns a field of the line in which the process reports its ports.
  std::string Field(const std::string& name) const {
    std::string line;
    WaitUntil([&] {
      std::ifstream file(m_output);
      return std::getline(file, line) && line.ends_with("}");
    });
    const Json json = Json::parse(line, nullptr, false);
    if (json.is_discarded() || !json.contains(name)) {
      return "";
    }
    return json[name].is_string() ? json[name].get<std::string>()
                                  : json[name].dump();
  }

  std::string Output() const { return Read(m_output); }
  std::string Log() const { return Read(m_output + ".log"); }

 private:
  static std::string Read(const std::string& path) {
    std::ifstream file(path);
    return std::string(std::istreambuf_iterator<char>(file), {});
  }

  std::string m_output;
  pid_t m_pid = -1;
};

}  // namespace rosemarywinch::test

#endif  // ROSEMARYWINCH_TESTS_SUPPORT_PROCESS_H_
