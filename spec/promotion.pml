/*
 * Acknowledgement, fencing and promotion in one database group.
 *
 * Every step is atomic, and any step may happen at any time or never. This
 * models network partitions, lost messages and pauses of any length. A target's
 * log, term and fence survive its crash; its role does not. A promoter that
 * crashes or gives up starts again with a new attempt; messages of the old
 * attempt may still arrive.
 *
 * Targets are interchangeable, and so are promoters. To reduce the state space
 * without loss of generality, target 0 is the first to be promoted and promoter
 * 0 makes the first attempt.
 *
 * Properties: at most one target becomes primary in each term, and a position
 * that was acknowledged, or that a replica returned to a reader, is in the log
 * of every later primary.
 *
 * Each of these macros removes one rule, and the checker must then find a
 * violation:
 *   -DACK_ONE        one target that holds the entry suffices to acknowledge it
 *   -DFENCE_ONE      one fenced target suffices for a promotion
 *   -DNO_OPENING     a new primary does not append an entry that opens its term
 *   -DNO_OWNER       a fence does not belong to a single attempt
 *   -DREUSED         an attempt reuses the identity of an earlier one
 *   -DIGNORE_TERM    a target's position counts for an acknowledgement whatever its
 *                    term is
 *   -DUNOPENED_READ  a replica answers reads before it holds the entry that
 *                    opens its term
 */

#define N 3
#ifndef TERMS
#define TERMS 4
#endif
#ifndef LENGTH
#define LENGTH 4
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 4
#endif
#ifndef WRITES
#define WRITES 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define PROMOTERS 2

/*
 * A target's owner is 1 + the index of the promoter whose current attempt fenced
 * the target, or 0. The end of an attempt clears the owner, since the promoter's
 * next attempt has a new identity and cannot use the old fences.
 */
#ifdef REUSED
#define endAttempt(m) skip
#else
#define endAttempt(m) \
	promoter[m].term = 0; \
	if :: target[0].owner == m + 1 -> target[0].owner = 0 :: else fi; \
	if :: target[1].owner == m + 1 -> target[1].owner = 0 :: else fi; \
	if :: target[2].owner == m + 1 -> target[2].owner = 0 :: else fi
#endif

#ifdef ACK_ONE
#define ACK_QUORUM 1
#else
#define ACK_QUORUM 2
#endif
#ifdef FENCE_ONE
#define FENCE_QUORUM 1
#else
#define FENCE_QUORUM 2
#endif

#define DETACHED 0
#define REPLICA 1
#define PRIMARY 2

typedef Target {
	byte term;
	byte owner;
	byte role;
	byte length;
	byte entry[LENGTH];
};
Target target[N];

typedef Promoter {
	byte busy;
	byte decided;
	byte term;
	byte fenced;	/* bit set of targets */
	byte count;
	byte best;
	byte bestTerm;
	byte bestLength;
};
Promoter promoter[PROMOTERS];

byte attempts;
byte crashes;
byte writes;
bool begun;

/* The position that a VM waits to acknowledge (term of the entry and index),
 * and the targets known to hold it, as a bit set and as a count. */
byte watchTerm, watchIndex, seen, seenCount;
/* The position that was acknowledged or returned to a reader, and the term of
 * the primary or replica at that time. */
byte ackTerm, ackIndex, ackUnder;

/* The term of the primary whose entry the VM waits to acknowledge. Only
 * replicas in this term count. */
byte watchUnder;

byte i, j, k, t, common;

#define last(x) (target[x].length > 0 -> target[x].entry[target[x].length - 1] : 0)
#define holds(x, p, q) (target[x].length > p && target[x].entry[p] == q)
#define reaches(x, p, q) (last(x) > q || (last(x) == q && target[x].length > p))


#ifdef NO_OWNER
#define owns(m, x) true
#else
#define owns(m, x) (target[x].owner == m + 1)
#endif

/* Whether a target's status counts as holding the entry to be acknowledged. */
#ifdef IGNORE_TERM
#define counts(x) reaches(x, watchIndex, watchTerm)
#else
#define current(x) (target[x].term == watchUnder && target[x].role == REPLICA)
#ifdef NO_OPENING
#define counts(x) (current(x) && holds(x, watchIndex, watchTerm))
#else
#define counts(x) (current(x) && last(x) == watchUnder && reaches(x, watchIndex, watchTerm))
#endif
#endif

/* Whether a replica may answer reads. */
#ifdef UNOPENED_READ
#define shows(x) true
#else
#define shows(x) (last(x) == target[x].term)
#endif

inline clearTail(x, from) {
	k = from;
	do
	:: k < LENGTH -> target[x].entry[k] = 0; k++
	:: else -> break
	od;
	k = 0
}

/* Every primary of a later term holds the position that was acknowledged or
 * returned to a reader. Checked after each acknowledgement, read and promotion. */
inline checkKept() {
	k = 0;
	do
	:: k < N ->
		if
		:: ackTerm > 0 && target[k].role == PRIMARY && target[k].term > ackUnder ->
			assert(holds(k, ackIndex, ackTerm))
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

/* No other target is primary in the term of target j, which is promoted, or has
 * an entry of that term at the end of its log. */
inline checkOnly() {
	k = 0;
	do
	:: k < N ->
		assert(k == j || !(target[k].role == PRIMARY && target[k].term == target[j].term));
		assert(k == j || last(k) != target[j].term);
		k++
	:: else -> break
	od;
	k = 0
}

inline forgetWatch() {
	watchTerm = 0; watchIndex = 0; watchUnder = 0; seen = 0; seenCount = 0
}

inline forgetPromoter(m) {
	promoter[m].busy = false;
	promoter[m].decided = false;
	promoter[m].fenced = 0;
	promoter[m].count = 0;
	promoter[m].best = 0;
	promoter[m].bestTerm = 0;
	promoter[m].bestLength = 0;
	endAttempt(m)
}

inline pick2(x) {
	if
	:: x = 0
	:: x = 1
	fi
}

inline pick3(x) {
	if
	:: x = 0
	:: x = 1
	:: x = 2
	fi
}

inline pick4(x) {
	if
	:: x = 0
	:: x = 1
	:: x = 2
	:: x = 3
	fi
}

#ifdef NO_OPENING
#define openTerm() skip
#define chooseWatched() pick4(j)
#else
#define openTerm() target[j].entry[target[j].length] = target[j].term; target[j].length++
#define chooseWatched() j = target[i].length - 1
#endif

inline highestTerm(x) {
	x = target[0].term;
	if
	:: target[1].term > x -> x = target[1].term
	:: else
	fi;
	if
	:: target[2].term > x -> x = target[2].term
	:: else
	fi
}

/* A primary appends a caller's write to its log. */
inline write() {
	pick3(i);
	if
	:: target[i].role == PRIMARY && target[i].length < LENGTH && writes < WRITES ->
		writes++;
		target[i].entry[target[i].length] = target[i].term;
		target[i].length++
	:: else
	fi;
	i = 0
}

/* A replica copies the next entry from the primary of its term and truncates its
 * log after it. */
inline replicate() {
	pick3(i); pick3(j);
	if
	:: i != j && target[i].role == PRIMARY && target[j].role == REPLICA && target[i].term == target[j].term ->
		common = 0;
		do
		:: common < target[i].length && common < target[j].length && target[i].entry[common] == target[j].entry[common] -> common++
		:: else -> break
		od;
		if
		:: common < target[i].length ->
			target[j].entry[common] = target[i].entry[common];
			target[j].length = common + 1;
			clearTail(j, common + 1)
		:: else
		fi
	:: else
	fi;
	i = 0; j = 0; common = 0
}

/*
 * A VM begins to wait until a majority of the targets holds an entry of a
 * primary.
 *
 * Each run tracks only one position. The choice is nondeterministic, so the
 * search covers every position in some run.
 */
inline watch() {
	pick3(i);
	if
	:: target[i].role == PRIMARY && target[i].length > 0 && ackTerm == 0 && watchTerm == 0 ->
		chooseWatched();
		if
		:: j < target[i].length ->
			watchTerm = target[i].entry[j];
			watchIndex = j;
			watchUnder = target[i].term;
			seen = 1 << i;
			seenCount = 1
		:: else
		fi
	:: else
	fi;
	i = 0; j = 0
}

/* The VM receives a replica's status: its last position and its term. */
inline observe() {
	pick3(i);
	if
	:: watchTerm > 0 && !(seen & (1 << i)) && counts(i) ->
		seen = seen | (1 << i);
		seenCount++
	:: else
	fi;
	i = 0
}

inline acknowledge() {
	if
	:: watchTerm > 0 && seenCount >= ACK_QUORUM ->
		ackTerm = watchTerm;
		ackIndex = watchIndex;
		ackUnder = watchUnder;
		forgetWatch();
		checkKept()
	:: else
	fi
}

/* A replica returns an entry that it has applied to a reader. */
inline read() {
	pick3(i);
	if
	:: target[i].role == REPLICA && target[i].length > 0 && ackTerm == 0 && watchTerm == 0 && shows(i) ->
		pick4(j);
		if
		:: j < target[i].length ->
			ackTerm = target[i].entry[j];
			ackIndex = j;
			ackUnder = target[i].term;
			checkKept()
		:: else
		fi
	:: else
	fi;
	i = 0; j = 0
}

inline begin() {
	pick2(i);
	if
	:: !promoter[i].busy && attempts < ATTEMPTS && (attempts > 0 || i == 0) ->
		highestTerm(k);
		/* Targets would reject a lower term, and skipping a term changes nothing. */
		if
		:: k > 0 -> t = k
		:: k < TERMS -> t = k + 1
		fi;
		k = 0;
		attempts++;
		promoter[i].term = t;
		promoter[i].busy = true
	:: else
	fi;
	i = 0; t = 0
}

/* A fence request arrives at a target. Its answer may be lost. */
inline fence() {
	pick2(i); pick3(j);
	if
	:: promoter[i].busy && !promoter[i].decided && !(promoter[i].fenced & (1 << j)) &&
	   (promoter[i].term > target[j].term ||
	    (promoter[i].term == target[j].term && owns(i, j))) ->
		if
		:: promoter[i].term > target[j].term ->
			target[j].term = promoter[i].term;
			target[j].owner = i + 1;
			target[j].role = DETACHED
		:: else
		fi;
		if
		:: skip	/* the answer is lost */
		:: skip;
		   if
		   :: promoter[i].count == 0 || last(j) > promoter[i].bestTerm ||
		      (last(j) == promoter[i].bestTerm && target[j].length > promoter[i].bestLength) ->
			promoter[i].best = j;
			promoter[i].bestTerm = last(j);
			promoter[i].bestLength = target[j].length
		   :: else
		   fi;
		   promoter[i].fenced = promoter[i].fenced | (1 << j);
		   promoter[i].count++
		fi
	:: else
	fi;
	i = 0; j = 0
}

inline decide() {
	pick2(i);
	if
	:: promoter[i].busy && !promoter[i].decided && promoter[i].count >= FENCE_QUORUM ->
		promoter[i].decided = true
	:: else
	fi;
	i = 0
}

/* A promotion request arrives at the target with the most up-to-date log among
 * those that the attempt fenced. */
inline promote() {
	pick2(i);
	if
	:: promoter[i].decided ->
		j = promoter[i].best;
		if
		:: target[j].term == promoter[i].term && target[j].role == DETACHED && last(j) != target[j].term &&
		   owns(i, j) && target[j].length < LENGTH && (begun || j == 0) ->
			begun = true;
			checkOnly();
			target[j].role = PRIMARY;
			openTerm();
			checkKept()
		:: else
		fi;
		forgetPromoter(i)
	:: else
	fi;
	i = 0; j = 0
}

/* A target becomes a replica of the primary of a term that is not lower than its
 * own, or moves on to the later term. */
inline follow() {
	pick3(i); pick3(j);
	if
	:: i != j && target[i].role == PRIMARY && target[j].term <= target[i].term &&
	   !(target[j].term == target[i].term && target[j].role == PRIMARY) && target[j].role != REPLICA ->
		if
		:: target[j].term < target[i].term -> target[j].owner = 0
		:: else
		fi;
		target[j].term = target[i].term;
		target[j].role = REPLICA
	:: i != j && target[i].role == PRIMARY && target[j].role == REPLICA && target[j].term < target[i].term ->
		target[j].owner = 0;
		target[j].term = target[i].term
	:: else
	fi;
	i = 0; j = 0
}

inline crash() {
	pick3(i);
	if
	:: crashes < CRASHES && target[i].role != DETACHED ->
		crashes++;
		target[i].role = DETACHED
	:: else
	fi;
	i = 0
}

/* A promoter crashes or gives up. */
inline giveUp() {
	pick2(i);
	if
	:: promoter[i].busy -> forgetPromoter(i)
	:: else
	fi;
	i = 0
}

init {
	do
	:: atomic { write() }
	:: atomic { replicate() }
	:: atomic { watch() }
	:: atomic { observe() }
	:: atomic { acknowledge() }
	:: atomic { read() }
	:: atomic { begin() }
	:: atomic { fence() }
	:: atomic { decide() }
	:: atomic { promote() }
	:: atomic { follow() }
	:: atomic { crash() }
	:: atomic { giveUp() }
	od
}
