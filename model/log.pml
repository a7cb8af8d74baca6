/* Model of Replica: the replicated log with lost disks and voter changes.
 *
 * One command is proposed. A replica that loses its disk becomes a new
 * instance: it is not a voter until a leader has removed the old instance and
 * added the new one, which must have caught up.
 *
 * Property: a committed command is in the log of every leader elected later.
 *
 * Guards, each removed by a mutant that violates the property:
 *   VOTE_AFTER_LOSS   the new instance keeps voting for the lost one
 *   NOT_CAUGHT_UP     the new instance is added before it has caught up
 *   STALE_VOTER       a vote is granted without comparing the logs
 */
#define N 3
#define MAX_TERM 3
#define MAX_LOSSES 3

#define VOTER 0   /* the live instance is a voter */
#define LOST 1    /* a lost instance is still in the voter set */
#define REMOVED 2 /* no instance of this replica is in the voter set */

#ifdef STALE_VOTER
#define LOG_IS_NEW(r, c) true
#else
#define LOG_IS_NEW(r, c) (!has_entry[r] || has_entry[c])
#endif

#ifdef NOT_CAUGHT_UP
#define CAUGHT_UP(v, c) true
#else
#define CAUGHT_UP(v, c) (!has_entry[c] || has_entry[v])
#endif

byte member[N];
bool has_entry[N];
bool cut[N];
byte term[N];
bool is_leader[N];
byte leader_term[N];
bool proposed;
bool committed;
byte max_term;
byte losses;

/* A disk is lost only when no other loss is being repaired. */
#define all_voters_live \
  (member[0] == VOTER && member[1] == VOTER && member[2] == VOTER)

/* Counts the voters in the voter set, of which a majority must agree. */
inline count_voters(voters) {
  voters = (member[0] != REMOVED) + (member[1] != REMOVED) +
           (member[2] != REMOVED)
}

inline elect(c) {
  byte voters; byte votes; byte r;
  d_step {
    max_term++;
    count_voters(voters);
    votes = 0;
    r = 0;
    do
    :: r < N ->
      if
      :: member[r] == VOTER && !cut[r] && (r == c || !cut[c]) &&
         LOG_IS_NEW(r, c) ->
         votes++;
         term[r] = max_term
      :: else
      fi;
      r++
    :: else -> break
    od;
    if
    :: votes > voters / 2 ->
      is_leader[c] = true;
      leader_term[c] = max_term;
      assert(!committed || has_entry[c])
    :: else
    fi;
    voters = 0; votes = 0; r = 0
  }
}

/* A leader sends its log to the replicas it reaches; a quorum commits it. */
inline replicate(c) {
  byte voters2; byte acks; byte q;
  d_step {
    count_voters(voters2);
    acks = 0;
    q = 0;
    do
    :: q < N ->
      if
      :: !cut[q] && !cut[c] && term[q] <= leader_term[c] ->
        term[q] = leader_term[c];
        has_entry[q] = has_entry[q] || has_entry[c];
        if
        :: member[q] == VOTER -> acks++
        :: else
        fi
      :: else
      fi;
      q++
    :: else -> break
    od;
    if
    :: acks > voters2 / 2 && has_entry[c] -> committed = true
    :: else
    fi;
    voters2 = 0; acks = 0; q = 0
  }
}

inline lose_disk(v) {
  d_step {
    losses++;
    has_entry[v] = false;
    term[v] = 0;
    is_leader[v] = false;
    leader_term[v] = 0;
#ifndef VOTE_AFTER_LOSS
    if
    :: member[v] == VOTER -> member[v] = LOST
    :: else
    fi
#endif
  }
}

/* Changes one voter. The change needs a quorum of the current voters. */
inline change_voters(c, v) {
  byte live; byte voters3; byte s;
  d_step {
    count_voters(voters3);
    live = 0;
    s = 0;
    do
    :: s < N ->
      if
      :: member[s] == VOTER && !cut[s] && !cut[c] &&
         term[s] <= leader_term[c] ->
        live++
      :: else
      fi;
      s++
    :: else -> break
    od;
    if
    :: live > voters3 / 2 && member[v] == LOST -> member[v] = REMOVED
    :: live > voters3 / 2 && member[v] == REMOVED && !cut[v] &&
       term[v] <= leader_term[c] && CAUGHT_UP(v, c) ->
       /* It has caught up with this leader, so it knows the leader's term. */
       term[v] = leader_term[c];
       member[v] = VOTER
    :: else
    fi;
    live = 0; voters3 = 0; s = 0
  }
}

#define actions(c) \
  :: max_term < MAX_TERM && member[c] == VOTER -> elect(c) \
  :: is_leader[c] && !proposed && leader_term[c] == term[c] -> \
     d_step { has_entry[c] = true; proposed = true } \
  :: is_leader[c] && leader_term[c] == term[c] -> replicate(c) \
  :: is_leader[c] && leader_term[c] < term[c] -> \
     d_step { is_leader[c] = false; leader_term[c] = 0 } \
  :: losses < MAX_LOSSES && all_voters_live -> lose_disk(c) \
  :: cut[c] = !cut[c]

#define repairs(c, v) \
  :: is_leader[c] && leader_term[c] == term[c] && member[v] != VOTER -> \
     change_voters(c, v)

active proctype cluster() {
  do
  actions(0)
  actions(1)
  actions(2)
  repairs(0, 1)
  repairs(0, 2)
  repairs(1, 0)
  repairs(1, 2)
  repairs(2, 0)
  repairs(2, 1)
  od
}
