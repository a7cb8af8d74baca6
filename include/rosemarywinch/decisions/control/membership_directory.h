#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_MEMBERSHIP_DIRECTORY_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_MEMBERSHIP_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/members.h"

namespace rosemarywinch {

/// The leader's directory of nodes and their backend servers, rebuilt from
/// polls in each term. Not thread-safe: the caller serialises all calls.
class MembershipDirectory {
 public:
  /// `timeout` is the time without a poll after which a node is removed.
  explicit MembershipDirectory(Duration timeout) : m_timeout(timeout) {}

  /// Starts a leadership term with an empty directory.
  void Reset(TimePoint now, uint64_t term);

  /// Records what a node reports about itself. A member with an empty service
  /// is a node without a backend server.
  void OnPoll(TimePoint now, const Member& member, bool leaving);

  /// Returns what changed in a service since the cursor. Until every live node
  /// has had time to poll, no update is marked complete, so that nodes that
  /// have not polled yet are not dropped.
  /// Complexity: linear in the members of the service.
  ServiceUpdate UpdateSince(TimePoint now, const ServiceCursor& cursor) const;

  /// Removes nodes that have not polled within the timeout.
  void ExpireSilent(TimePoint now);

  /// Returns all members, for status pages.
  std::vector<Member> Members() const;

 private:
  struct Record {
    Member member;
    TimePoint last_heard;
    uint64_t revision = 0;
    bool removed = false;
  };
  struct Service {
    std::map<std::string, Record> members;
    uint64_t revision = 0;
  };

  uint64_t NextRevision(Service& service) const;
  void Remove(Service& service, Record& record);

  const Duration m_timeout;
  TimePoint m_since;
  uint64_t m_term = 0;
  std::map<std::string, Service> m_services;
  std::map<std::string, std::string> m_service_of_node;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_MEMBERSHIP_DIRECTORY_H_
