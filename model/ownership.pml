/*
 * Ownership of one worker shard: two nodes, two workers, two tasks.
 *
 * The shard row {epoch, owner} is taken by compare-and-swap on what was read,
 * and on the expired owner's node row. A node lease may lapse at any time
 * while its holder is paused and unaware of it: the holder goes on with
 * whatever it believes. Answers of the table may be lost, with the effect
 * taken or not; the writer then reads the row back. Start commands to workers
 * may be lost, duplicated, reordered and late.
 *
 * Mechanisms that can be left out:
 *   NO_FENCING        a worker accepts commands of lower epochs
 *   NO_CAS            the row is written without its condition
 *   NO_LEASE_WAIT     tasks start elsewhere while a worker is unaccounted for
 *   NO_JOURNAL_EPOCH  journal writes are not conditional on the epoch
 *   NO_READ_BACK      a lost table answer is taken for success
 *   NO_COMMAND_EXPIRY a command has no end of validity on the worker's own
 *                     clock, so it can arrive after the lease has lapsed
 *   NO_OWN_LEASE_CHECK  a node judges that a worker's leases have lapsed
 *                     although its own node lease may be over
 */
#define NODES 2
#define WORKERS 2
#define TASKS 2
#ifndef CAPACITY
#define CAPACITY 1      /* tasks a worker can hold */
#endif
#ifndef MAX_EPOCH
#define MAX_EPOCH 2     /* takings of the row */
#endif
#define MESSAGES 2      /* start commands in flight */
#define NOBODY 9

#define NONE 0
#define RUNNING 1
#define ENDED 2

typedef PerTask { byte v[TASKS] };

/* The table. */
byte rowEpoch = 0;
byte rowOwner = NOBODY;
bool nodeLapsed[NODES];        /* renewal counter unchanged for the lease TTL */

/* What each node believes. */
byte epoch[NODES];             /* 0: not an owner */
byte readEpoch[NODES];
byte readOwner[NODES];
byte phase[NODES];
#define IDLE 0
#define READ 1
#define UNCERTAIN 2
bool fenced[NODES * WORKERS];  /* worker accepted this node's epoch */
bool lapsed[NODES * WORKERS];  /* worker's leases surely lapsed, by this node */
PerTask grantedTo[NODES];      /* 0 none, else worker + 1 */

/* What each worker holds. */
byte highest[WORKERS];         /* highest epoch seen */
byte expired[WORKERS];         /* commands of lower epochs are no longer valid */
PerTask state[WORKERS];
PerTask startedBy[WORKERS];    /* epoch of the start */

/* Start commands in flight; an epoch of 0 is a free slot. */
byte msgEpoch[MESSAGES];
byte msgWorker[MESSAGES];
byte msgTask[MESSAGES];

#define AT(n, w) ((n) * WORKERS + (w))
#define KNOWN(n, w) (fenced[AT(n, w)] || lapsed[AT(n, w)])
#ifdef NO_LEASE_WAIT
#define ALL_KNOWN(n) true
#else
#define ALL_KNOWN(n) (KNOWN(n, 0) && KNOWN(n, 1))
#endif
#ifdef NO_FENCING
#define ACCEPTS(w, e) true
#else
#define ACCEPTS(w, e) ((e) >= highest[w])
#endif
/* By its own clock the node's lease, counted from when the last renewal was
 * sent, is still running: nobody can have taken the row yet. */
#ifdef NO_OWN_LEASE_CHECK
#define OWN_LEASE_VALID(n) true
#else
#define OWN_LEASE_VALID(n) (rowOwner == n && rowEpoch == epoch[n])
#endif
#define GRANT(n, t, w) (grantedTo[n].v[t] == (w) + 1 && state[w].v[t] != ENDED)
#define USED(n, w) (GRANT(n, 0, w) + GRANT(n, 1, w))
#define RUNS(w, t) (state[w].v[t] == RUNNING)
#define FREE_SLOT (msgEpoch[0] == 0 || msgEpoch[1] == 0)

inline ForgetOwnership(n) {
  epoch[n] = 0;
  fenced[AT(n, 0)] = 0; fenced[AT(n, 1)] = 0;
  lapsed[AT(n, 0)] = 0; lapsed[AT(n, 1)] = 0;
  grantedTo[n].v[0] = 0; grantedTo[n].v[1] = 0;
}

inline BecomeOwner(n, e) {
  ForgetOwnership(n);
  epoch[n] = e;
}

inline ForgetRead(n) {
  readEpoch[n] = 0; readOwner[n] = NOBODY; phase[n] = IDLE;
}

inline ClearSlot(i) {
  msgEpoch[i] = 0; msgWorker[i] = 0; msgTask[i] = 0;
}

proctype Node(byte n) {
  byte w, t, i;
end:
  do
  /* The node reads the row: it is free, or its owner's lease has lapsed.
   * code: membership: OwnershipPlanner::Next */
  :: d_step { phase[n] == IDLE && epoch[n] == 0 && rowEpoch < MAX_EPOCH &&
       (rowOwner == NOBODY || (rowOwner != n && nodeLapsed[rowOwner]) || rowOwner == n) ->
       readEpoch[n] = rowEpoch; readOwner[n] = rowOwner; phase[n] = READ }

  /* It takes the row; any time may have passed since the read.
   * code: membership: OwnershipPlanner::Next */
  :: atomic { phase[n] == READ ->
       if
#ifdef NO_CAS
       :: true ->
#else
       :: rowEpoch == readEpoch[n] && rowOwner == readOwner[n] &&
          (rowOwner == NOBODY || rowOwner == n || nodeLapsed[rowOwner]) ->
#endif
          rowEpoch = readEpoch[n] + 1; rowOwner = n; nodeLapsed[n] = 0;
          if
          :: BecomeOwner(n, readEpoch[n] + 1); ForgetRead(n)  /* answered */
          :: phase[n] = UNCERTAIN                             /* answer lost */
          fi
#ifndef NO_CAS
       :: else ->
          if
          :: ForgetRead(n)                                    /* refused */
          :: phase[n] = UNCERTAIN                             /* answer lost */
          fi
#endif
       :: phase[n] = UNCERTAIN                                /* not taken, no answer */
       fi }

  /* After a lost answer the row is read back.
   * code: membership: OwnershipPlanner::Next */
  :: d_step { phase[n] == UNCERTAIN ->
       if
#ifdef NO_READ_BACK
       :: true ->
#else
       :: rowOwner == n && rowEpoch == readEpoch[n] + 1 ->
#endif
          BecomeOwner(n, readEpoch[n] + 1)
#ifndef NO_READ_BACK
       :: else -> skip
#endif
       fi;
       ForgetRead(n) }

  /* The node renews its lease and sees whether the row is still its own.
   * code: membership: OwnershipPlanner::Next */
  :: d_step { epoch[n] != 0 && (nodeLapsed[n] || rowOwner != n || rowEpoch != epoch[n]) ->
       nodeLapsed[n] = 0;
       if
       :: rowOwner != n || rowEpoch != epoch[n] -> ForgetOwnership(n)
       :: else -> skip
       fi }

  /* Its lease lapses while it is paused: it is not told. */
  :: d_step { rowOwner == n && !nodeLapsed[n] && rowEpoch < MAX_EPOCH -> nodeLapsed[n] = 1 }

  /* Process death: all that is in memory goes. */
  :: d_step { epoch[n] != 0 && rowEpoch < MAX_EPOCH -> ForgetOwnership(n) }

  /* The owner fences a worker and takes its inventory into the ledger.
   * code: placement: WorkerSupervisor::MarkReconciled */
  :: atomic { epoch[n] != 0 ->
       if :: w = 0 :: w = 1 fi;
       if
       :: !fenced[AT(n, w)] && ACCEPTS(w, epoch[n]) ->
          if
          :: highest[w] < epoch[n] -> highest[w] = epoch[n]
          :: else -> skip
          fi;
          if
          :: fenced[AT(n, w)] = 1; lapsed[AT(n, w)] = 0;
             t = 0;
             do
             :: t < TASKS ->
                if
                :: RUNS(w, t) -> grantedTo[n].v[t] = w + 1
                :: else -> skip
                fi;
                t++
             :: else -> break
             od
          :: skip                                             /* answer lost */
          fi
       :: else -> skip
       fi;
       w = 0; t = 0 }

  /* A worker cannot be reached. The owner has waited TTL x 1.25 since the row
   * was taken and since its own last renewal was sent: what the worker ran
   * under this or lower epochs has stopped by its own clock, and commands sent
   * under them are past their validity.
   * code: placement: WorkerSupervisor::CheckSilence */
  :: atomic { epoch[n] != 0 ->
       if :: w = 0 :: w = 1 fi;
       if
       :: !lapsed[AT(n, w)] && OWN_LEASE_VALID(n) ->
          lapsed[AT(n, w)] = 1; fenced[AT(n, w)] = 0;
          t = 0;
          do
          :: t < TASKS ->
             if
             :: RUNS(w, t) && startedBy[w].v[t] <= epoch[n] ->
                state[w].v[t] = NONE; startedBy[w].v[t] = 0
             :: else -> skip
             fi;
             if
             :: grantedTo[n].v[t] == w + 1 -> grantedTo[n].v[t] = 0
             :: else -> skip
             fi;
             t++
          :: else -> break
          od;
#ifndef NO_COMMAND_EXPIRY
          i = 0;
          do
          :: i < MESSAGES ->
             if
             :: msgEpoch[i] != 0 && msgWorker[i] == w && msgEpoch[i] <= epoch[n] -> ClearSlot(i)
             :: else -> skip
             fi;
             i++
          :: else -> break
          od;
          if
          :: expired[w] < epoch[n] -> expired[w] = epoch[n]
          :: else -> skip
          fi
#endif
       :: else -> skip
       fi;
       w = 0; t = 0; i = 0 }

  /* The owner places a task that its coordinator (re-)sent: on a worker that
   * accepted the fence, with room, and only when the task can be nowhere else.
   * code: placement: CoordinatorMessageHandler::Handle(PlaceTasks) */
  :: atomic { epoch[n] != 0 && FREE_SLOT ->
       if :: w = 0 :: w = 1 fi;
       if :: t = 0 :: t = 1 fi;
       if
       :: fenced[AT(n, w)] && grantedTo[n].v[t] == 0 && USED(n, w) < CAPACITY &&
          state[w].v[t] != ENDED && ALL_KNOWN(n) ->
          grantedTo[n].v[t] = w + 1;
          i = (msgEpoch[0] == 0 -> 0 : 1);
          msgEpoch[i] = epoch[n]; msgWorker[i] = w; msgTask[i] = t
       :: else -> skip
       fi;
       w = 0; t = 0; i = 0 }

  /* The start is sent again as long as it is unanswered.
   * code: placement: WorkerSupervisor::HandleReport */
  :: atomic { epoch[n] != 0 && FREE_SLOT ->
       if :: t = 0 :: t = 1 fi;
       if
       :: grantedTo[n].v[t] != 0 && state[grantedTo[n].v[t] - 1].v[t] == NONE &&
          fenced[AT(n, grantedTo[n].v[t] - 1)] ->
          i = (msgEpoch[0] == 0 -> 0 : 1);
          msgEpoch[i] = epoch[n]; msgWorker[i] = grantedTo[n].v[t] - 1; msgTask[i] = t
       :: else -> skip
       fi;
       t = 0; i = 0 }

  /* A journal write of this owner.
   * code: journal: Journal::Append */
  :: d_step { epoch[n] != 0 ->
       if
#ifndef NO_JOURNAL_EPOCH
       :: rowEpoch != epoch[n] -> skip                        /* refused by the table */
#endif
       :: else -> assert(rowEpoch == epoch[n] && rowOwner == n)
       fi }
  od
}

/* The network and the workers. */
proctype Worker() {
  byte i, w, t;
end:
  do
  /* A start command arrives, perhaps not for the last time, or is lost. */
  :: atomic { msgEpoch[0] != 0 || msgEpoch[1] != 0 ->
       if
       :: msgEpoch[0] != 0 -> i = 0
       :: msgEpoch[1] != 0 -> i = 1
       fi;
       w = msgWorker[i]; t = msgTask[i];
       if
       :: state[w].v[t] == NONE && ACCEPTS(w, msgEpoch[i]) && msgEpoch[i] >= expired[w] ->
          highest[w] = (highest[w] < msgEpoch[i] -> msgEpoch[i] : highest[w]);
          state[w].v[t] = RUNNING; startedBy[w].v[t] = msgEpoch[i];
          assert(RUNS(w, 0) + RUNS(w, 1) <= CAPACITY);
          assert(!(RUNS(0, t) && RUNS(1, t)))
       :: else -> skip
       fi;
       if
       :: ClearSlot(i)
       :: skip                                                /* a duplicate stays */
       fi;
       i = 0; w = 0; t = 0 }
  :: d_step { msgEpoch[0] != 0 -> ClearSlot(0) }              /* lost */
  :: d_step { msgEpoch[1] != 0 -> ClearSlot(1) }              /* lost */

  /* A task ends; its answer is kept.
   * code: placement: WorkerSupervisor::HandleReport */
  :: atomic {
       if
       :: RUNS(0, 0) -> w = 0; t = 0
       :: RUNS(0, 1) -> w = 0; t = 1
       :: RUNS(1, 0) -> w = 1; t = 0
       :: RUNS(1, 1) -> w = 1; t = 1
       fi;
       state[w].v[t] = ENDED; startedBy[w].v[t] = 0;
       w = 0; t = 0 }
  od
}

init {
  atomic {
    readOwner[0] = NOBODY; readOwner[1] = NOBODY;
    run Node(0); run Node(1); run Worker()
  }
}
