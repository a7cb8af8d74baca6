/* Model of VersionTracker: when a version is in force everywhere.
 *
 * Nodes act on a version only under a lease, which they measure from the time
 * at which they sent the poll. The leader declares a version in force once
 * each node that may hold a lease has confirmed it, or once all leases granted
 * before it was applied have expired. A new leader does not know which leases
 * have been granted.
 *
 * Property: no node acts on a version older than the one in force.
 *
 * Guards, each removed by a mutant that violates the property:
 *   NO_WAIT_AFTER_CHANGE  a new leader does not wait for leases of earlier ones
 *   LEASE_FROM_ANSWER     a node measures its lease from the response
 *   NO_CONFIRMATION       the leader does not wait for lagging nodes
 */
#define NODES 2
#define LEASE 2
#define END 4
#define VERSIONS 2

byte now;
byte committed = 1;
byte in_force;
byte since;
byte applied;
byte changes;

/* The leader's state of each node. */
byte confirmed[NODES];
byte lessor_end[NODES];

/* The state of each node. */
byte version[NODES];
byte lease_end[NODES];

/* Message in transit: 0 none, 1 poll, 2 response. */
byte exchange[NODES];
byte asked_at[NODES];
byte asked_version[NODES];
byte answer[NODES];

#define uses_stale_version(i) (now < lease_end[i] && version[i] < in_force)
#define cannot_use_older(i) (lessor_end[i] <= now || confirmed[i] >= committed)

inline declare_in_force() {
  if
#ifdef NO_CONFIRMATION
  :: in_force = committed
#else
#ifdef NO_WAIT_AFTER_CHANGE
  :: cannot_use_older(0) && cannot_use_older(1) -> in_force = committed
#else
  :: cannot_use_older(0) && cannot_use_older(1) && now >= since + LEASE ->
     in_force = committed
#endif
  :: now >= applied + LEASE -> in_force = committed
#endif
  :: else
  fi;
  assert(!uses_stale_version(0) && !uses_stale_version(1))
}

#define clear_exchange(i) exchange[i] = 0; asked_at[i] = 0; \
  asked_version[i] = 0; answer[i] = 0

#ifdef LEASE_FROM_ANSWER
#define LEASE_START(i) now
#else
#define LEASE_START(i) asked_at[i]
#endif

#define actions(i) \
  :: exchange[i] == 0 -> \
     d_step { \
       exchange[i] = 1; asked_at[i] = now; asked_version[i] = version[i] \
     } \
  :: exchange[i] == 1 -> \
     d_step { \
       exchange[i] = 2; \
       answer[i] = committed; \
       confirmed[i] = asked_version[i]; \
       lessor_end[i] = now + LEASE \
     } \
  :: exchange[i] == 2 -> \
     d_step { \
       version[i] = (answer[i] > version[i] -> answer[i] : version[i]); \
       lease_end[i] = LEASE_START(i) + LEASE; \
       clear_exchange(i) \
     } \
  :: exchange[i] > 0 -> d_step { clear_exchange(i) }

active proctype cluster() {
  do
  :: now < END -> now++
  :: committed < VERSIONS -> d_step { committed++; applied = now }
  actions(0)
  actions(1)
  :: changes < 1 ->
     d_step {
       changes++;
       since = now;
       applied = now;
       confirmed[0] = 0;
       confirmed[1] = 0;
       lessor_end[0] = 0;
       lessor_end[1] = 0
     }
  :: in_force < committed -> atomic { declare_in_force() }
  od
}
