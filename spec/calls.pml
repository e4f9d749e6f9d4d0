/*
 * Calls for promotions that take effect late, as package succession makes them. What
 * spec/leaders.pml checks about grants is summed up in one bit here.
 *
 * The platform makes a target the primary of the next term some time after a call, at
 * most SPAN, or never, and calls take effect in any order. A call changes nothing if the
 * target is the latest primary. The primary before it goes on until it hears of that or
 * is told to step down.
 *
 * Target A leads. VM 1 moves the leadership, may make its calls for WINDOW, and may stop
 * or be delayed at any step. VM 2 takes the move over once TAKEOVER has passed. Which of
 * the targets answer at a time, and so which one a VM chooses, is open. While "gone" is
 * zero, other VMs may hold grants by which they acknowledge commits of A.
 *
 * Properties: the recorded leader is the latest one that was promoted, and no call that was made before
 * deposes it. While VMs hold grants by which A leads, A is no primary when B becomes
 * one. Each of these macros removes one rule, and the checker must then find a violation:
 *
 *   SWITCH       a VM calls for another target although its last call may take effect
 *   ROLE         a VM takes a primary of any term for one that it had promoted
 *   HASTY        VM 2 does not wait until the calls of VM 1 take effect no more
 *   STEP_EARLY   VM 2 relies on a step down from before that time
 *   NO_REFENCE   a VM that called for A and then calls for B does not make sure again that
 *                A is no primary
 *   SAME_TERM    a VM does not tell a primary to step down before the call, and takes
 *                its old term for a new one
 */

#define HORIZON 7  /* time at which the search ends */
#define WINDOW 2   /* time after the start of a move in which a VM may call */
#define SPAN 1     /* time after a call in which it may take effect */
#define TAKEOVER 3 /* time after the start of a move until another VM may take it over */
#define TRIES 2    /* calls of one move */
#define CALLS 4

#define A 0
#define B 1
#define NONE 2

byte now = 0;

/* The targets, and the platform's newest term. */
bit  primary[2];
byte termOf[2];
byte term = 1;
byte latest = A;

/* Calls that may take effect up to a time, and their targets. */
bit  open[CALLS];
byte whom[CALLS];
byte until[CALLS];
byte calls = 0;

bit gone = 0;

/* The record: the VM that moves the leadership and the time when it wrote that, or the
 * new leader. */
byte claim = 0;
byte begun = 0;
bit  recorded = 0;
byte leader = A;

init {
	atomic {
		primary[A] = 1;
		termOf[A] = 1;
		run clock();
		run platform();
		run grants();
		run mover(1);
		run mover(2)
	}
}

proctype clock() {
	do
	:: now < HORIZON -> now++
	:: else -> break
	od
}

proctype grants() {
	/* may also never happen */
endGrants:
	atomic { now < HORIZON -> gone = 1 }
}

inline takeEffect(i) {
	open[i] = 0;
	if
	:: latest == whom[i] && primary[whom[i]]
	:: else ->
		assert(!recorded || whom[i] == leader);
		assert(gone || whom[i] == A || !primary[A]);
		term++;
		latest = whom[i];
		primary[latest] = 1;
		termOf[latest] = term
	fi
}

proctype platform() {
endPlatform:
	do
	:: atomic { open[0] && now <= until[0] -> takeEffect(0) }
	:: atomic { open[1] && now <= until[1] -> takeEffect(1) }
	:: atomic { open[2] && now <= until[2] -> takeEffect(2) }
	:: atomic { open[3] && now <= until[3] -> takeEffect(3) }
	:: atomic { primary[A] && latest != A -> primary[A] = 0 } /* it hears of the other */
	:: atomic { primary[B] && latest != B -> primary[B] = 0 }
	od
}

inline choose() {
	if
	:: target = A
	:: target = B
	fi
}

#define fresh (termOf[target] > former || leadsOn)

proctype mover(byte id) {
	byte started;
	byte settled = 0; /* time after which no call takes effect */
	byte called = NONE;
	byte prepared = NONE;
	byte target = NONE;
	byte former = 0;
	byte tries = 0;
	bit  pending = 0;
	bit  leadsOn = 0;
	bit  earlier = 0; /* whether it takes a move over */

endClaim:
	if
	:: atomic { id == 1 -> claim = 1; begun = now; started = now }
	:: atomic {
		id == 2 && claim == 1 && !recorded && now >= begun + TAKEOVER ->
		claim = 2;
		started = now;
		earlier = 1;
		settled = now + WINDOW + SPAN - TAKEOVER }
	fi;

endFence: /* also waits forever */
	if
	:: gone
#ifdef STEP_EARLY
	:: primary[A] = 0
#else
	:: atomic { !earlier || now > settled -> primary[A] = 0 }
#endif
	fi;
#ifndef HASTY
endEarlier:
	!earlier || now > settled;
#endif

	do
	:: tries == TRIES || now - started > WINDOW -> goto endMove
	:: tries < TRIES && now - started <= WINDOW ->
		tries++;
		choose();
#ifndef SWITCH
		if
		:: pending && target != called ->
endPending:
			if
			:: atomic { primary[called] && (termOf[called] > former || leadsOn) -> target = called }
				goto record
			:: now > settled
			fi;
			choose()
		:: else
		fi;
#endif
		if
		:: target != prepared ->
			if
#ifndef NO_REFENCE
			:: pending && called == A ->
				if
				:: gone
				:: primary[A] = 0
				fi
#endif
			:: else
			fi;
			atomic {
				pending = 0;
				prepared = target;
				leadsOn = (target == A && !earlier && called == NONE);
#if !defined(ROLE) && !defined(SAME_TERM)
				if
				:: !leadsOn -> primary[target] = 0
				:: else
				fi;
#endif
				former = termOf[target];
#ifdef SAME_TERM
				former = former - 1;
#endif
			}
		:: else
		fi;
		atomic {
			if
			:: now - started <= WINDOW ->
				open[calls] = 1;
				whom[calls] = target;
				until[calls] = now + SPAN;
				calls++;
				called = target;
				pending = 1;
				settled = now + SPAN
			:: else -> goto endMove
			fi
		};
		if
#ifdef ROLE
		:: primary[target] -> goto record
#else
		:: primary[target] && fresh -> goto record
#endif
		:: true
		fi
	od;
record:
endRecord:
	gone || target == A; /* nobody reads from A as the leader any more */
	atomic {
		if
		:: claim == id ->
			assert(latest == target); /* another VM may have told it to step down since */
			recorded = 1;
			leader = target
		:: else
		fi
	};
endMove:
	skip
}
