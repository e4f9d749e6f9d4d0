/*
 * The choice of a new leader where commits are acknowledged only once SYNC replicas have
 * received them, as package succession makes it. That no VM can acknowledge a commit of the
 * old leader any more, which spec/leaders.pml checks, is one bit here.
 *
 * Each log is a prefix of the leader's, so that its length tells what it has. A replica
 * receives the leader's log at any time, or not at all. It may stop answering, or refuse
 * to tell how far its log reaches, and do so again later. It may drain and leave, and a
 * successor then gets its log; it may leave for good; it may start again without its log.
 * The leader may crash, and may come back with its log. All that happens FAULTS times at
 * most, in any order, before, during and after the move.
 *
 * With RESTART all VMs may start again, which is one of the faults. They know then only what the store's
 * list says of replicas that left or started again before. The list has each replica as long
 * as it is registered, so that it is there when one leaves, and loses one when the VMs have
 * forgotten it, or later.
 *
 * The mover asks the registered replicas how far their logs reach. A replica counts as
 * silent if it is registered and has not told, or if it left or started again and its
 * former log may matter still. That log matters no more once the successor has it, or once so
 * many replicas have what the leader had after that that one of them always tells. With
 * EXTENT it may also ask the two VMs how far the commits reach that they acknowledged, once they
 * acknowledge no more: whatever has as much may be promoted.
 *
 * Properties: the target that is promoted has every acknowledged commit. Where the move waits for
 * ever, the old leader does not come back, and a replica that may alone have a commit does
 * not tell. Each of these macros removes one rule, and the checker must then find a
 * violation:
 *
 *   FIRST        any replica that tells is enough
 *   SKIP_MUTE    a registered replica that does not tell is not counted as silent
 *   SKIP_GONE    one that left is not
 *   SKIP_FORMER  one that started again without its log is not
 *   DRAIN_LAST   a replica that drains is passed over for one with a shorter log
 *   EARLY_ASK    the replicas are asked before the old leader's commits are fenced
 *   STALE        what a replica told before it fell silent is not compared
 *   FORGET_EARLY the leader's position is read before the replica has left
 *   FORGET_ONE   with SYNC 2, one replica that has what the leader had is enough
 *   BLIND        the old leader is not asked whether it is back
 *   NO_LIST      VMs that start again know of no replica that left before
 *   EXTENT_EARLY the VMs are asked while they may still acknowledge commits
 *   EXTENT_ONE   one VM is asked for what both acknowledged
 *   EXTENT_NEW   VMs that started again are asked for what they acknowledged before
 */

#ifndef SYNC
#define SYNC 1
#endif
#define N 3
#ifndef FAULTS
#define FAULTS 2
#endif
#define COMMITS 1

byte length = 0;  /* of the leader's log */
byte log[N];
byte acked = 0;
bit  up = 1;      /* whether the leader runs and answers */
bit  stepped = 0; /* whether it has stepped down */
bit  fenced = 0;
byte faults = 0;

bit  mute[N];     /* does not tell */
bit  drains[N];
bit  left[N];     /* is not registered */
bit  gone[N];     /* left, and its log may matter */
bit  former[N];   /* started again without a log that may matter */
#ifdef RESTART
bit  listed[N];   /* the store's list has what gone or former tell */
#endif
#ifdef EXTENT
byte by[2];       /* how far the commits reach that each VM acknowledged */
bit  fresh = 0;   /* the VMs started again lately */
bit  asked = 0;   /* the VMs have told */
byte extent = 0;  /* how far */
#define told_extent(n) (asked && n >= extent)
#define highest (by[0] > by[1] -> by[0] : by[1])
#else
#define told_extent(n) 0
#endif
bit  before[N];   /* had done neither since the leader's position was read */

bit  told[N];
byte reached[N];  /* as it last told */
bit  done = 0;

#define has(i, n) (log[i] >= n)
#define receivers(n) (has(0, n) + has(1, n) + has(2, n))

/* The replicas that are registered and have a length, and all that are registered. */
#define registered ((!left[0]) + (!left[1]) + (!left[2]))
#define sound(i, n) (!left[i] && !mute[i] && log[i] >= n)
#define having(n) (sound(0, n) + sound(1, n) + sound(2, n))

#ifdef SKIP_MUTE
#define untold(i) 0
#else
#define untold(i) (!left[i] && !told[i])
#endif
#ifdef SKIP_GONE
#define departed(i) (former[i])
#else
#ifdef SKIP_FORMER
#define departed(i) (gone[i])
#else
#define departed(i) (gone[i] + former[i])
#endif
#endif
#define silent (untold(0) + departed(0) + untold(1) + departed(1) + untold(2) + departed(2))

#ifdef DRAIN_LAST
#define beats(n, i) (n >= reached[i] || !told[i] || drains[i])
#else
#ifdef STALE
#define beats(n, i) (n >= reached[i] || !told[i] || mute[i])
#else
#define beats(n, i) (n >= reached[i] || !told[i])
#endif
#endif
#define best(n) (beats(n, 0) && beats(n, 1) && beats(n, 2))

#ifdef FIRST
#define enough 1
#else
#define enough (silent < SYNC)
#endif

/* Whether a replica may be promoted. */
#define fit(i) (!left[i] && !mute[i] && told[i] && best(log[i]) && \
	(enough || told_extent(log[i]) || stepped && best(length) && log[i] >= length))

active proctype leader() {
	byte next;
end:
	do
	:: atomic { up && !stepped && !done && length < COMMITS -> length++ }
#ifdef EXTENT
	:: atomic { !fenced && up && acked < length && receivers(acked + 1) >= SYNC -> acked++; by[0] = acked }
	:: atomic { !fenced && up && acked < length && receivers(acked + 1) >= SYNC -> acked++; by[1] = acked }
#else
	:: atomic { !fenced && up && acked < length && receivers(acked + 1) >= SYNC -> acked++ }
#endif
	:: atomic { up && !left[0] && log[0] < length -> log[0] = length }
	:: atomic { up && !left[1] && log[1] < length -> log[1] = length }
	:: atomic { up && !left[2] && log[2] < length -> log[2] = length }
	od
}

/* A replica that leaves or starts again was in the list while it was registered. */
inline list(i) {
#ifdef RESTART
	listed[i] = 1;
#endif
	skip
}

/* What VMs know of a replica once they have started again. One that is in the list, although
 * it has returned or they had forgotten it, counts as having left. */
inline restart(i) {
#ifdef RESTART
#ifdef NO_LIST
	gone[i] = 0;
#else
	gone[i] = listed[i];
#endif
	former[i] = 0;
	before[i] = 0
#endif
}

active proctype trouble() {
	byte i;
end:
	do
	:: atomic { faults < FAULTS && up -> faults++; up = 0 }
	:: atomic { !up -> up = 1 }
	:: atomic {
		faults < FAULTS ->
		faults++;
		if
		:: i = 0
		:: i = 1
		:: i = 2
		fi;
		if
		:: !left[i] && !mute[i] -> mute[i] = 1
		:: !left[i] && !drains[i] -> drains[i] = 1
		:: !left[i] -> left[i] = 1; gone[i] = 1; list(i); before[i] = 0
		:: !left[i] && log[i] > 0 -> log[i] = 0; former[i] = 1; list(i); before[i] = 0
#ifdef RESTART
		:: true -> restart(0); restart(1); restart(2)
#endif
#ifdef EXTENT
		:: true -> fresh = 1; by[0] = 0; by[1] = 0
#endif
		:: else
		fi;
		i = 0 }
	:: atomic { mute[0] -> mute[0] = 0 }
	:: atomic { mute[1] -> mute[1] = 0 }
	:: atomic { mute[2] -> mute[2] = 0 }
	:: atomic { left[0] && drains[0] -> left[0] = 0; drains[0] = 0; gone[0] = 0; told[0] = 0 } /* the successor */
	:: atomic { left[1] && drains[1] -> left[1] = 0; drains[1] = 0; gone[1] = 0; told[1] = 0 }
	:: atomic { left[2] && drains[2] -> left[2] = 0; drains[2] = 0; gone[2] = 0; told[2] = 0 }
	:: break /* what is not undone stays */
	od
}

inline forget(i) {
	if
#ifdef FORGET_EARLY
	:: true -> gone[i] = 0; former[i] = 0
#else
	:: before[i] -> gone[i] = 0; former[i] = 0
#ifdef RESTART
	:: before[i] -> gone[i] = 0; former[i] = 0; listed[i] = 0
#endif
	:: else
#endif
	fi
}

/* A VM finds out whether former logs matter still. */
active proctype checker() {
	byte seen;
	byte needed;
end:
	do
	:: !fenced ->
		atomic {
			seen = length;
			before[0] = 1; before[1] = 1; before[2] = 1
		};
		atomic {
#ifdef FORGET_ONE
			needed = 1;
#else
			needed = (registered < SYNC -> registered : SYNC);
#endif
			if
			:: !fenced && up && needed > 0 && having(seen) >= needed ->
				forget(0);
				forget(1);
				forget(2)
			:: else
			fi
		};
		seen = 0;
		needed = 0
	od
}

inline ask(i) {
	told[i] = 1;
	reached[i] = (log[i] > reached[i] -> log[i] : reached[i])
}

active proctype mover() {
#ifdef EXTENT_EARLY
	atomic { asked = 1; extent = highest };
#endif
#ifndef EARLY_ASK
	fenced = 1;
#endif
endWait: /* see watch */
	do
#ifdef EXTENT
#ifdef EXTENT_NEW
	:: atomic { !asked -> asked = 1; extent = highest }
#else
#ifdef EXTENT_ONE
	:: atomic { !fresh && !asked -> asked = 1; extent = by[0] }
#else
	:: atomic { !fresh && !asked -> asked = 1; extent = highest }
#endif
#endif
#endif
	:: atomic { !left[0] && !mute[0] && (!told[0] || reached[0] < log[0]) -> ask(0) }
	:: atomic { !left[1] && !mute[1] && (!told[1] || reached[1] < log[1]) -> ask(1) }
	:: atomic { !left[2] && !mute[2] && (!told[2] || reached[2] < log[2]) -> ask(2) }
#ifndef BLIND
	:: atomic { up && !stepped -> stepped = 1 }
	:: atomic { up && stepped && best(length) -> assert(length >= acked); goto promoted } /* the old leader leads again */
#endif
	:: atomic { fit(0) -> assert(log[0] >= acked); goto promoted }
	:: atomic { fit(1) -> assert(log[1] >= acked); goto promoted }
	:: atomic { fit(2) -> assert(log[2] >= acked); goto promoted }
	od;
promoted:
#ifdef EARLY_ASK
	fenced = 1;
#endif
	done = 1
}

/* What is true where nothing more happens. */
active proctype watch() {
end:
	atomic {
		timeout ->
		assert(done || !up && (silent >= SYNC || mute[0] || mute[1] || mute[2] || gone[0] || gone[1] || gone[2] || former[0] || former[1] || former[2]))
	}
}
