/* Model of AllowanceAllocator: an account's limit of LIMIT units is allocated
 * to nodes as shares under leases.
 *
 * A share expires with its lease. A reduced share counts in full until the
 * node has confirmed the reduction or its lease has expired. After a change of
 * leader, the new allocator renews the shares that nodes report and allocates
 * nothing new until all leases of its predecessor have expired.
 *
 * Property: the shares that nodes use never exceed LIMIT.
 *
 * Guards, each removed by a mutant that violates the property:
 *   NO_CONFIRMATION       units of a reduced share are allocated to other nodes
 *                         before the node has confirmed the reduction
 *   NO_WAIT_AFTER_CHANGE  a new allocator allocates at once
 *   NO_EXPIRY             a node uses its share after the lease has expired
 *   REVIVED_SHARE         an expired share becomes usable with the next lease
 */
#define NODES 2
#define LEASE 2
#define END 4
#define LIMIT 2

byte now;
byte since;
byte changes;

/* The allocator's state: the latest grant and the most a node may hold. */
byte granted[NODES];
byte bound[NODES];
byte number[NODES];
byte lessor_end[NODES];
bool known[NODES];

/* The state of each node. */
byte share[NODES];
byte applied[NODES];
byte lease_end[NODES];

/* Message in transit: 0 none, 1 report, 2 grant. */
byte exchange[NODES];
byte asked_at[NODES];
byte report_share[NODES];
byte report_number[NODES];
byte grant_share[NODES];
byte grant_number[NODES];

#ifdef NO_EXPIRY
#define usable_share(i) share[i]
#else
#define usable_share(i) (now < lease_end[i] -> share[i] : 0)
#endif

#define free_units (LIMIT - bound[0] - bound[1])

inline expire(i) {
  if
  :: known[i] && lessor_end[i] <= now ->
     known[i] = false; bound[i] = 0; granted[i] = 0
  :: else
  fi
}

/* Answers a report with a share of up to `want` units, within LIMIT. */
inline grant(i, want) {
  d_step {
    expire(0);
    expire(1);
    if
    :: !known[i] ->
       known[i] = true;
       number[i] = report_number[i];
       granted[i] = (now < since + LEASE -> report_share[i] : 0);
       bound[i] = granted[i]
    :: else
    fi;
    lessor_end[i] = now + LEASE;
    if
    :: report_number[i] >= number[i] ->
       bound[i] = granted[i];
       if
#ifdef NO_WAIT_AFTER_CHANGE
       :: true ->
#else
       :: now >= since + LEASE ->
#endif
          granted[i] = (want < bound[i] + free_units -> want
                                                     : bound[i] + free_units);
          number[i]++;
#ifdef NO_CONFIRMATION
          bound[i] = granted[i]
#else
          bound[i] = (granted[i] > bound[i] -> granted[i] : bound[i])
#endif
#ifndef NO_WAIT_AFTER_CHANGE
       :: else
#endif
       fi
    :: else
    fi;
    grant_share[i] = granted[i];
    grant_number[i] = number[i];
    exchange[i] = 2
  }
}

#define clear_exchange(i) exchange[i] = 0; asked_at[i] = 0; \
  report_share[i] = 0; report_number[i] = 0; grant_share[i] = 0; \
  grant_number[i] = 0

#ifdef REVIVED_SHARE
#define expire_share(i) skip
#else
#define expire_share(i) share[i] = usable_share(i)
#endif

#define actions(i) \
  :: exchange[i] == 0 && number[i] < 4 -> \
     d_step { \
       expire_share(i); \
       exchange[i] = 1; \
       asked_at[i] = now; \
       report_share[i] = usable_share(i); \
       report_number[i] = applied[i] \
     } \
  :: exchange[i] == 1 -> grant(i, 0) \
  :: exchange[i] == 1 -> grant(i, 1) \
  :: exchange[i] == 1 -> grant(i, 2) \
  :: exchange[i] == 2 -> \
     d_step { \
       expire_share(i); \
       if \
       :: grant_number[i] > applied[i] && now < asked_at[i] + LEASE -> \
          share[i] = grant_share[i]; \
          applied[i] = grant_number[i] \
       :: else \
       fi; \
       lease_end[i] = (asked_at[i] + LEASE > lease_end[i] -> \
                       asked_at[i] + LEASE : lease_end[i]); \
       clear_exchange(i); \
       assert(usable_share(0) + usable_share(1) <= LIMIT) \
     } \
  :: exchange[i] > 0 -> d_step { clear_exchange(i) }

active proctype cluster() {
end:
  do
  :: now < END -> d_step { now++; expire_share(0); expire_share(1) }
  actions(0)
  actions(1)
  :: changes < 1 && now > 0 ->
     d_step {
       changes++;
       since = now;
       known[0] = false;
       known[1] = false;
       bound[0] = 0;
       bound[1] = 0;
       granted[0] = 0;
       granted[1] = 0;
       number[0] = 0;
       number[1] = 0
     }
  od
}
