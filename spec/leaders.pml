/*
 * Leadership by a record in the platform's store, as package succession has
 * it. VMs release answers of the leader while they hold a grant; a VM that
 * moves the leadership makes sure that no grant of the old one is left before
 * the platform promotes another target.
 *
 * There are four VMs. VM 0 moves the leadership, VM 1 serves, VM 2 vouches and
 * may restart, VM 3 always vouches and is never reached by VM 0. VM 1 needs
 * three of the four, itself among them. Each may be as slow as it likes at any
 * step.
 *
 * Checked: VM 1 acknowledges no write that was committed on the old target
 * after the new one was promoted. Each mutant takes one rule out:
 *
 *   NO_END       the old record's lease is not ended before the wait
 *   NO_WAIT      grants are not waited out
 *   LATE_CLOCK   a confirmation counts from its answer, not its question
 *   EARLY_CHECK  the grant is checked before the answer came
 *   VOUCH_MOVING a VM that moves the leadership vouches for the old record
 *   FORGETFUL    a VM vouches that restarted and forgot that it yielded
 *   ALONE        a move goes on without the yield of a third of the VMs
 *   EARLY_WAIT   the wait for grants does not begin with the last such yield
 */

#define HORIZON 6 /* time at which the search ends */
#define GRANT 1   /* how long a confirmation counts */
#define OUTAGE 4  /* how long VMs may vouch after the store confirmed */

byte now = 0;

/* The store: the record's revision, and whether the old record's lease lives.
 * Revision 1 names the old target, 2 the move, 3 the new target. */
byte revision = 1;
bit  alive = 1;

/* Whether the old target leads, and whether the new one was promoted. */
bit  leads = 1;
bit  promoted = 0;

/* What VM 1 knows. */
byte known = 1;
byte confirmed = 0;
byte stored = 0;

/* What VM 2 knows; 0 after a restart. */
byte other = 1;
bit  renewed = 1;

/* Whether VM 0 moves the leadership, and what it knows. */
bit  busy = 0;
byte mine = 1;

#ifdef VOUCH_MOVING
#define rests 1
#else
#define rests (!busy && mine == 1)
#endif

#ifdef FORGETFUL
#define remembers 1
#else
#define remembers (renewed)
#endif

#define holds (now - confirmed < GRANT && known == 1)

active proctype clock() {
	do
	:: now < HORIZON -> now++
	:: else -> break
	od
}

active proctype server() {
	byte sent;
	bit held, late;
	do
	:: now < HORIZON && known == 1 -> /* renew the lease */
		sent = now;
		if
		:: alive ->
			/* the answer is under way */
#ifdef LATE_CLOCK
			sent = now;
#endif
			if
			:: known == 1 && sent > stored -> stored = sent
			:: else
			fi;
			if
			:: known == 1 && sent > confirmed -> confirmed = sent
			:: else
			fi
		:: else
		fi;
		sent = 0
	:: known < revision -> known = revision /* hear of the record */
	:: now < HORIZON && known == 1 -> /* ask the others to vouch */
		sent = now;
		if
		:: rests || (other <= 1 && remembers) ->
			if
			:: known == 1 && sent - stored <= OUTAGE && sent > confirmed -> confirmed = sent
			:: else
			fi
		:: else
		fi;
		sent = 0
	:: now < HORIZON && known == 1 -> /* write on the old target */
#ifdef EARLY_CHECK
		held = holds;
#endif
		late = 0;
		if
		:: atomic { leads -> late = promoted }
		:: else
		fi;
#ifndef EARLY_CHECK
		held = holds;
#endif
		assert(!(held && late));
		held = 0;
		late = 0
	:: now == HORIZON -> break
	od
}

active proctype voucher() {
	do
	:: now < HORIZON && other > 0 && other < revision -> other = revision
	:: now < HORIZON && other == 0 -> /* hear from VM 1, or read the record */
		if
		:: other = known
		:: atomic { other = revision; renewed = 1 }
		fi
	:: now < HORIZON && other == 1 && !renewed -> /* the store confirms it */
		if
		:: atomic { revision == 1 && alive -> renewed = 1 }
		:: true
		fi
	:: now < HORIZON && other > 0 -> atomic { other = 0; renewed = 0 }
	:: now == HORIZON -> break
	od
}

active proctype mover() {
	byte ended;
	now >= 1;
	busy = 1;
	revision = 2;
	mine = 2;
#ifndef NO_END
	alive = 0;
#endif
	ended = now;
	if
	:: leads = 0 /* the old target is reached, and steps down */
	:: true -> /* every VM yields */
		atomic { known = 2; other = 2 }
	:: true -> /* only VM 2 yields, and the grants run out */
#ifndef ALONE
		other = 2;
#endif
#ifndef EARLY_WAIT
		ended = now;
#endif
#ifndef NO_WAIT
endWait:	now >= ended + GRANT
#else
		skip
#endif
	fi;
	promoted = 1;
	revision = 3;
	mine = 3;
	busy = 0
}
