/* Withdrawal of a caller's key: two nodes, of which either may own the shard,
 * and requests that arrive at either. The key is in version 1 of the
 * configuration and not in version 2.
 *
 * A node or a message may be delayed without limit at every step, which stands
 * for pauses, slow links and a store that refuses the node. Time advances
 * meanwhile. A read of the store is linearizable: its response has the version
 * that was the newest at a time after the read was sent.
 *
 * Asserted: no request that was sent later than BOUND after the confirmation of
 * version 2 is answered with success; and after a node has passed on a 401 for
 * the withdrawn key, it passes on no success for a request sent later.
 *
 * Mechanisms that can be left out:
 *   NO_FRESHNESS      the owner decides from whatever version it has
 *   NO_SENT_TIME      freshness counts from the response, not from the sending
 *   NO_CLOCK_READ     a timer computes whether the configuration is fresh, and
 *                     requests use its last result
 *   NO_SUSPEND_CLOCK  the clock of a node stands still while it is suspended
 *   NO_VERSION_MATCH NO_VERSION_FLOOR
 *                     the forwarding node's freshness is accepted also when the
 *                     owner has another version, and the owner does not refuse
 *                     requests of nodes that know a newer version. Each of the
 *                     two rules is sufficient for the property on its own.
 *   NO_TAKEOVER_READ  a new owner decides before a read that it sent as owner
 *                     has been answered
 *
 * Beyond the design (shows a limit, not a mechanism):
 *   TWO_DECIDERS      an earlier owner that does not know of its successor
 *                     still answers
 */
#define NODES 2
#define BOUND 1          /* revokeMs */
#define MAX_AGE 1        /* key_withdrawal_ms */
#ifndef END
#define END 3            /* last tick of the clock */
#endif
#ifndef MAX_OWNERS
#define MAX_OWNERS 2
#endif
#ifndef MAX_REQUESTS
#define MAX_REQUESTS 2
#endif
#define NONE 255

byte now = 0;
#ifdef NO_SUSPEND_CLOCK
byte clock[NODES];       /* of each node */
#define CLOCK(n) clock[n]
#else
#define CLOCK(n) now
#endif

byte newest = 1;         /* version in the store */
byte confirmedAt = NONE; /* when version 2 was confirmed */

byte version[NODES] = 1;
byte provenAt[NODES];    /* by the node's clock: its version was the newest then */
#ifdef NO_CLOCK_READ
bool fresh[NODES] = 1;   /* last result of the timer */
#endif

/* The read that a node has in flight. */
byte readSent[NODES] = NONE;
byte readVersion[NODES]; /* taken at the store; 0 none yet */
bool readAsOwner[NODES];

byte owner = 0;
byte owners = 1;
bool mayDecide[NODES];   /* by a read as owner */

/* The request of the caller. */
byte requests = 0;
byte sentAt = NONE;
byte via;
bool forwarded;
byte viaVersion;
bool viaFresh;
bool sentAfterRefusal;
bool refusalPassedOn[NODES];

#ifdef NO_CLOCK_READ
#define IS_FRESH(n) fresh[n]
#else
#define IS_FRESH(n) (CLOCK(n) - provenAt[n] <= MAX_AGE)
#endif

#ifdef NO_VERSION_MATCH
#define FORWARDED_FRESH(n) viaFresh
#else
#define FORWARDED_FRESH(n) (viaFresh && viaVersion == version[n])
#endif

#ifdef NO_FRESHNESS
#define MAY_SERVE(n) true
#else
#define MAY_SERVE(n) (IS_FRESH(n) || FORWARDED_FRESH(n))
#endif

#ifdef NO_TAKEOVER_READ
#define DECIDES(n) (owner == n)
#else
#ifdef TWO_DECIDERS
#define DECIDES(n) mayDecide[n]
#else
#define DECIDES(n) (owner == n && mayDecide[n])
#endif
#endif

#ifdef NO_VERSION_FLOOR
#define BELOW_FLOOR(n) false
#else
#define BELOW_FLOOR(n) (viaVersion > version[n])
#endif

active proctype Clock() {
end:
  do
  :: atomic { now < END -> now++;
#ifdef NO_SUSPEND_CLOCK
       if
       :: clock[0]++
       :: true
       fi;
       if
       :: clock[1]++
       :: true
       fi
#endif
     }
  od
}

active proctype Operator() {
  atomic { newest = 2; confirmedAt = now }
}

inline EndRead() {
  readSent[me] = NONE; readVersion[me] = 0; readAsOwner[me] = false
}

/* Follows the configuration.
 * code: cellnode: TableWatch */
active [NODES] proctype Follower() {
  byte me = _pid - 2;
end:
  do
  :: atomic { readSent[me] == NONE ->
       readSent[me] = CLOCK(me);
       readAsOwner[me] = (owner == me) }
  :: atomic { readSent[me] != NONE && readVersion[me] == 0 ->
       readVersion[me] = newest }
  /* The response is lost, or the store refuses the node. */
  :: atomic { readSent[me] != NONE -> EndRead() }
  :: atomic { readVersion[me] != 0 ->
       version[me] = (readVersion[me] > version[me] -> readVersion[me] : version[me]);
#ifdef NO_SENT_TIME
       provenAt[me] = CLOCK(me);
#else
       provenAt[me] = readSent[me];
#endif
#ifdef NO_CLOCK_READ
       fresh[me] = true;
#endif
       mayDecide[me] = mayDecide[me] || readAsOwner[me];
       EndRead() }
#ifdef NO_CLOCK_READ
  :: atomic { fresh[me] != (CLOCK(me) - provenAt[me] <= MAX_AGE) ->
       fresh[me] = (CLOCK(me) - provenAt[me] <= MAX_AGE) }
#endif
  :: atomic { owner != me && owners < MAX_OWNERS ->
       owners++; owner = me; mayDecide[me] = false;
       /* What was sent before is no read of the owner. */
       readAsOwner[me] = false }
  od
}

inline Finish() {
  sentAt = NONE;
  forwarded = false;
  via = 0; viaVersion = 0; viaFresh = false; sentAfterRefusal = false
}

/* The owner, the only decider.
 * code: cellnode: CallerRequestHandler */
inline Decide(n) {
  if
  :: BELOW_FLOOR(n) || !MAY_SERVE(n) -> skip /* 503 */
  :: else ->
       if
       :: version[n] == 1 ->
            assert(confirmedAt == NONE || sentAt <= confirmedAt + BOUND);
            assert(!sentAfterRefusal)
       :: else -> refusalPassedOn[via] = true
       fi
  fi;
  Finish()
}

active proctype Caller() {
end:
  do
  :: atomic { sentAt == NONE && requests < MAX_REQUESTS ->
       requests++; sentAt = now;
       if
       :: via = 0
       :: via = 1
       fi;
       sentAfterRefusal = refusalPassedOn[via] }
  :: atomic { sentAt != NONE && !forwarded ->
       forwarded = true; viaVersion = version[via]; viaFresh = IS_FRESH(via) }
  :: atomic { sentAt != NONE && forwarded && DECIDES(0) -> Decide(0) }
  :: atomic { sentAt != NONE && forwarded && DECIDES(1) -> Decide(1) }
  :: atomic { sentAt != NONE && forwarded -> Finish() /* no answer */ }
  od
}
