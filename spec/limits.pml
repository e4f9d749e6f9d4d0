/*
 * Delegation of a VM's share of a limit, as implemented by package quota.
 *
 * One VM owns the whole limit: RATE 1 and burst BURST. It delegates its share to one of
 * two limiters for DELEGATION from the limiter's stamp that its request echoes. A limiter
 * accrues and grants tokens while it counts the delegation. A granted token is in flight
 * for VALID, in which the VM may use it, and is then debited. The VM uses its share itself
 * from the time at which it is no longer held, starting without tokens.
 *
 * Requests and responses may be lost or late; requests may also arrive twice. The VM may
 * turn to the other limiter, or to its own share, at any time that the rules allow.
 *
 * Property: the operations that the VM admits stay within the limit in every window. This
 * is so if and only if they never exceed a token bucket of the whole limit, which is
 * "credit". Each of these macros removes one rule, and the checker must then find a
 * violation:
 *
 *   OWN_EARLY    the VM uses its own share before its delegation has expired
 *   ARRIVAL      a limiter counts a delegation from the arrival of the request
 *   TWICE        a limiter counts the share of a VM for each request
 *   SWITCH_EARLY the VM delegates to another limiter before its delegation has expired
 *   NO_REST      the share does not rest until the tokens granted last have expired
 *   FULL         the VM's own share begins with a full token bucket
 *   NO_FLIGHT    a token is debited when it is granted
 */

#define HORIZON 7    /* time at which the search ends */
#define DELEGATION 2
#ifndef VALID
#define VALID 3      /* validity of a token from the sending of the request: 1 to 3 */
#endif
#ifndef BURST
#define BURST 2
#endif
#define NONE 255

#ifdef NO_REST
#define HOLD (DELEGATION)
#else
#define HOLD (DELEGATION + VALID)
#endif

/* The age from which an echo delegates nothing. */
#ifdef ARRIVAL
#define LATEST (HORIZON + 1)
#else
#define LATEST DELEGATION
#endif

byte now = 0;

/* The limit itself. */
byte credit = BURST;

/* The limiters: until when they count the delegation, how often they count the share,
 * their tokens, and those in flight by the time that is left to them. */
byte until[2];
byte shares[2];
byte level[2];
byte fresh[2];
byte aged[2];
byte oldest[2];
#define inFlight(l) (fresh[l] + aged[l] + oldest[l])
#if VALID == 1
#define debit(l) (fresh[l])
#elif VALID == 2
#define debit(l) (aged[l])
#else
#define debit(l) (oldest[l])
#endif

/* The VM: the last stamp of each limiter and when it was received, the limiter to which
 * it delegated last, until when its share is held, its tokens and their expiry. */
byte stamp[2] = NONE;
byte received[2];
byte holder = NONE;
byte heldUntil = 0;
byte tokens = 0;
byte expiry = 0;

/* The VM's own share. */
bit own = 0;
byte ownLevel = 0;

/* A request and a response on their way; to and from are NONE if there is none. */
byte to = NONE;
byte echo = NONE;
byte sent = 0;
byte from = NONE;
byte given = 0;
byte asked = 0;
byte granted = 0;

#define counts(l) (now < until[l])

inline use() {
  assert(credit > 0);
  credit--
}

/* What a limiter does when time passes. */
inline pass(l) {
  if
  :: now < until[l] -> level[l] = level[l] + shares[l]
  :: else
  fi;
  /* The level includes the tokens in flight, and is at most the burst above them. */
  if
  :: level[l] > BURST -> level[l] = BURST
  :: else
  fi;
#ifndef NO_FLIGHT
  if
  :: level[l] >= debit(l) -> level[l] = level[l] - debit(l)
  :: else -> level[l] = 0
  fi;
#if VALID == 3
  oldest[l] = aged[l];
#endif
#if VALID > 1
  aged[l] = fresh[l];
#endif
  fresh[l] = 0;
#endif
  if
  :: now + 1 >= until[l] -> level[l] = 0; shares[l] = 0; until[l] = 0
  :: else
  fi
}

inline count(l, end) {
  if
  :: end > now ->
#ifdef TWICE
    if
    :: shares[l] < 2 -> shares[l]++
    :: else
    fi;
#else
    shares[l] = 1;
#endif
    if
    :: end > until[l] -> until[l] = end
    :: else
    fi
  :: else
  fi
}

/* A limiter takes in the request that is on its way. */
inline take(l) {
  if
  :: echo != NONE ->
#ifdef ARRIVAL
    count(l, now + DELEGATION)
#else
    count(l, echo + DELEGATION)
#endif
  :: else
  fi
}

/* A limiter responds, with a token if it has one. */
inline respond(l) {
  from = l;
  given = now;
  asked = sent;
  granted = 0;
  if
  :: counts(l) && level[l] > inFlight(l) -> granted = 1
  :: true
  fi;
  if
  :: granted == 1 ->
#ifdef NO_FLIGHT
    level[l]--
#else
    fresh[l]++
#endif
  :: else
  fi
}

inline deliver(l) {
  if
  :: from == NONE -> respond(l)
  :: true
  fi;
  if
  :: to = NONE; echo = NONE; sent = 0
  :: true
  fi
}

/* The VM's share is free to be used or delegated elsewhere. */
#define free (now >= heldUntil)

#ifdef OWN_EARLY
#define ownAllowed 1
#else
#define ownAllowed free
#endif

#ifdef SWITCH_EARLY
#define switchAllowed 1
#else
#define switchAllowed free
#endif

/* The VM takes in a response; its tokens only if the earlier ones are used up. */
inline receive(l) {
  stamp[l] = given;
  received[l] = now;
  if
  :: granted > 0 && tokens == 0 && now < asked + VALID -> tokens = granted; expiry = asked + VALID
  :: else
  fi;
  from = NONE; given = 0; asked = 0; granted = 0
}

/* The VM sends a request, which delegates if the rules allow it. */
inline request(l) {
  to = l;
  sent = now;
  if
  :: stamp[l] != NONE && now < received[l] + DELEGATION && (holder == l || switchAllowed) ->
    echo = stamp[l];
    holder = l;
    if
    :: received[l] + HOLD > heldUntil -> heldUntil = received[l] + HOLD
    :: else
    fi;
    own = 0;
    ownLevel = 0
  :: true
  fi
}

active proctype vm() {
  do
  /* A request, once the earlier one and its response have arrived or are lost. */
  :: atomic { now < HORIZON && to == NONE && from == NONE -> request(0) }
  :: atomic { now < HORIZON && to == NONE && from == NONE -> request(1) }
  /* A response. */
  :: atomic { now < HORIZON && from == 0 -> receive(0) }
  :: atomic { now < HORIZON && from == 1 -> receive(1) }
  /* An operation. */
  :: atomic { now < HORIZON && tokens > 0 -> tokens--; use() }
  :: atomic { now < HORIZON && own && ownLevel > 0 -> ownLevel--; use() }
  :: atomic { now < HORIZON && !own && ownAllowed ->
    own = 1;
#ifdef FULL
    ownLevel = BURST
#else
    ownLevel = 0
#endif
    }
  :: now >= HORIZON -> break
  od
}

active proctype network() {
  do
  /* The request arrives, perhaps to arrive again; the response may be lost. */
  :: atomic { to == 0 && now < HORIZON -> take(0); deliver(0) }
  :: atomic { to == 1 && now < HORIZON -> take(1); deliver(1) }
  /* The request or the response is lost. */
  :: atomic { to != NONE -> to = NONE; echo = NONE; sent = 0 }
  :: atomic { from != NONE -> from = NONE; given = 0; asked = 0; granted = 0 }
  :: now >= HORIZON -> break
  od
}

/* A stamp that can delegate nothing any more need not be told from none. */
inline forget(l) {
  if
  :: stamp[l] != NONE && now >= received[l] + DELEGATION -> stamp[l] = NONE; received[l] = 0
  :: else
  fi
}

active proctype time() {
  do
  :: now < HORIZON -> atomic {
    pass(0);
    pass(1);
    if
    :: own && ownLevel < BURST -> ownLevel++
    :: else
    fi;
    if
    :: credit < BURST -> credit++
    :: else
    fi;
    now++;
    forget(0);
    forget(1);
    if
    :: tokens > 0 && now >= expiry -> tokens = 0
    :: else
    fi;
    if
    :: tokens == 0 -> expiry = 0
    :: else
    fi;
    if
    :: now >= heldUntil -> heldUntil = 0; holder = NONE
    :: else
    fi;
    if
    :: echo != NONE && now >= echo + LATEST -> echo = NONE
    :: else
    fi
  }
  :: now >= HORIZON -> break
  od
}
