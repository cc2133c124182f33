/*
 * Life of one request (A) submitted with an idempotency key through two
 * gateways, beside another caller's request (B). The coordinator may crash at
 * any point and recovers from its journal; placers restart with nothing but
 * their workers' inventory; workers are lost. Frames are lost, duplicated,
 * reordered and late: each is a bit that is set again until answered, and a
 * receipt may leave it set. An answer's data is the id of the request that ran.
 *
 * Variants: NEVER_REPEAT (both requests never repeat); QUIET_B (B goes to
 * the first place, without faults of frames and workers); ONE_REQUEST (A
 * alone); LIVENESS (frames are lost at most MAX_LOST times and not duplicated,
 * and a final answer must come).
 *
 * Mechanisms that can be left out:
 *   NO_RECORD_BEFORE_START  no Dispatched record before a never-repeat start
 *   NO_KEY_ROUTING     a retry through another gateway makes a new record
 *   NO_ATTEMPT_ID      answers are matched without request and attempt ids
 *   NO_RECONCILE       a recovered coordinator starts without asking placers
 *   NOT_RUN_ON_CUT     a gateway says "not run" when its connection is cut
 *   NO_TOMBSTONE       a placer forgets an attempt as soon as it is acknowledged
 *   NO_RESEND_GUARD    a start is sent again to a placer that has restarted
 *   NO_REFUSAL_MEMORY  a refusal is not remembered
 *   NO_SUBMIT_EPOCH    a gateway submits again to a recovered coordinator
 *   NO_PLACER_EPOCH    updates of a placer's earlier incarnation are taken
 *   NO_RESEND          with LIVENESS: a gateway sends its submission only once
 */
#define PLACES 2
#ifndef MAX_ATTEMPTS
#define MAX_ATTEMPTS 2
#endif
#ifndef MAX_CRASHES
#define MAX_CRASHES 1          /* of the coordinator */
#endif
#ifndef MAX_PLACER_RESTARTS
#define MAX_PLACER_RESTARTS 1
#endif
#ifndef MAX_WORKERS_LOST
#define MAX_WORKERS_LOST 1
#endif
#ifndef MAX_LOST
#define MAX_LOST 1             /* frames, with LIVENESS only */
#endif

#ifdef NO_KEY_ROUTING
#define RECORDS 3              /* record 2: request A once more */
#else
#define RECORDS 2
#endif
#define REQUEST(r) (r == 2 -> 0 : r)

/* Record states, journaled and in memory. */
#define NONE 0
#define ACCEPTED 1
#define DISPATCHED 2
#define FINISHED 3
#define REFUSED 4              /* in memory only */
/* Outcomes. */
#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 3
/* What a placer and its worker hold of an attempt. */
#define RUNNING 1
#define ENDED 2                /* answer kept until acknowledged */
#define DECLINED 3             /* surely not started */
#define GONE 4                 /* worker lost, its lease surely lapsed */
#define TOMBSTONE 5            /* acknowledged */

/* Journal. */
byte recorded[RECORDS];
byte recordedOutcome[RECORDS];
byte recordedData[RECORDS];

/* Coordinator, in memory. */
bool up = 1, ready = 1;
byte coordinatorEpoch = 1;
byte st[RECORDS], attempt[RECORDS], place[RECORDS];
byte sentTo[RECORDS];          /* placer incarnation + 1 the start was sent to; 0 not known */
bool reconciled[PLACES];
byte crashes = 0, placerRestarts = 0, workersLost = 0;
#ifdef LIVENESS
byte lost = 0;
#endif

/* Placers and workers, by record and place. */
byte held[RECORDS * PLACES], heldAttempt[RECORDS * PLACES];
byte seenEpoch[PLACES], incarnation[PLACES];

/* Frames on their way. */
byte place_[RECORDS * PLACES];  /* PlaceTasks: attempt, 0 none */
byte placeEpoch[RECORDS * PLACES];
byte update[RECORDS * PLACES];  /* TaskUpdate: what is held, 0 none */
byte updateAttempt[RECORDS * PLACES];
byte updateFrom[RECORDS * PLACES]; /* placer incarnation */
bool submit[2];                 /* Submit of A through each gateway */

/* Callers. */
#define CLOSED 0
#define OPEN 1
#define LEFT 2                  /* the caller is gone, the gateway is unaware */
byte connection[2];
byte boundTo[2];                /* coordinator epoch the submission is bound to */
bool told[2];                   /* by request: a final answer was given */
bool toldNotRun[2];
byte starts[2];                 /* by request, up to 2 */

#define AT(r, p) ((r) * PLACES + (p))
#define RUNS(r, p) (held[AT(r, p)] == RUNNING)
#ifdef NO_KEY_ROUTING
#define RUNNING_OF_A (RUNS(0, 0) + RUNS(0, 1) + RUNS(2, 0) + RUNS(2, 1))
#define RECORD(g) (g == 0 -> 0 : 2)
#else
#define RUNNING_OF_A (RUNS(0, 0) + RUNS(0, 1))
#define RECORD(g) 0
#endif
#define RUNNING_OF_B (RUNS(1, 0) + RUNS(1, 1))

#ifdef QUIET_B
#define TROUBLED(r) (r != 1)
#else
#define TROUBLED(r) true
#endif
#ifdef LIVENESS
#define MAY_LOSE(r) (TROUBLED(r) && lost < MAX_LOST)
#define MAY_STAY(r) false
#define COUNT_LOSS lost++
#else
#define MAY_LOSE(r) TROUBLED(r)
#define MAY_STAY(r) TROUBLED(r)
#define COUNT_LOSS skip
#endif
#ifdef NO_RECONCILE
#define ASKS false
#else
#define ASKS true
#endif
/* Updates of a placer's earlier incarnation than the one seen are dropped. */
#ifdef NO_PLACER_EPOCH
#define CURRENT(r, s, p) true
#else
#define CURRENT(r, s, p) (updateFrom[AT(r, p)] + 1 >= sentTo[s])
#endif
#ifdef NO_ATTEMPT_ID
#define MATCHES(r, s, p) (st[s] == DISPATCHED && place[s] == p)
#else
#define MATCHES(r, s, p) (r == s && st[s] == DISPATCHED && place[s] == p && attempt[s] == updateAttempt[AT(r, p)] && CURRENT(r, s, p))
#endif
#ifdef NO_RESEND_GUARD
#define SAME_PLACER(r) true
#else
#define SAME_PLACER(r) (sentTo[r] == incarnation[place[r]] + 1)
#endif
#ifdef NO_SUBMIT_EPOCH
#define BOUND(g) true
#else
#define BOUND(g) (boundTo[g] == coordinatorEpoch)
#endif

inline PickRecord(r) {
  if
  :: r = 0
  :: r = 1
#ifdef NO_KEY_ROUTING
  :: r = 2
#endif
  fi
}

/* The caller of a request hears a final answer. */
inline Tell(q, outcome, data) {
  assert(outcome != RAN || data == q + 1);
  assert(outcome != NOT_RUN || starts[q] == 0);
  if
  :: outcome == NOT_RUN -> toldNotRun[q] = 1
  :: else -> skip
  fi;
  told[q] = 1
}

/* code: journal: Journal::Append */
inline Finish(r, outcome, data) {
  recorded[r] = FINISHED; recordedOutcome[r] = outcome; recordedData[r] = data;
  st[r] = FINISHED; attempt[r] = 0; place[r] = 0; sentTo[r] = 0
}

/* An attempt is over without an answer. */
inline Over(r) {
#ifdef NEVER_REPEAT
  Finish(r, UNKNOWN, 0)
#else
  if
  :: attempt[r] < MAX_ATTEMPTS -> st[r] = ACCEPTED
  :: else -> Finish(r, UNKNOWN, 0)
  fi
#endif
}

inline Send(r) {
  place_[AT(r, place[r])] = attempt[r]; placeEpoch[AT(r, place[r])] = coordinatorEpoch
}

proctype Coordinator() {
  byte r, s, p;
end:
  do
  /* A submission of A arrives through a gateway: admitted and journaled, or
   * refused; a known one is only waited for.
   * code: coordination: Engine::Accept */
  :: atomic { up && ready && (submit[0] || submit[1]) ->
       if
       :: submit[0] -> s = 0
       :: submit[1] -> s = 1
       fi;
       r = RECORD(s);
       if
       :: st[r] == NONE && BOUND(s) ->
          if
          :: recorded[r] = ACCEPTED; st[r] = ACCEPTED
          :: !told[0] ->
#ifndef NO_REFUSAL_MEMORY
             st[r] = REFUSED;
#endif
             if
             :: connection[s] == OPEN -> Tell(0, NOT_RUN, 0); connection[s] = CLOSED
             :: else -> skip                                  /* nobody is there */
             fi
          fi
       :: else -> skip
       fi;
       if
       :: submit[s] = 0
       :: MAY_STAY(0) -> skip
       fi;
       r = 0; s = 0 }
#ifndef ONE_REQUEST
  /* B is submitted once, on a connection that holds. */
  :: d_step { up && ready && st[1] == NONE -> recorded[1] = ACCEPTED; st[1] = ACCEPTED }
#endif

  /* The answer of a finished or refused request goes to its waiting caller. */
  :: atomic { up && ready && !told[0] &&
              (connection[0] == OPEN && (st[RECORD(0)] == FINISHED || st[RECORD(0)] == REFUSED) ||
               connection[1] == OPEN && (st[RECORD(1)] == FINISHED || st[RECORD(1)] == REFUSED)) ->
       s = (connection[0] == OPEN -> 0 : 1);
       r = RECORD(s);
       if
       :: st[r] == REFUSED -> Tell(0, NOT_RUN, 0)
       :: else -> Tell(0, recordedOutcome[r], recordedData[r])
       fi;
       connection[s] = CLOSED; r = 0; s = 0 }
  :: d_step { up && ready && !told[1] && st[1] == FINISHED -> Tell(1, recordedOutcome[1], recordedData[1]) }

  /* A gateway whose submission was bound to the earlier coordinator asks for
   * the state only; what was not recorded is not run. */
  :: atomic { up && ready && !told[0] &&
              (connection[0] == OPEN && !BOUND(0) && st[RECORD(0)] == NONE ||
               connection[1] == OPEN && !BOUND(1) && st[RECORD(1)] == NONE) ->
       s = (connection[0] == OPEN -> 0 : 1);
       Tell(0, NOT_RUN, 0); connection[s] = CLOSED; s = 0 }

  /* Crash: memory goes, connections from gateways are cut. */
  :: atomic { up && crashes < MAX_CRASHES ->
       crashes++; up = 0; ready = 0; reconciled[0] = 0; reconciled[1] = 0;
       r = 0;
       do
       :: r < RECORDS -> st[r] = NONE; attempt[r] = 0; place[r] = 0; sentTo[r] = 0; r++
       :: else -> break
       od;
#ifdef NOT_RUN_ON_CUT
       if
       :: connection[0] == OPEN && !told[0] -> Tell(0, NOT_RUN, 0); connection[0] = CLOSED
       :: connection[1] == OPEN && !told[0] -> Tell(0, NOT_RUN, 0); connection[1] = CLOSED
       :: else -> skip
       fi;
#endif
       r = 0 }

  /* The journal is read under the next epoch.
   * code: coordination: Engine::Replay, Engine::CompleteRecovery */
  :: atomic { !up ->
       up = 1; coordinatorEpoch++;
       r = 0;
       do
       :: r < RECORDS ->
          st[r] = recorded[r];
          if
          :: recorded[r] == DISPATCHED -> attempt[r] = 1
          :: else -> skip
          fi;
          r++
       :: else -> break
       od;
       r = 0 }

  /* Each placer is asked what it holds, and refuses lower epochs from then on.
   * code: coordination: Engine::On(ReconcileAnswer) */
  :: atomic { ASKS && up && !ready && !(reconciled[0] && reconciled[1]) ->
       p = (reconciled[0] -> 1 : 0);
       reconciled[p] = 1; seenEpoch[p] = coordinatorEpoch;
       r = 0;
       do
       :: r < RECORDS ->
          if
          :: held[AT(r, p)] != NONE && held[AT(r, p)] != TOMBSTONE && st[r] != FINISHED &&
             (st[r] == ACCEPTED || sentTo[r] == 0 || heldAttempt[AT(r, p)] > attempt[r]) ->
             if
             :: heldAttempt[AT(r, p)] >= attempt[r] ->
                st[r] = DISPATCHED; attempt[r] = heldAttempt[AT(r, p)]; place[r] = p;
                sentTo[r] = incarnation[p] + 1
             :: else -> skip
             fi
          :: else -> skip
          fi;
          r++
       :: else -> break
       od;
       r = 0; p = 0 }
  /* Now it serves; a recorded start that nobody holds may have run. */
  :: atomic { up && !ready && (!ASKS || reconciled[0] && reconciled[1]) ->
       ready = 1; reconciled[0] = 0; reconciled[1] = 0;
       r = 0;
       do
       :: r < RECORDS ->
          if
          :: st[r] == DISPATCHED && sentTo[r] == 0 -> Finish(r, UNKNOWN, 0)
          :: else -> skip
          fi;
          r++
       :: else -> break
       od;
       r = 0 }
  od
}

/* The coordinator's work on one record. */
inline TakeUpdate(p) {
#ifdef NO_ATTEMPT_ID
  PickRecord(s);
#else
  s = r;
#endif
  if
  :: MATCHES(r, s, p) ->
     if
     :: update[AT(r, p)] == ENDED -> Finish(s, RAN, REQUEST(r) + 1);
#ifdef NO_TOMBSTONE
        held[AT(r, p)] = NONE; heldAttempt[AT(r, p)] = 0
#else
        held[AT(r, p)] = TOMBSTONE; heldAttempt[AT(r, p)] = 0
#endif
     :: update[AT(r, p)] == GONE -> Over(s)
     :: update[AT(r, p)] == DECLINED ->
#ifdef NEVER_REPEAT
        Finish(s, NOT_RUN, 0)
#else
        Over(s)
#endif
     fi
  :: else -> skip
  fi;
  if
  :: update[AT(r, p)] = 0; updateAttempt[AT(r, p)] = 0; updateFrom[AT(r, p)] = 0
  :: MAY_STAY(r) -> skip
  fi;
  s = 0
}

proctype Record(byte r) {
  byte s;
end:
  do
  /* An attempt is chosen and recorded; the frame goes out in a later step.
   * code: coordination: Engine::Dispatch */
  :: atomic { up && ready && st[r] == ACCEPTED ->
       if
       :: attempt[r] != 0 -> place[r] = 1 - place[r]         /* a retry goes elsewhere */
       :: attempt[r] == 0 -> place[r] = 0
       :: attempt[r] == 0 && TROUBLED(r) -> place[r] = 1
       fi;
       attempt[r]++; st[r] = DISPATCHED;
       sentTo[r] = incarnation[place[r]] + 1;
#ifdef NEVER_REPEAT
#ifndef NO_RECORD_BEFORE_START
       recorded[r] = DISPATCHED
#endif
#endif
     }
  /* The start is sent, and sent again while it is unanswered.
   * code: coordination: Engine::Dispatch */
  :: d_step { up && ready && st[r] == DISPATCHED && SAME_PLACER(r) &&
              held[AT(r, place[r])] == NONE && place_[AT(r, place[r])] == 0 -> Send(r) }
  /* The placer has restarted since: it is asked, not told to start.
   * code: coordination: Engine::On(ReconcileAnswer) */
  :: atomic { up && ready && st[r] == DISPATCHED && !SAME_PLACER(r) ->
       if
       :: seenEpoch[place[r]] < coordinatorEpoch -> seenEpoch[place[r]] = coordinatorEpoch
       :: else -> skip
       fi;
       if
       :: held[AT(r, place[r])] == NONE -> Over(r)
       :: else -> sentTo[r] = incarnation[place[r]] + 1
       fi }

  /* An update arrives; a finished attempt is journaled, then acknowledged.
   * code: coordination: Engine::On(TaskUpdate) */
  :: atomic { up && ready && update[AT(r, 0)] != 0 -> TakeUpdate(0) }
  :: atomic { up && ready && update[AT(r, 1)] != 0 -> TakeUpdate(1) }
  od
}

/* What a placer and its worker do with one record's attempts. */
proctype Placer(byte p; byte r) {
end:
  do
  /* A start arrives: it is declined for certain, or runs at once.
   * code: placement: CoordinatorMessageHandler::Handle(PlaceTasks) */
  :: atomic { place_[AT(r, p)] != 0 ->
       if
       :: placeEpoch[AT(r, p)] >= seenEpoch[p] &&
          (held[AT(r, p)] == NONE ||
           place_[AT(r, p)] > heldAttempt[AT(r, p)] && held[AT(r, p)] >= DECLINED && held[AT(r, p)] != TOMBSTONE) ->
          seenEpoch[p] = placeEpoch[AT(r, p)];
          heldAttempt[AT(r, p)] = place_[AT(r, p)];
          if
          :: held[AT(r, p)] = RUNNING;
             assert(!toldNotRun[REQUEST(r)]);
             starts[REQUEST(r)] = (starts[REQUEST(r)] < 2 -> starts[REQUEST(r)] + 1 : 2);
#ifdef NEVER_REPEAT
             assert(starts[REQUEST(r)] == 1);
#endif
             assert(RUNNING_OF_A <= 1 && RUNNING_OF_B <= 1)
          :: TROUBLED(r) -> held[AT(r, p)] = DECLINED
          fi
       :: else -> skip
       fi;
       if
       :: place_[AT(r, p)] = 0; placeEpoch[AT(r, p)] = 0
       :: MAY_STAY(r) -> skip
       fi }

  /* The worker's task ends, or the worker is lost and its lease lapses.
   * code: placement: WorkerSupervisor::HandleReport, WorkerSupervisor::CheckSilence */
  :: d_step { RUNS(r, p) -> held[AT(r, p)] = ENDED }
  :: d_step { RUNS(r, p) && TROUBLED(r) && workersLost < MAX_WORKERS_LOST -> workersLost++; held[AT(r, p)] = GONE }

  /* What is held is reported until it is acknowledged.
   * code: placement: WorkerSupervisor::HandleReport */
  :: d_step { update[AT(r, p)] == 0 && held[AT(r, p)] >= ENDED && held[AT(r, p)] != TOMBSTONE &&
              up && ready && st[r] == DISPATCHED && place[r] == p && attempt[r] == heldAttempt[AT(r, p)] ->
       update[AT(r, p)] = held[AT(r, p)]; updateAttempt[AT(r, p)] = heldAttempt[AT(r, p)];
       updateFrom[AT(r, p)] = incarnation[p] }

  /* Frames are lost. */
  :: d_step { place_[AT(r, p)] != 0 && MAY_LOSE(r) -> place_[AT(r, p)] = 0; placeEpoch[AT(r, p)] = 0; COUNT_LOSS }
  :: d_step { update[AT(r, p)] != 0 && MAY_LOSE(r) -> update[AT(r, p)] = 0; updateAttempt[AT(r, p)] = 0; updateFrom[AT(r, p)] = 0; COUNT_LOSS }
  od
}

proctype PlacerRestart(byte p) {
  byte r;
end:
  do
  /* Restart: only what workers hold is left; frames to the earlier
   * incarnation are dropped.
   * code: placement: WorkerSupervisor::MarkReconciled */
  :: atomic { placerRestarts < MAX_PLACER_RESTARTS ->
       placerRestarts++; incarnation[p]++; seenEpoch[p] = 0;
       r = 0;
       do
       :: r < RECORDS ->
          place_[AT(r, p)] = 0; placeEpoch[AT(r, p)] = 0;
          if
          :: held[AT(r, p)] >= DECLINED -> held[AT(r, p)] = NONE; heldAttempt[AT(r, p)] = 0
          :: else -> skip
          fi;
          r++
       :: else -> break
       od;
       r = 0 }
  od
}

/* The caller of A and its gateways. */
proctype Caller() {
end:
  do
  :: d_step { connection[0] == CLOSED && boundTo[0] == 0 && up ->
       connection[0] = OPEN; boundTo[0] = coordinatorEpoch; submit[0] = 1 }
  /* The connection is cut or goes silent; the caller tries the other gateway. */
  :: d_step { connection[0] == OPEN && !told[0] && up ->
       connection[0] = LEFT; connection[1] = OPEN; boundTo[1] = coordinatorEpoch; submit[1] = 1 }
#ifndef NO_RESEND
  /* A gateway sends its submission again while unanswered. */
  :: d_step { connection[0] != CLOSED && !submit[0] && BOUND(0) && up && st[RECORD(0)] == NONE -> submit[0] = 1 }
  :: d_step { connection[1] == OPEN && !submit[1] && BOUND(1) && up && st[RECORD(1)] == NONE -> submit[1] = 1 }
#endif
  :: d_step { submit[0] && MAY_LOSE(0) -> submit[0] = 0; COUNT_LOSS }
  :: d_step { submit[1] && MAY_LOSE(0) -> submit[1] = 0; COUNT_LOSS }
  od
}

init {
  atomic { 
    run Coordinator(); run Caller(); run PlacerRestart(0); run PlacerRestart(1);
    run Record(0); run Placer(0, 0); run Placer(1, 0);
#ifndef ONE_REQUEST
    run Record(1); run Placer(0, 1); run Placer(1, 1);
#endif
#ifdef NO_KEY_ROUTING
    run Record(2); run Placer(0, 2); run Placer(1, 2);
#endif
  }
}

#ifdef LIVENESS
#define answered (told[0])
ltl final_answer { <> answered }
#endif
