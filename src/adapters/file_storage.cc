#include "rosemarywinch/adapters/file_storage.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "rosemarywinch/adapters/json_codec.h"

namespace rosemarywinch {

namespace {

constexpr const char* kStateFile = "state";
constexpr const char* kSnapshotFile = "snapshot";
constexpr const char* kLogFile = "log";
constexpr const char* kSyncedFile = "synced";
constexpr mode_t kFileMode = 0640;
constexpr size_t kHeaderBytes = sizeof(uint32_t) + sizeof(uint64_t);

boost::leaf::error_id DiskError(const std::string& path) {
  return Fail(ErrorId::kDiskFailed, path + ": " + std::strerror(errno));
}

// A record consists of length, checksum and payload; the integers are in host
// byte order.
std::string EncodeRecord(const std::string& payload) {
  const auto length = static_cast<uint32_t>(payload.size());
  const uint64_t checksum = XXH3_64bits(payload.data(), payload.size());
  std::string record(kHeaderBytes, '\0');
  std::memcpy(record.data(), &length, sizeof(length));
  std::memcpy(record.data() + sizeof(length), &checksum, sizeof(checksum));
  return record + payload;
}

enum class RecordState { kIntact, kTruncated, kCorrupt };

struct ParsedRecord {
  RecordState state = RecordState::kTruncated;
  std::string_view payload;
};

ParsedRecord ParseRecord(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) {
    return {};
  }
  uint32_t length = 0;
  uint64_t checksum = 0;
  std::memcpy(&length, bytes.data(), sizeof(length));
  std::memcpy(&checksum, bytes.data() + sizeof(length), sizeof(checksum));
  const std::string_view rest = bytes.substr(kHeaderBytes);
  if (rest.size() < length) {
    return {};
  }
  const std::string_view payload = rest.substr(0, length);
  const bool intact = XXH3_64bits(payload.data(), payload.size()) == checksum;
  return {intact ? RecordState::kIntact : RecordState::kCorrupt, payload};
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

Result<Done> WriteAll(int fd,
                      const std::string& bytes,
                      const std::string& path) {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        ::write(fd, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno != EINTR) {
      return DiskError(path);
    }
    written += static_cast<size_t>(std::max<ssize_t>(count, 0));
  }
  return Done{};
}

Result<Done> SyncFolder(const std::string& folder) {
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced = fd >= 0 && ::fsync(fd) == 0;
  ::close(fd);
  if (!synced) {
    return DiskError(folder);
  }
  return Done{};
}

// Content of the `synced` file: the index in digits of fixed width, so that an
// overwrite leaves no digits of an older value, and a checksum of the digits.
std::string FormatSyncedIndex(uint64_t index) {
  std::array<char, 40> text{};
  const int digits = std::snprintf(text.data(), text.size(), "%020llu",
                                   static_cast<unsigned long long>(index));
  const uint64_t checksum =
      XXH3_64bits(text.data(), static_cast<size_t>(digits));
  std::snprintf(text.data() + digits, text.size() - static_cast<size_t>(digits),
                " %016llx", static_cast<unsigned long long>(checksum));
  return text.data();
}

// Returns 0 when the file is absent or was torn by a power loss.
uint64_t ParseSyncedIndex(const std::optional<std::string>& text) {
  if (!text) {
    return 0;
  }
  const uint64_t index = std::strtoull(text->c_str(), nullptr, 10);
  return FormatSyncedIndex(index) == *text ? index : 0;
}

// Reads a file that holds one record; an absent file yields an empty message.
template <typename T>
Result<T> ReadMessage(const std::string& path) {
  const std::optional<std::string> bytes = ReadFile(path);
  if (!bytes) {
    return T{};
  }
  const ParsedRecord record = ParseRecord(*bytes);
  if (record.state != RecordState::kIntact) {
    return Fail(ErrorId::kCorruptRecord, path);
  }
  return FromBinary<T>(record.payload);
}

}  // namespace

FileStorage::~FileStorage() {
  ::close(m_log_fd);
  ::close(m_synced_fd);
}

Result<RecoveredState> FileStorage::Recover() {
  std::error_code code;
  std::filesystem::create_directories(m_folder, code);
  if (code || ::access(m_folder.c_str(), W_OK | X_OK) != 0) {
    return Fail(ErrorId::kFolderNotWritable, m_folder);
  }
  RecoveredState recovered;
  BOOST_LEAF_ASSIGN(recovered.hard, ReadMessage<HardState>(PathOf(kStateFile)));
  BOOST_LEAF_ASSIGN(recovered.snapshot,
                    ReadMessage<Snapshot>(PathOf(kSnapshotFile)));
  BOOST_LEAF_AUTO(entries, ReadLog());
  const uint64_t start = recovered.snapshot.last_index;
  std::erase_if(entries,
                [&](const LogEntry& entry) { return entry.index <= start; });
  recovered.entries = std::move(entries);
  const uint64_t last = start + recovered.entries.size();
  const uint64_t synced = ParseSyncedIndex(ReadFile(PathOf(kSyncedFile)));
  const bool lost = synced > last;
  const bool gap =
      !recovered.entries.empty() && recovered.entries.back().index != last;
  if (lost || gap) {
    return Fail(ErrorId::kCorruptRecord,
                PathOf(kLogFile) + " ends at index " + std::to_string(last) +
                    ", last synced index is " + std::to_string(synced));
  }
  if (recovered.hard.self.instance.empty() && last > 0) {
    return Fail(ErrorId::kCorruptRecord, PathOf(kStateFile) + " is missing");
  }
  if (m_log_suspect) {
    BOOST_LEAF_CHECK(RewriteLog(recovered.entries));
    m_log_suspect = false;
  } else {
    BOOST_LEAF_CHECK(OpenLog());
    BOOST_LEAF_CHECK(SyncLog());
  }
  return recovered;
}

Result<Done> FileStorage::SaveHardState(const HardState& state) {
  return ReplaceFile(kStateFile, EncodeRecord(ToBinary(state)));
}

Result<Done> FileStorage::Append(const std::vector<LogEntry>& entries) {
  std::string bytes;
  for (const LogEntry& entry : entries) {
    bytes += EncodeRecord(ToBinary(entry));
  }
  m_log_suspect = true;
  BOOST_LEAF_CHECK(WriteAll(m_log_fd, bytes, PathOf(kLogFile)));
  BOOST_LEAF_CHECK(SyncLog());
  m_log_suspect = false;
  return WriteSyncedIndex(entries.back().index);
}

Result<Done> FileStorage::TruncateFrom(uint64_t index) {
  BOOST_LEAF_AUTO(entries, ReadLog());
  std::erase_if(entries,
                [&](const LogEntry& entry) { return entry.index >= index; });
  BOOST_LEAF_CHECK(LowerSyncedIndex(index - 1));
  return RewriteLog(entries);
}

Result<Done> FileStorage::SaveSnapshot(
    const Snapshot& snapshot,
    const std::vector<LogEntry>& entries_after) {
  BOOST_LEAF_CHECK(
      ReplaceFile(kSnapshotFile, EncodeRecord(ToBinary(snapshot))));
  BOOST_LEAF_CHECK(
      LowerSyncedIndex(snapshot.last_index + entries_after.size()));
  return RewriteLog(entries_after);
}

std::string FileStorage::PathOf(const char* name) const {
  return m_folder + "/" + name;
}

Result<Done> FileStorage::OpenLog() {
  ::close(m_log_fd);
  ::close(m_synced_fd);
  const int flags = O_WRONLY | O_CREAT | O_CLOEXEC;
  m_log_fd = ::open(PathOf(kLogFile).c_str(), flags | O_APPEND, kFileMode);
  m_synced_fd = ::open(PathOf(kSyncedFile).c_str(), flags, kFileMode);
  if (m_log_fd < 0 || m_synced_fd < 0) {
    return Fail(ErrorId::kFolderNotWritable, m_folder);
  }
  return SyncFolder(m_folder);
}

Result<Done> FileStorage::SyncLog() const {
  if (::fdatasync(m_log_fd) != 0) {
    return DiskError(PathOf(kLogFile));
  }
  return Done{};
}

Result<Done> FileStorage::ReplaceFile(const char* name,
                                      const std::string& bytes) const {
  const std::string path = PathOf(name);
  const std::string temp_path = path + ".new";
  const int fd = ::open(temp_path.c_str(),
                        O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    return DiskError(temp_path);
  }
  Outcome<Done> written =
      Capture([&] { return WriteAll(fd, bytes, temp_path); });
  const bool synced = ::fsync(fd) == 0;
  ::close(fd);
  BOOST_LEAF_CHECK(ToResult(std::move(written)));
  if (!synced || ::rename(temp_path.c_str(), path.c_str()) != 0) {
    return DiskError(path);
  }
  return SyncFolder(m_folder);
}

Result<Done> FileStorage::RewriteLog(const std::vector<LogEntry>& entries) {
  std::string bytes;
  for (const LogEntry& entry : entries) {
    bytes += EncodeRecord(ToBinary(entry));
  }
  BOOST_LEAF_CHECK(ReplaceFile(kLogFile, bytes));
  return OpenLog();
}

Result<Done> FileStorage::WriteSyncedIndex(uint64_t index) {
  const std::string text = FormatSyncedIndex(index);
  const ssize_t written = ::pwrite(m_synced_fd, text.data(), text.size(), 0);
  if (written != static_cast<ssize_t>(text.size())) {
    return DiskError(PathOf(kSyncedFile));
  }
  return Done{};
}

// A lower index must be durable before the log is shortened: otherwise a power
// loss could restore the old index next to the new log.
Result<Done> FileStorage::LowerSyncedIndex(uint64_t index) {
  BOOST_LEAF_CHECK(WriteSyncedIndex(index));
  if (::fdatasync(m_synced_fd) != 0) {
    return DiskError(PathOf(kSyncedFile));
  }
  return Done{};
}

Result<std::vector<LogEntry>> FileStorage::ReadLog() {
  std::vector<LogEntry> entries;
  const std::string path = PathOf(kLogFile);
  const std::string bytes = ReadFile(path).value_or("");
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const ParsedRecord record = ParseRecord(rest);
    // The rest was never synced, or Recover() detects that entries are missing.
    if (record.state != RecordState::kIntact) {
      std::error_code code;
      std::filesystem::resize_file(path, bytes.size() - rest.size(), code);
      break;
    }
    BOOST_LEAF_AUTO(entry, FromBinary<LogEntry>(record.payload));
    entries.push_back(std::move(entry));
    rest.remove_prefix(kHeaderBytes + record.payload.size());
  }
  return entries;
}

}  // namespace rosemarywinch
