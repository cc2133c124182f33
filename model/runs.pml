/* One task between a worker that can be born again, a second worker, and the
 * owner of the shard (src/jobs): the task never runs on both.
 *
 * Orders reach the life of the worker that is up when they are sent, and may be
 * carried out later and in any order; a crash loses them. Answers may be lost.
 * An order that the network itself holds back until the next life is outside
 * the model: nothing tells it from one that is meant for that life.
 *
 * Mechanisms that can be left out:
 *   NO_TOKEN_RAISE     a run whose orders had no answer is dropped without a
 *                      higher token
 *   NO_DOUBT           a new life makes the owner take its runs for lost
 *   NO_TAKEOVER_POLL   a new owner does not wait for the worker's word
 */

#define MAX_TOKEN 6
#define MAX_LIVES 2
#define MAX_ORDERS 3
#define MAX_OWNERS 2

mtype = { Absent, Ordered, Uncertain, Running };

/* The worker. */
bool up = true;
byte life = 1;
byte tokenSeen = 0;
bool runsHere = false;
/* Orders with each token that the life has taken in and not carried out. */
byte pending[MAX_TOKEN];

/* The second worker; it answers at once. */
bool runsThere = false;

/* The owner. */
byte owners = 1;
byte token = 1;
byte knownLife = 1;
mtype state = Absent;
byte runToken = 0;
byte orders = 0;
bool resolved = true;
/* Work of an earlier owner waits for the worker's word. */
bool recovering = false;
byte resolvingToken = 1;

inline SendOrder() {
  orders++;
  runToken = token;
  if
  :: up -> pending[token]++
  :: true /* lost on the way, or nobody there */
  fi
}

inline RaiseToken() {
  token++
}

/* code: jobs: RunTracker::MarkAllUncertain, Fleet::BeginIncarnation */
inline NoteNewLife() {
  knownLife = life;
#ifdef NO_DOUBT
  state = Absent;
#else
  if
  :: state != Absent -> state = Uncertain
  :: else
  fi;
#endif
  RaiseToken();
  resolvingToken = token;
  resolved = false
}

/* Takes one order of aToken out and carries it out. */
inline CarryOut(aToken) {
  pending[aToken]--;
  if
  :: aToken >= tokenSeen -> tokenSeen = aToken; runsHere = true
  :: else
  fi
}

active proctype Worker() {
  byte each;
end:
  do
  :: d_step { up && life < MAX_LIVES ->
       up = false; runsHere = false; tokenSeen = 0;
       for (each : 0 .. MAX_TOKEN - 1) { pending[each] = 0 };
       each = 0 }
  :: d_step { !up -> up = true; life++ }
  :: d_step { pending[1] > 0 -> CarryOut(1) }
  :: d_step { pending[2] > 0 -> CarryOut(2) }
  :: d_step { pending[3] > 0 -> CarryOut(3) }
  :: d_step { pending[4] > 0 -> CarryOut(4) }
  :: d_step { pending[5] > 0 -> CarryOut(5) }
  od
}

/* The worker takes a poll in; the owner may not get the answer. */
inline Poll() {
  if
  :: token >= tokenSeen ->
       tokenSeen = token;
       if
       :: true /* the answer is lost */
       :: true -> TakeReport()
       fi
  :: else
  fi
}

/* code: jobs: WorkerAnswerHandler::ProcessReport, WorkerAnswerHandler::RemoveAbsentRuns */
inline TakeReport() {
  pollToken = token;
  if
  :: knownLife != 0 && knownLife != life -> NoteNewLife()
  :: else -> knownLife = life
  fi;
  if
  :: runsHere -> state = Running
  :: !runsHere && state == Running -> state = Absent
  :: !runsHere && state == Uncertain && runToken < pollToken -> state = Absent
  :: else
  fi;
  if
  :: pollToken >= resolvingToken -> resolved = true; recovering = false
  :: else
  fi
}

byte pollToken;

active proctype Owner() {
end:
  do
  :: atomic { state == Absent && resolved && !runsThere && orders < MAX_ORDERS ->
       state = Ordered; SendOrder() }
  /* No answer: again, with the newest token.
   * code: jobs: RunTracker::ResendStart */
  :: atomic { state == Ordered && orders < MAX_ORDERS -> SendOrder() }
  /* code: jobs: WorkerAnswerHandler::OnStartAnswer */
  :: atomic { state == Ordered && token < MAX_TOKEN - 1 ->
#ifdef NO_TOKEN_RAISE
       state = Absent
#else
       state = Uncertain; RaiseToken()
#endif
     }
  :: atomic { state == Ordered && runsHere && knownLife == life -> state = Running }
  /* The registry tells of a new life. */
  :: atomic { up && knownLife != 0 && knownLife != life &&
              token < MAX_TOKEN - 1 -> NoteNewLife() }
  :: atomic { up && token < MAX_TOKEN - 1 -> Poll() }
  :: atomic { state == Absent && !recovering && !runsThere -> runsThere = true }
  /* code: jobs: Fleet::Recover, Fleet::IsReconciled
   * Another node takes over; the task on the second worker is known to it. */
  :: atomic { owners < MAX_OWNERS && token < MAX_TOKEN - 1 ->
       owners++; RaiseToken(); state = Absent; knownLife = 0;
       resolvingToken = token;
       resolved = false;
#ifndef NO_TAKEOVER_POLL
       recovering = true
#endif
     }
  od
}

active proctype Monitor() {
end:
  atomic { runsHere && runsThere -> assert(false) }
}
