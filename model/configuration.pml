/*
 * Configuration versions: two operators race with patches against a base
 * version, three nodes follow, the store goes away and comes back.
 *
 * A version is a row {head} and a history row for each number; a patch writes
 * both in one transaction, conditional on the head. The answer of a write may
 * be lost, with the effect taken, not taken, or taken later. Nodes restart with
 * empty memory, one at a time.
 *
 * Mechanisms that can be left out:
 *   NO_HEAD_CAS      the head is written without its condition
 *   NO_PATCH_ID      a lost answer is resolved by the head's number alone
 *   NO_FORWARD_ONLY  a node adopts any version it is handed
 *   NO_PEER_CATCHUP  a restarted node serves without asking its peers
 *   NO_REWRITE       a patch that is absent after a lost answer is called
 *                    refused although its write may still take effect
 *   NO_PULL          with LIVENESS: versions are taken from peers only
 *
 * Beyond the design (shows a limit, not a mechanism):
 *   STRICT_OWN       a restarted node never serves less than it served itself
 */
#define NODES 3
#define OPERATORS 2
#ifndef TRIES
#define TRIES 1         /* patches of an operator, each with an id of its own */
#endif
#define MAX_VERSION (OPERATORS * TRIES)
#ifndef MAX_LOST
#define MAX_LOST 2      /* lost store answers, all operators together */
#endif
#ifndef MAX_OUTAGES
#define MAX_OUTAGES 1   /* of the store */
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 1  /* of nodes, one at a time */
#endif

#define READS 0
#define WRITES 1
#define ASKS 2          /* the answer was lost */

bool storeUp = 1;
byte head = 0;
byte history[MAX_VERSION + 2]; /* patch id of each version */
byte outages = 0, lost = 0, restarts = 0;

bool inFlight[OPERATORS];      /* a write that may still take effect */
byte flightBase[OPERATORS];
byte flightId[OPERATORS];
bool refused[MAX_VERSION + 1]; /* told so, by patch id */

byte version[NODES];
bool serving[NODES] = 1;
byte fromStore;                /* body on its way to node 0; 0 none */
bool asked[NODES * NODES];     /* while starting: which peers have answered */
byte floor[NODES];             /* highest version among live peers at the restart */
#ifdef STRICT_OWN
byte served[NODES];            /* highest version served by the node, ever */
#define NOTE_SERVED(n) served[n] = (serving[n] && served[n] < version[n] -> version[n] : served[n])
#else
#define NOTE_SERVED(n) skip
#endif

#if TRIES == 1
#define IN_HISTORY(id) (history[1] == (id) || history[2] == (id))
#else
#define IN_HISTORY(id) (history[1] == (id) || history[2] == (id) || history[3] == (id) || history[4] == (id))
#endif
#define PATCH(o, k) (1 + (o) * TRIES + (k))
#define ALL_SERVE (serving[0] && serving[1] && serving[2])
#define HEARD(n, p) (p == n || asked[(n) * NODES + (p)])
#define IN_FORCE (version[0] == head && version[1] == head && version[2] == head && ALL_SERVE)
#ifdef NO_HEAD_CAS
#define CONDITION(b) true
#else
#define CONDITION(b) (head == (b))
#endif

/* The effect of one patch transaction. */
inline Commit(base, id) {
  assert(base == head);              /* the head never goes back */
  assert(history[base + 1] == 0);    /* no accepted version is overwritten */
  assert(!refused[id]);              /* no patch takes effect after a refusal */
  history[base + 1] = id;
  head = base + 1;
}

inline TellAccepted(id) { assert(IN_HISTORY(id)) }
inline TellRefused(id) { assert(!IN_HISTORY(id)); refused[id] = 1 }

/* One patch at a time for each operator.
 * code: configuration: ConfigurationStore::ApplyPatch */
proctype Operator(byte o) {
  byte k = 0, base = 0, step = READS;
  do
  :: atomic { k < TRIES && step == READS && storeUp -> base = head; step = WRITES }

  :: atomic { k < TRIES && step == WRITES && storeUp ->
       if
       :: CONDITION(base) -> Commit(base, PATCH(o, k));
          if
          :: TellAccepted(PATCH(o, k)); k++; step = READS
          :: lost < MAX_LOST -> lost++; step = ASKS
          fi
       :: head != base ->
          if
#ifndef NO_PATCH_ID
          :: IN_HISTORY(PATCH(o, k)) -> TellAccepted(PATCH(o, k))
#endif
          :: else -> TellRefused(PATCH(o, k))
          fi;
          k++; step = READS
       :: lost < MAX_LOST -> lost++; step = ASKS          /* not taken */
       :: lost < MAX_LOST && !inFlight[o] ->              /* taken later, perhaps */
          lost++; step = ASKS;
          inFlight[o] = 1; flightBase[o] = base; flightId[o] = PATCH(o, k)
       fi }

  /* The answer was lost: the history says whether the patch is in it. While
   * the head is still the base the write is sent again, as an earlier one may
   * still take effect; once the head has moved on, none can. */
  :: atomic { step == ASKS && storeUp ->
       if
#ifndef NO_PATCH_ID
       :: IN_HISTORY(PATCH(o, k)) -> TellAccepted(PATCH(o, k)); k++; step = READS
#endif
       :: else ->
          if
#ifdef NO_REWRITE
          :: TellRefused(PATCH(o, k)); k++; step = READS
#else
          :: head == base -> step = WRITES
          :: else -> TellRefused(PATCH(o, k)); k++; step = READS
#endif
          fi
       fi }
  :: k == TRIES -> break
  od
}

/* The store: outages, and writes that take effect late or never. */
proctype Store() {
  byte o;
end:
  do
  :: d_step { storeUp && outages < MAX_OUTAGES -> storeUp = 0; outages++ }
  :: d_step { !storeUp -> storeUp = 1 }
  :: atomic { inFlight[0] || inFlight[1] ->
       if
       :: inFlight[0] -> o = 0
       :: inFlight[1] -> o = 1
       fi;
       if
       :: CONDITION(flightBase[o]) && !IN_HISTORY(flightId[o]) -> Commit(flightBase[o], flightId[o])
       :: true -> skip
       fi;
       inFlight[o] = 0; flightBase[o] = 0; flightId[o] = 0; o = 0 }
  od
}

/* code: configuration: ConfigurationView::Adopt */
inline Adopt(n, v) {
  if
#ifndef NO_FORWARD_ONLY
  :: v <= version[n] -> skip
#endif
  :: else -> assert(v >= version[n]); version[n] = v
  fi;
  NOTE_SERVED(n)
}

inline Serve(n) {
  assert(version[n] >= floor[n]);
#ifdef STRICT_OWN
  assert(version[n] >= served[n]);
#endif
  serving[n] = 1; floor[n] = 0;
  asked[n * NODES] = 0; asked[n * NODES + 1] = 0; asked[n * NODES + 2] = 0;
  NOTE_SERVED(n)
}

proctype Node(byte n; byte a; byte b) {
end:
  do
  /* A heartbeat shows a higher version. Its body comes from a peer,
   * or from the store; to node 0 the latter may arrive late.
   * code: configuration: ConfigurationView::Adopt */
#ifndef NO_PULL
  :: d_step { n == 0 && storeUp && fromStore == 0 && head > version[n] -> fromStore = head }
  :: d_step { n == 0 && fromStore != 0 -> Adopt(n, fromStore); fromStore = 0 }
  :: d_step { n != 0 && storeUp && head > version[n] -> Adopt(n, head) }
#endif
  :: d_step { serving[a] && version[a] > version[n] -> Adopt(n, version[a]) }
  :: d_step { serving[b] && version[b] > version[n] -> Adopt(n, version[b]) }

  /* The process restarts with nothing in memory. */
  :: d_step { ALL_SERVE && restarts < MAX_RESTARTS ->
       restarts++; serving[n] = 0; version[n] = 0;
       fromStore = (n == 0 -> 0 : fromStore);
       floor[n] = (version[a] > version[b] -> version[a] : version[b]) }

  /* While starting it asks each peer, or reads the head, before it serves.
   * code: configuration: ConfigurationView::Adopt */
#ifdef NO_PEER_CATCHUP
  :: d_step { !serving[n] -> Serve(n) }
#else
  :: d_step { !serving[n] && !asked[n * NODES + a] -> asked[n * NODES + a] = 1; Adopt(n, version[a]) }
  :: d_step { !serving[n] && !asked[n * NODES + b] -> asked[n * NODES + b] = 1; Adopt(n, version[b]) }
  :: d_step { !serving[n] && asked[n * NODES + a] && asked[n * NODES + b] -> Serve(n) }
  :: d_step { !serving[n] && storeUp -> Adopt(n, head); Serve(n) }
#endif
  od
}

init {
  atomic {
    run Store(); run Operator(0); run Operator(1);
    run Node(0, 1, 2); run Node(1, 0, 2); run Node(2, 0, 1)
  }
}

#ifdef LIVENESS
ltl in_force { <>[] IN_FORCE }
#endif
