#define BOOST_TEST_MODULE file_storage
#include <boost/test/unit_test.hpp>

#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "rosemarywinch/adapters/file_storage.h"

namespace {

// Calls of fdatasync() that still fail, and those that succeeded.
int failing_syncs = 0;
int syncs = 0;
// The disk takes half of the next write, and nothing after it.
enum class Disk { kWithRoom, kAlmostFull, kFull };
Disk disk = Disk::kWithRoom;

}  // namespace

// These take the place of the system's functions in this program.
extern "C" int fdatasync(int fd) {
  if (failing_syncs > 0) {
    --failing_syncs;
    errno = ENOSPC;
    return -1;
  }
  ++syncs;
  return static_cast<int>(::syscall(SYS_fdatasync, fd));
}

extern "C" ssize_t write(int fd, const void* bytes, size_t count) {
  if (disk == Disk::kFull) {
    errno = ENOSPC;
    return -1;
  }
  if (disk == Disk::kAlmostFull) {
    disk = Disk::kFull;
    count /= 2;
  }
  return ::syscall(SYS_write, fd, bytes, count);
}

namespace rosemarywinch {
namespace {

namespace fs = std::filesystem;

struct TempDirectory {
  TempDirectory() {
    char name[] = "/tmp/rosemarywinch-storage-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~TempDirectory() { fs::remove_all(path); }
  std::string path;
};

LogEntry Entry(uint64_t index) {
  return {index, 1, Noop{}};
}

// Writes a hard state and entries 1 to `last`, one append each, as a replica
// does.
void WriteEntries(const std::string& path, uint64_t last) {
  FileStorage storage(path);
  BOOST_REQUIRE(storage.Recover());
  HardState state;
  state.term = 3;
  state.cluster = "c";
  state.self = {1, "i"};
  BOOST_REQUIRE(storage.SaveHardState(state));
  for (uint64_t i = 1; i <= last; ++i) {
    BOOST_REQUIRE(storage.Append({Entry(i)}));
  }
}

ErrorId RecoverError(const std::string& path) {
  FileStorage storage(path);
  const auto outcome = Capture([&] { return storage.Recover(); });
  const auto* error = std::get_if<Error>(&outcome);
  return error == nullptr ? ErrorId::kNone : error->id;
}

BOOST_AUTO_TEST_CASE(synced_state_is_recovered) {
  TempDirectory folder;
  WriteEntries(folder.path, 5);
  FileStorage storage(folder.path);
  const auto recovered = storage.Recover();
  BOOST_REQUIRE(recovered);
  BOOST_TEST(recovered->hard.term == 3u);
  BOOST_TEST(recovered->entries.size() == 5u);
  BOOST_REQUIRE(storage.TruncateFrom(4));
  BOOST_REQUIRE(storage.Append({Entry(4)}));
  Snapshot snapshot;
  snapshot.last_index = 3;
  BOOST_REQUIRE(storage.SaveSnapshot(snapshot, {Entry(4)}));
  FileStorage again(folder.path);
  const auto compacted = again.Recover();
  BOOST_REQUIRE(compacted);
  BOOST_TEST(compacted->snapshot.last_index == 3u);
  BOOST_TEST(compacted->entries.size() == 1u);
}

BOOST_AUTO_TEST_CASE(truncated_last_record_is_dropped) {
  TempDirectory folder;
  WriteEntries(folder.path, 3);
  std::ofstream(folder.path + "/log", std::ios::app | std::ios::binary)
      << "half a rec";
  FileStorage storage(folder.path);
  const auto recovered = storage.Recover();
  BOOST_REQUIRE(recovered);
  BOOST_TEST(recovered->entries.size() == 3u);
  BOOST_REQUIRE(storage.Append({Entry(4)}));
  FileStorage again(folder.path);
  BOOST_TEST(again.Recover()->entries.size() == 4u);
}

BOOST_AUTO_TEST_CASE(log_without_synced_records_is_rejected) {
  TempDirectory folder;
  WriteEntries(folder.path, 5);
  const std::string log = folder.path + "/log";
  fs::resize_file(log, fs::file_size(log) - 10);
  BOOST_TEST((RecoverError(folder.path) == ErrorId::kCorruptRecord));
}

// An append does not sync the `synced` file, so a power loss may tear it and
// leave a mixture of the digits of two indexes.
BOOST_AUTO_TEST_CASE(torn_synced_index_is_ignored) {
  TempDirectory folder;
  WriteEntries(folder.path, 9);
  std::fstream file(folder.path + "/synced",
                    std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(18);
  file.put('1');
  file.close();
  FileStorage storage(folder.path);
  const auto recovered = storage.Recover();
  BOOST_REQUIRE(recovered);
  BOOST_TEST(recovered->entries.size() == 9u);
}

// After a crash a file may have the new length without the bytes of the last
// write.
BOOST_AUTO_TEST_CASE(zeros_after_synced_records_are_dropped) {
  TempDirectory folder;
  WriteEntries(folder.path, 5);
  const std::string log = folder.path + "/log";
  fs::resize_file(log, fs::file_size(log) + 100);
  FileStorage storage(folder.path);
  const auto recovered = storage.Recover();
  BOOST_REQUIRE(recovered);
  BOOST_TEST(recovered->entries.size() == 5u);
}

ino_t FileNumber(const std::string& path) {
  struct stat info {};
  BOOST_REQUIRE(::stat(path.c_str(), &info) == 0);
  return info.st_ino;
}

// Failure: a replica was killed between the write of an entry and its sync,
// acknowledged the entry after its start and lost it with the power.
BOOST_AUTO_TEST_CASE(entries_are_synced_before_they_are_recovered) {
  TempDirectory folder;
  WriteEntries(folder.path, 3);
  FileStorage storage(folder.path);
  syncs = 0;
  BOOST_REQUIRE(storage.Recover());
  BOOST_TEST(syncs > 0);
  failing_syncs = 1;
  BOOST_TEST((RecoverError(folder.path) == ErrorId::kDiskFailed));
  failing_syncs = 0;
}

// Failure: after a failed sync the kernel may take pages for clean that were
// never written, and a full disk may leave half a record before the next one.
BOOST_AUTO_TEST_CASE(the_log_is_written_anew_after_a_failed_write) {
  TempDirectory folder;
  WriteEntries(folder.path, 3);
  FileStorage storage(folder.path);
  BOOST_REQUIRE(storage.Recover());
  const ino_t before = FileNumber(folder.path + "/log");
  failing_syncs = 1;
  BOOST_TEST(std::holds_alternative<Error>(
      Capture([&] { return storage.Append({Entry(4)}); })));
  const auto recovered = storage.Recover();
  BOOST_REQUIRE(recovered);
  BOOST_TEST(recovered->entries.size() == 4u);
  BOOST_TEST(FileNumber(folder.path + "/log") != before);
  BOOST_REQUIRE(storage.Append({Entry(5)}));
  FileStorage again(folder.path);
  BOOST_TEST(again.Recover()->entries.size() == 5u);
}

// Failure: half a record that a full disk had left stood before the next
// entries, out of reach of each later recovery.
BOOST_AUTO_TEST_CASE(half_a_record_of_a_full_disk_hides_no_later_entry) {
  TempDirectory folder;
  WriteEntries(folder.path, 3);
  FileStorage storage(folder.path);
  BOOST_REQUIRE(storage.Recover());
  disk = Disk::kAlmostFull;
  const auto appended = Capture([&] { return storage.Append({Entry(4)}); });
  const auto while_full = Capture([&] { return storage.Recover(); });
  disk = Disk::kWithRoom;
  BOOST_TEST(std::holds_alternative<Error>(appended));
  BOOST_TEST(std::holds_alternative<Error>(while_full));
  BOOST_REQUIRE(storage.Recover());
  BOOST_REQUIRE(storage.Append({Entry(4)}));
  FileStorage again(folder.path);
  BOOST_TEST(again.Recover()->entries.size() == 4u);
}

BOOST_AUTO_TEST_CASE(flipped_byte_is_rejected) {
  for (const char* name : {"/log", "/state"}) {
    TempDirectory folder;
    WriteEntries(folder.path, 5);
    std::fstream file(folder.path + name,
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(20);
    file.put('\x7f');
    file.close();
    BOOST_TEST((RecoverError(folder.path) == ErrorId::kCorruptRecord));
  }
}

BOOST_AUTO_TEST_CASE(log_without_hard_state_is_rejected) {
  TempDirectory folder;
  WriteEntries(folder.path, 2);
  fs::remove(folder.path + "/state");
  BOOST_TEST((RecoverError(folder.path) == ErrorId::kCorruptRecord));
}

BOOST_AUTO_TEST_CASE(folder_that_cannot_be_created_is_reported) {
  BOOST_TEST((RecoverError("/proc/none/such") == ErrorId::kFolderNotWritable));
}

}  // namespace
}  // namespace rosemarywinch
