/* Usage of one team over a takeover: two workers, an owner of the shard, and a
 * successor. The earlier owner does not notice and goes on for as long as the
 * workers accept its token.
 *
 * Each task takes one unit. Orders are lost, or carried out late and in any
 * order; answers to polls are lost. A run ends at any time, and its task may
 * then be started again (a failure). Tasks below OLD are in the store when the
 * successor recovers; the others are submitted to the successor.
 *
 * Asserted: what the team has running never exceeds QUOTA.
 *
 * Mechanisms that can be left out:
 *   NO_FENCING      workers carry out orders with lower tokens
 *   NO_PRESUMED     the successor counts only the runs that it knows of
 *   SMALL_PRESUMED  the presumed usage is capped at less than the capacity of
 *                   the workers that have not answered
 *   NO_UNCERTAIN    a start without an answer does not count
 *   NO_TOKEN_RAISE  a start without an answer stops counting when a poll with
 *                   its own token does not list it
 */
#define WORKERS 2
#define OLD 2
#define TASKS 3
#define QUOTA 2
#define CAPACITY 2       /* of each worker, in tasks */
#define TOKENS 4         /* 1 and 2 of the earlier owner, 3 of the successor */
#ifndef MAX_ORDERS
#define MAX_ORDERS 3     /* of both owners together */
#endif
#define OWNERS 2

#define AT(w, t) ((w) * TASKS + (t))
#define KNOWN(o, w, t) known[(o) * WORKERS * TASKS + AT(w, t)]
#define RUN_TOKEN(o, w, t) runToken[(o) * WORKERS * TASKS + AT(w, t)]
#define PENDING(w, k, t) pending[((w) * TOKENS + (k)) * TASKS + (t)]

/* Workers. */
byte tokenSeen[WORKERS];
bool running[WORKERS * TASKS];
bool pending[WORKERS * TOKENS * TASKS];
byte total = 0;

/* Owners: 0 the earlier one, 1 the successor. */
#define ABSENT 0
#define ORDERED 1        /* no list has shown the run yet */
#define LISTED 2
byte known[OWNERS * WORKERS * TASKS];
byte runToken[OWNERS * WORKERS * TASKS];
byte token = 1;          /* of the earlier owner */
#define TOKEN(o) (o == 0 -> token : 3)
byte orders = 0;
byte usage[OWNERS];
bool answered[WORKERS];  /* to the successor */

#define HAS_RUN(o, t) (KNOWN(o, 0, t) != ABSENT || KNOWN(o, 1, t) != ABSENT)
#define RECOVERED (answered[0] && answered[1])

/* Presumed usage of the successor. */
#define UNFOUND ((HAS_RUN(1, 0) -> 0 : 1) + (HAS_RUN(1, 1) -> 0 : 1))
#ifdef SMALL_PRESUMED
#define UNANSWERED_CAPACITY 1
#else
#define UNANSWERED_CAPACITY ((answered[0] -> 0 : CAPACITY) + (answered[1] -> 0 : CAPACITY))
#endif
#ifdef NO_PRESUMED
#define PRESUMED 0
#else
#define PRESUMED (RECOVERED -> 0 : (UNFOUND < UNANSWERED_CAPACITY -> UNFOUND : UNANSWERED_CAPACITY))
#endif

/* Changes what an owner knows of a run; its usage follows.
 * code: jobs: where runs are added to workers and removed from them */
inline SetKnown(o, w, t, state) {
  usage[o] = usage[o] + (state != ABSENT -> 1 : 0) - (KNOWN(o, w, t) != ABSENT -> 1 : 0);
  KNOWN(o, w, t) = state;
  RUN_TOKEN(o, w, t) = (state == ORDERED -> TOKEN(o) : 0)
}

inline Order(o, w, t) {
  orders++;
#ifndef NO_UNCERTAIN
  SetKnown(o, w, t, ORDERED);
#endif
  if
  :: PENDING(w, TOKEN(o), t) = true
  :: true /* lost on the way */
  fi
}

/* The worker takes a poll in; the owner may not get the answer.
 * code: jobs: WorkerAnswerHandler::ProcessReport */
inline Poll(o, w) {
  tokenSeen[w] = TOKEN(o);
  if
  :: true /* the answer is lost */
  :: true ->
       TakeEntry(o, w, 0);
       TakeEntry(o, w, 1);
       TakeEntry(o, w, 2);
       answered[w] = answered[w] || o == 1
  fi
}

#ifdef NO_TOKEN_RAISE
#define SURELY_ABSENT(o, w, t) true
#else
#define SURELY_ABSENT(o, w, t) (RUN_TOKEN(o, w, t) < TOKEN(o))
#endif

/* code: jobs: WorkerAnswerHandler::RemoveAbsentRuns */
inline TakeEntry(o, w, t) {
  if
  :: running[AT(w, t)] -> SetKnown(o, w, t, LISTED)
  :: !running[AT(w, t)] && KNOWN(o, w, t) == LISTED -> SetKnown(o, w, t, ABSENT)
  :: !running[AT(w, t)] && KNOWN(o, w, t) == ORDERED && SURELY_ABSENT(o, w, t) ->
       SetKnown(o, w, t, ABSENT)
  :: else
  fi
}

/* The worker carries out the order for a task with the token, or refuses it. */
inline CarryOut(w, k, t) {
  PENDING(w, k, t) = false;
  if
#ifdef NO_FENCING
  :: !running[AT(w, t)] ->
#else
  :: k >= tokenSeen[w] && !running[AT(w, t)] ->
       tokenSeen[w] = k;
#endif
       running[AT(w, t)] = true;
       total++;
       assert(total <= QUOTA)
  :: else
  fi
}

inline EndRun(w, t) {
  running[AT(w, t)] = false;
  total--
}

active [WORKERS] proctype Worker() {
end:
  do
  :: d_step { PENDING(_pid, 1, 0) -> CarryOut(_pid, 1, 0) }
  :: d_step { PENDING(_pid, 1, 1) -> CarryOut(_pid, 1, 1) }
  :: d_step { PENDING(_pid, 2, 0) -> CarryOut(_pid, 2, 0) }
  :: d_step { PENDING(_pid, 2, 1) -> CarryOut(_pid, 2, 1) }
  :: d_step { PENDING(_pid, 3, 0) -> CarryOut(_pid, 3, 0) }
  :: d_step { PENDING(_pid, 3, 1) -> CarryOut(_pid, 3, 1) }
  :: d_step { PENDING(_pid, 3, 2) -> CarryOut(_pid, 3, 2) }
  :: d_step { running[AT(_pid, 0)] -> EndRun(_pid, 0) }
  :: d_step { running[AT(_pid, 1)] -> EndRun(_pid, 1) }
  :: d_step { running[AT(_pid, 2)] -> EndRun(_pid, 2) }
  od
}

#define EARLIER_MAY_START(t) (!HAS_RUN(0, t) && usage[0] + 1 <= QUOTA && orders < MAX_ORDERS)

active proctype EarlierOwner() {
end:
  do
  :: atomic { EARLIER_MAY_START(0) -> Order(0, 0, 0) }
  :: atomic { EARLIER_MAY_START(0) -> Order(0, 1, 0) }
  :: atomic { EARLIER_MAY_START(1) -> Order(0, 0, 1) }
  :: atomic { EARLIER_MAY_START(1) -> Order(0, 1, 1) }
  :: atomic { TOKEN(0) >= tokenSeen[0] -> Poll(0, 0) }
  :: atomic { TOKEN(0) >= tokenSeen[1] -> Poll(0, 1) }
  :: atomic { token < 2 -> token++ }
  od
}

/* Recovered tasks start once all workers have answered, new ones on workers
 * that have.
 * code: jobs: Fleet::Recover, Fleet::IsReconciled */
#define MAY_START(w, t) (!HAS_RUN(1, t) && answered[w] && (t >= OLD || RECOVERED) && \
                         usage[1] + PRESUMED + 1 <= QUOTA && orders < MAX_ORDERS)

active proctype Successor() {
end:
  do
  :: atomic { MAY_START(0, 0) -> Order(1, 0, 0) }
  :: atomic { MAY_START(0, 1) -> Order(1, 0, 1) }
  :: atomic { MAY_START(0, 2) -> Order(1, 0, 2) }
  :: atomic { MAY_START(1, 0) -> Order(1, 1, 0) }
  :: atomic { MAY_START(1, 1) -> Order(1, 1, 1) }
  :: atomic { MAY_START(1, 2) -> Order(1, 1, 2) }
  :: atomic { Poll(1, 0) }
  :: atomic { Poll(1, 1) }
  od
}
