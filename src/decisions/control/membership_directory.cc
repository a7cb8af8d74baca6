#include "rosemarywinch/decisions/control/membership_directory.h"

#include <algorithm>

namespace rosemarywinch {

namespace {

// The upper half of a revision holds the term, so that a cursor of an earlier
// leader is never mistaken for one of this leader.
constexpr int kTermShift = 32;

bool SameTerm(uint64_t a, uint64_t b) {
  return (a >> kTermShift) == (b >> kTermShift);
}

}  // namespace

void MembershipDirectory::Reset(TimePoint now, uint64_t term) {
  m_since = now;
  m_term = term;
  m_services.clear();
  m_service_of_node.clear();
}

void MembershipDirectory::OnPoll(TimePoint now,
                                 const Member& member,
                                 bool leaving) {
  const auto previous = m_service_of_node.find(member.node);
  const bool moved =
      previous != m_service_of_node.end() && previous->second != member.service;
  if (moved || leaving) {
    if (previous != m_service_of_node.end()) {
      Service& old = m_services[previous->second];
      Remove(old, old.members.at(member.node));
      m_service_of_node.erase(previous);
    }
  }
  if (leaving || member.service.empty()) {
    return;
  }
  Service& service = m_services[member.service];
  Record& record = service.members[member.node];
  record.last_heard = now;
  m_service_of_node[member.node] = member.service;
  if (record.revision == 0 || record.removed || !(record.member == member)) {
    record.member = member;
    record.removed = false;
    record.revision = NextRevision(service);
  }
}

ServiceUpdate MembershipDirectory::UpdateSince(
    TimePoint now,
    const ServiceCursor& cursor) const {
  ServiceUpdate update;
  update.service = cursor.service;
  const bool list_complete = now >= m_since + m_timeout;
  const auto found = m_services.find(cursor.service);
  if (found == m_services.end()) {
    update.revision = m_term << kTermShift;
    update.complete =
        list_complete && !SameTerm(cursor.revision, update.revision);
    return update;
  }
  const Service& service = found->second;
  const bool delta = SameTerm(cursor.revision, service.revision);
  update.complete = list_complete && !delta;
  // A partial update leaves the cursor in the old term, so that a complete one
  // follows once every live node has had time to poll.
  update.revision = list_complete || delta ? service.revision : cursor.revision;
  for (const auto& [node, record] : service.members) {
    if (delta && record.revision <= cursor.revision) {
      continue;
    }
    if (record.removed) {
      update.removed.push_back(node);
    } else {
      update.members.push_back(record.member);
    }
  }
  return update;
}

void MembershipDirectory::ExpireSilent(TimePoint now) {
  for (auto& [name, service] : m_services) {
    for (auto& [node, record] : service.members) {
      if (!record.removed && now >= record.last_heard + m_timeout) {
        Remove(service, record);
        m_service_of_node.erase(node);
      }
    }
    // Erase old removals: nodes have polled many times since, so none still
    // needs them.
    std::erase_if(service.members, [&](const auto& member) {
      const Record& record = member.second;
      return record.removed && now >= record.last_heard + m_timeout * 20;
    });
  }
}

std::vector<Member> MembershipDirectory::Members() const {
  std::vector<Member> members;
  for (const auto& [name, service] : m_services) {
    for (const auto& [node, record] : service.members) {
      if (!record.removed) {
        members.push_back(record.member);
      }
    }
  }
  return members;
}

uint64_t MembershipDirectory::NextRevision(Service& service) const {
  service.revision = std::max(service.revision, m_term << kTermShift) + 1;
  return service.revision;
}

void MembershipDirectory::Remove(Service& service, Record& record) {
  if (!record.removed) {
    record.removed = true;
    record.revision = NextRevision(service);
  }
}

}  // namespace rosemarywinch
