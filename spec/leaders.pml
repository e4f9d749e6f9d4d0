/*
 * Failover with a leader record in the platform's store, as implemented by
 * package succession.
 *
 * The record names the target that leads. A VM passes answers of the leader on
 * to callers only while it holds a grant, which runs for a limited time after
 * the store has confirmed the record. While the store does not answer, VMs confirm
 * the record for one another instead, which takes more than half of them.
 * A VM yields when it agrees to a failover; it then stops confirming the old
 * record. A VM that performs a failover ensures that no grant for the old leader
 * is left before the platform promotes another target. Here, a promotion takes effect at
 * the call; spec/calls.pml has those that do so later.
 *
 * There are four VMs. VM 0 performs the failover. VM 1 serves callers. VM 2
 * confirms the record for others and may restart. VM 3 always confirms it, and
 * VM 0 never reaches VM 3. A confirmation by VMs needs three of the four, VM 1
 * included. Every step of each VM may be delayed by any time.
 *
 * With SILENT, the store's entry of VM 2 may say from some time on that it answers nobody,
 * although it does. VM 1 then counts it no more, so that VM 3 and VM 1 are most of the
 * VMs. VM 0 reads the entries after it has written its record, and does not take the
 * yield of a VM that is said to be silent for one of the half that it needs.
 *
 * With JOIN, VM 1 has no entry in the store at first, and knows the record all the same.
 * VM 0 asks VM 1 to yield only if the entry is there when it reads the entries. VM 1 relies
 * on the record only once it has read it after its entry was written.
 *
 * With LOSS, the store comes back once from a copy in which the record names the old
 * leader, under a lease that lives. It then confirms no record until VM 3 has written
 * the newest that the VMs know again. Before that, VM 3 has VM 0's answer, or waits
 * until VM 0 may promote no target any more, and looks which targets lead.
 *
 * Property: VM 1 acknowledges no write that was committed on the old leader
 * after the new one was promoted, and returns no read of the old leader that began
 * after commits of the new one may have been acknowledged. Each of these macros removes one rule, and
 * the checker must then find a violation:
 *
 *   NO_END       the old record's lease is not ended before the wait
 *   NO_WAIT      the failover does not wait until grants have expired
 *   LATE_CLOCK   a grant starts when the answer arrives, not when the request
 *                was sent
 *   EARLY_CHECK  the grant is checked before the target's answer arrives
 *   VOUCH_MOVING a VM that performs a failover confirms the old record
 *   FORGETFUL    a VM confirms although a restart made it forget that it yielded
 *   ALONE        the failover continues although less than half of the VMs
 *                have yielded
 *   EARLY_WAIT   the wait for grants begins before the last of this half has
 *                yielded
 *
 *   READ_EARLY   an old leader that stepped down is taken as one from which nobody
 *                reads
 *
 * With SILENT also:
 *
 *   SILENT_VOTE  VM 0 counts the yield of a VM that is said to be silent
 *   SILENT_EARLY VM 1 counts a silent VM no more although it lacks an earlier change of
 *                the record
 *
 * With JOIN also:
 *
 *   JOIN_EARLY   VM 1 relies on the record as soon as its entry is in the store
 *   JOIN_LATE    VM 1 relies on the record before it has an entry
 *
 * With LOSS also:
 *
 *   CONFIRM_LOST the store confirms the record that the copy holds
 *   VOUCH_LOST   a VM that restarted confirms the record that the copy holds
 *   SETTLE_EARLY VM 3 does not wait for VM 0
 *   SETTLE_BLIND VM 3 does not look which targets lead
 */

#ifdef LOSS
#define HORIZON 4 /* time at which the search ends */
#define WINDOW 1  /* time after the write of a failover in which VM 0 may promote a target */
#define OUTAGE 1  /* time after the store's last confirmation in which VMs may confirm the record */
#else
#define HORIZON 6
#define OUTAGE 4
#endif
#define GRANT 1   /* length of a grant after a confirmation */

byte now = 0;

/* The store: the revision of the leader record, and whether the lease of the
 * old record is alive. Revision 1 names the old leader, revision 2 announces the
 * failover, revision 3 names the new leader. After a loss the record is written
 * again: revision 4 names the old leader, revision 5 announces a failover. */
byte revision = 1;
bit  alive = 1;

/* Whether the store came back from a copy, and when. */
bit  lost = 0;
byte lostAt = 0;

#ifdef CONFIRM_LOST
#define confirms (alive)
#else
#define confirms (alive && (!lost || known == 4))
#endif

#ifdef VOUCH_LOST
#define settled 1
#else
#define settled (!lost || revision >= 4)
#endif

/* Whether the store's entry of VM 2 says that it is silent, the revision of the record
 * when it began to, and whether VM 1 knows. */
bit  silent = 0;
byte silentSince = 0;
bit  unheard = 0;

/* Whether the store has an entry of VM 1, and whether VM 1 may rely on the record. */
#ifdef JOIN
bit  entry = 0;
bit  admitted = 0;
#else
#define entry 1
#define admitted 1
#endif

#ifdef JOIN_LATE
#define counted 1
#else
#ifdef JOIN_EARLY
#define counted (entry)
#else
#define counted (admitted)
#endif
#endif

/* Whether the old target still accepts writes, and whether the new one was
 * promoted. */
bit  leads = 1;
bit  promoted = 0;

/* Whether the record names the new target, so that its commits are acknowledged. */
bit  recorded = 0;

/* VM 1: the revision that it knows, the time from which its grant runs, and the
 * time of the last confirmation by the store. */
byte known = 1;
byte confirmed = 0;
byte stored = 0;

/* VM 2: the revision that it knows (0 after a restart), and whether it has read
 * the record or had it confirmed by the store since the restart. */
byte other = 1;
bit  renewed = 1;

/* VM 0: whether it performs a failover, and the revision that it knows. */
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

#define namesOld (known == 1 || known == 4)
#define holds (now - confirmed < GRANT && namesOld && counted)

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
	:: now < HORIZON && namesOld -> /* renew the lease of the record */
		sent = now;
		if
		:: confirms ->
			/* the answer is in flight */
#ifdef LATE_CLOCK
			sent = now;
#endif
			if
			:: namesOld && sent > stored -> stored = sent
			:: else
			fi;
			if
			:: namesOld && sent > confirmed -> confirmed = sent
			:: else
			fi
		:: else
		fi;
		sent = 0
	:: atomic { known < revision -> known = revision } /* learn the current revision */
#ifdef JOIN
	:: atomic { now < HORIZON && !entry -> entry = 1 }
	:: atomic { now < HORIZON && entry && !admitted -> /* read the record */
		if
		:: known < revision -> known = revision
		:: else
		fi;
		admitted = 1
		}
#endif
#ifdef SILENT
	:: atomic { silent && !unheard -> /* learn of it, with all changes before */
		unheard = 1;
#ifndef SILENT_EARLY
		if
		:: known < silentSince -> known = silentSince
		:: else
		fi
#endif
		}
#endif
	:: now < HORIZON && known == 1 -> /* ask the others to confirm the record */
		sent = now;
		if
		:: unheard || rests || (other <= 1 && remembers) ->
			if
			:: known == 1 && sent - stored <= OUTAGE && sent > confirmed -> confirmed = sent
			:: else
			fi
		:: else
		fi;
		sent = 0
	:: now < HORIZON && namesOld -> /* a caller's write on the old leader */
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
	:: now < HORIZON && namesOld -> /* a caller's read on the old leader, which also a replica answers */
		late = recorded;
		held = holds;
		assert(!(held && late));
		held = 0;
		late = 0
	:: now == HORIZON -> break
	od
}

active proctype voucher() {
	do
	:: atomic { now < HORIZON && other > 0 && other < revision -> other = revision }
	:: now < HORIZON && other == 0 -> /* learn the revision from VM 1, or read the record */
		if
		:: other = known
		:: atomic { other = revision; renewed = settled }
		fi
	:: now < HORIZON && other == 1 && !renewed -> /* the store may confirm the record */
		if
		:: atomic { revision == 1 && alive && settled -> renewed = 1 }
		:: true
		fi
	:: now < HORIZON && other > 0 -> atomic { other = 0; renewed = 0 }
	:: now == HORIZON -> break
	od
}

#ifdef SILENT
active proctype watcher() {
	/* may also never happen */
endSilent:	atomic { now < HORIZON -> silent = 1; silentSince = revision }
}
#endif

active proctype mover() {
	byte ended;
	byte begun;
	bit  votes;
	bit  asked;
	now >= 1;
	atomic {
		/* the record of a copy is refused as a base */
		if
		:: lost -> goto endMove
		:: else
		fi;
		busy = 1;
		begun = now;
		revision = 2;
		mine = 2
	};
	atomic { votes = !silent; asked = entry }; /* read the entries of the VMs */
#ifdef SILENT_VOTE
	votes = 1;
#endif
#ifndef NO_END
	/* a lease of an earlier era is left alone */
	atomic {
		if
		:: !lost -> alive = 0
		:: else
		fi
	};
#endif
	ended = now;
	if
	:: leads = 0 -> /* the old leader is reachable and steps down */
		atomic {
			if
#ifdef LOSS
			:: now - begun > WINDOW -> goto endMove
#endif
			:: else -> promoted = 1
			fi
		}
	:: true
	fi;
	if
#ifdef READ_EARLY
	:: promoted
#endif
	:: true -> /* every VM yields */
		atomic {
			if
			:: asked -> known = 2
			:: else
			fi;
			other = 2
		}
	:: votes -> /* only VM 2 yields, and the grants expire */
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
	atomic {
		if
		:: promoted
#ifdef LOSS
		:: !promoted && now - begun > WINDOW -> goto endMove
		:: !promoted && now - begun <= WINDOW -> promoted = 1
#else
		:: !promoted -> promoted = 1
#endif
		fi
	};
	atomic {
		if
		:: !lost -> revision = 3; mine = 3
		:: else
		fi;
		recorded = 1
	};
	busy = 0;
endMove:
	skip
}

#ifdef LOSS
active proctype loss() {
	byte newest;
	atomic { revision >= 2 -> lost = 1; lostAt = now; revision = 1; alive = 1 };
	/* VM 3 learns of the loss, now or later, and settles the record. */
	newest = 1;
	if
	:: newest = mine /* VM 0 answers */
	:: /* VM 0 does not answer */
#ifndef SETTLE_EARLY
endSettle:	now - lostAt > WINDOW
#else
		skip
#endif
	fi;
	atomic {
		if
		:: known > newest -> newest = known
		:: else
		fi;
		if
		:: other > newest -> newest = other
		:: else
		fi
	};
	atomic {
		if
#ifndef SETTLE_BLIND
		:: newest > 1 || promoted -> revision = 5
		:: else -> revision = 4
#else
		:: newest > 1 -> revision = 5
		:: else -> revision = 4
#endif
		fi;
		alive = 1
	}
}
#endif

