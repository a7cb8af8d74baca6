/* The replicated log with lost disks and the change of voters.
 *
 * One command is proposed, committed, and must be in the log of every leader
 * elected afterwards. A replica that loses its disk is a new instance: it is
 * no voter until a leader has removed the old instance and added the new one,
 * which must have caught up.
 *
 * Guards that a mutant takes out:
 *   VOTE_AFTER_LOSS   the new instance goes on as the voter that was lost
 *   NOT_CAUGHT_UP     the new instance is added before it has caught up
 *   STALE_VOTER       a vote does not ask whose log is newer
 */
#define N 3
#define MAX_TERM 3
#define MAX_LOSSES 3

#define IN 0   /* the live instance is a voter */
#define OLD 1  /* a lost instance is still named as a voter */
#define GONE 2 /* no instance of this replica is named */

#ifdef STALE_VOTER
#define LOG_IS_NEW(r, c) true
#else
#define LOG_IS_NEW(r, c) (!has[r] || has[c])
#endif

#ifdef NOT_CAUGHT_UP
#define CAUGHT_UP(v, c) true
#else
#define CAUGHT_UP(v, c) (!has[c] || has[v])
#endif

byte member[N];
bool has[N];
bool cut[N];
byte term[N];
bool leads[N];
byte lead_term[N];
bool proposed;
bool committed;
byte max_term;
byte losses;

/* A disk is lost only when no other loss is being repaired. */
#define all_in (member[0] == IN && member[1] == IN && member[2] == IN)

/* Votes needed among the voters that are named. */
inline count_named(named) {
  named = (member[0] != GONE) + (member[1] != GONE) + (member[2] != GONE)
}

inline elect(c) {
  byte named; byte votes; byte r;
  d_step {
    max_term++;
    count_named(named);
    votes = 0;
    r = 0;
    do
    :: r < N ->
      if
      :: member[r] == IN && !cut[r] && (r == c || !cut[c]) && LOG_IS_NEW(r, c) ->
         votes++;
         term[r] = max_term
      :: else
      fi;
      r++
    :: else -> break
    od;
    if
    :: votes > named / 2 ->
      leads[c] = true;
      lead_term[c] = max_term;
      assert(!committed || has[c])
    :: else
    fi;
    named = 0; votes = 0; r = 0
  }
}

/* A leader sends its log to all that it reaches and commits with a quorum. */
inline replicate(c) {
  byte named2; byte acks; byte q;
  d_step {
    count_named(named2);
    acks = 0;
    q = 0;
    do
    :: q < N ->
      if
      :: !cut[q] && !cut[c] && term[q] <= lead_term[c] ->
        term[q] = lead_term[c];
        has[q] = has[q] || has[c];
        if
        :: member[q] == IN -> acks++
        :: else
        fi
      :: else
      fi;
      q++
    :: else -> break
    od;
    if
    :: acks > named2 / 2 && has[c] -> committed = true
    :: else
    fi;
    named2 = 0; acks = 0; q = 0
  }
}

inline lose(v) {
  d_step {
    losses++;
    has[v] = false;
    term[v] = 0;
    leads[v] = false;
    lead_term[v] = 0;
#ifndef VOTE_AFTER_LOSS
    if
    :: member[v] == IN -> member[v] = OLD
    :: else
    fi
#endif
  }
}

/* Changes one voter; the change itself needs a quorum of the present ones. */
inline change_voters(c, v) {
  byte live; byte named3; byte s;
  d_step {
    count_named(named3);
    live = 0;
    s = 0;
    do
    :: s < N ->
      if
      :: member[s] == IN && !cut[s] && !cut[c] && term[s] <= lead_term[c] ->
        live++
      :: else
      fi;
      s++
    :: else -> break
    od;
    if
    :: live > named3 / 2 && member[v] == OLD -> member[v] = GONE
    :: live > named3 / 2 && member[v] == GONE && !cut[v] &&
       term[v] <= lead_term[c] && CAUGHT_UP(v, c) ->
       /* It has caught up from this leader, so it knows its term. */
       term[v] = lead_term[c];
       member[v] = IN
    :: else
    fi;
    live = 0; named3 = 0; s = 0
  }
}

#define actions(c) \
  :: max_term < MAX_TERM && member[c] == IN -> elect(c) \
  :: leads[c] && !proposed && lead_term[c] == term[c] -> \
     d_step { has[c] = true; proposed = true } \
  :: leads[c] && lead_term[c] == term[c] -> replicate(c) \
  :: leads[c] && lead_term[c] < term[c] -> \
     d_step { leads[c] = false; lead_term[c] = 0 } \
  :: losses < MAX_LOSSES && all_in -> lose(c) \
  :: cut[c] = !cut[c]

#define repairs(c, v) \
  :: leads[c] && lead_term[c] == term[c] && member[v] != IN -> \
     change_voters(c, v)

active proctype world() {
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
