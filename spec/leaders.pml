/*
 * Leadership by a record in the platform's store, as package succession has
 * it. VMs release answers of the leader while they hold a grant; a VM that
 * moves the leadership makes sure that no grant of the old one is left before
 * the platform promotes another target.
 *
 * Checked: no VM acknowledges a write that was committed on a target after
 * another one was promoted. Each mutant takes one rule out:
 *
 *   NO_END      the old record's lease is not ended before the wait
 *   NO_WAIT     grants are not waited out
 *   LATE_CLOCK  a confirmation counts from its answer instead of its question
 *   EARLY_CHECK the grant is checked before the answer came
 *   VOUCH_MOVING a VM that moves the leadership vouches for the old record
 *   FORGETFUL   a VM vouches that has restarted and forgot that it yielded
 */

#define VMS 3
#define HORIZON 7  /* time at which the search ends */
#define GRANT 2    /* how long a confirmation counts */
#define OUTAGE 4   /* how long VMs may vouch after the store confirmed */
#define RECORDS 3  /* records that can be written */

#define OLD 0
#define NEW 1

byte now = 0;

/* The store: the record, and which records' leases are alive. */
byte revision = 1;
bit  leader = OLD;
bit  moving = 0;
bit  alive[RECORDS + 2];

/* The targets: whether each believes that it leads, and whether the platform
 * has promoted the new one. */
bit  leads[2];
bit  promoted = 0;

/* The VMs. */
byte known[VMS];      /* revision of the newest known record */
bit  knownLeader[VMS];
bit  knownMoving[VMS];
byte confirmed[VMS];  /* time from which the grant counts */
byte stored[VMS];     /* when the store itself last confirmed */
bit  ever[VMS];
bit  renewed[VMS];    /* the store confirmed something since the VM's start */
bit  busy[VMS];       /* the VM moves the leadership */

inline learn(v, r, l, m) {
	if
	:: r > known[v] -> known[v] = r; knownLeader[v] = l; knownMoving[v] = m
	:: else
	fi
}

inline confirm(v, at) {
	if
	:: !ever[v] || at > stored[v] -> stored[v] = at
	:: else
	fi;
	if
	:: !ever[v] || at > confirmed[v] -> confirmed[v] = at
	:: else
	fi;
	ever[v] = 1;
	renewed[v] = 1
}

#ifdef VOUCH_MOVING
#define rests(w) 1
#else
#define rests(w) (!busy[w])
#endif

#ifdef FORGETFUL
#define remembers(w) 1
#else
#define remembers(w) (renewed[w])
#endif

#define holds(v, t) (ever[v] && now - confirmed[v] < GRANT && knownLeader[v] == t && !knownMoving[v])

active proctype clock() {
	do
	:: now < HORIZON -> now++
	:: now == HORIZON -> break
	od
}

/* A VM confirms, reads, vouches, serves, restarts, in any order and as slowly
 * as it likes. */
proctype vm(byte v) {
	byte sent, r;
	bit target, late, held;
	byte w, votes;
	do
	:: now < HORIZON -> /* renew the lease of the known record */
		sent = now; r = known[v];
		atomic {
			if
			:: r > 0 && alive[r] ->
#ifdef LATE_CLOCK
				sent = now;
#endif
				if
				:: r == known[v] -> confirm(v, sent)
				:: else
				fi
			:: else
			fi
		}
	:: now < HORIZON -> /* read the record */
		sent = now;
		atomic {
			learn(v, revision, leader, moving);
			if
			:: known[v] == revision -> confirm(v, sent)
			:: else
			fi
		}
	:: now < HORIZON && ever[v] -> /* ask all others to vouch */
		sent = now; r = known[v]; votes = 1; w = 0;
		do
		:: w < VMS ->
			atomic {
				if
				:: w != v && known[w] <= r && rests(w) && remembers(w) -> votes++
				:: else
				fi;
				w++
			}
		:: else -> break
		od;
		atomic {
			if
			:: 3 * votes > 2 * VMS && !busy[v] && r == known[v] && ever[v] && renewed[v] && sent - stored[v] <= OUTAGE - GRANT && sent > confirmed[v] ->
				confirmed[v] = sent
			:: else
			fi
		}
	:: now < HORIZON && !busy[v] -> /* write on the leader, and acknowledge */
		target = knownLeader[v];
#ifdef EARLY_CHECK
		held = holds(v, target);
#endif
		atomic {
			if
			:: leads[target] -> late = (target == OLD && promoted)
			:: else -> goto done
			fi
		}
#ifndef EARLY_CHECK
		held = holds(v, target);
#endif
		assert(!(held && late));
done:
		held = 0; late = 0
	:: now < HORIZON && !busy[v] && v == VMS - 1 -> /* restart */
		atomic {
			known[v] = 0; ever[v] = 0; renewed[v] = 0;
			confirmed[v] = 0; stored[v] = 0;
			knownMoving[v] = 0; knownLeader[v] = OLD
		}
	:: now < HORIZON -> /* hear a record from another VM */
		atomic {
			w = (v + 1) % VMS;
			learn(v, known[w], knownLeader[w], knownMoving[w]);
			if
			:: known[v] == known[w] && ever[w] && known[v] > 0 ->
				/* a confirmation of the other's, of a moment after this VM's start */
				if
				:: !ever[v] || stored[w] > stored[v] -> stored[v] = stored[w]
				:: else
				fi;
				if
				:: !ever[v] || stored[w] > confirmed[v] -> confirmed[v] = stored[w]
				:: else
				fi;
				ever[v] = 1
			:: else
			fi
		}
	:: now == HORIZON -> break
	od
}

/* VM 0 moves the leadership once. */
proctype mover() {
	byte old, ended;
	byte yields = 0;
	bit stepped = 0;
	now >= 1;
	atomic {
		learn(0, revision, leader, moving);
		confirm(0, now);
		busy[0] = 1
	}
	atomic {
		old = revision;
		revision++;
		moving = 1;
		alive[revision] = 1;
		learn(0, revision, OLD, 1)
	}
#ifndef NO_END
	alive[old] = 0;
#endif
	ended = now;
	if
	:: /* the old leader is reached, and steps down */
		leads[OLD] = 0; stepped = 1
	:: true -> /* every VM yields */
		learn(1, revision, OLD, 1);
		learn(2, revision, OLD, 1)
	:: /* a third of the VMs, this one, and the grants run out */
#ifndef NO_WAIT
		now >= ended + GRANT
#else
		skip
#endif
	:: true -> /* one VM yields, which may be the one that restarts */
		learn(2, revision, OLD, 1);
#ifndef NO_WAIT
		now >= ended + GRANT
#else
		skip
#endif
	fi;
	atomic { promoted = 1; leads[NEW] = 1 }
	atomic {
		revision++;
		leader = NEW;
		moving = 0;
		alive[revision] = 1;
		alive[revision - 1] = 0;
		learn(0, revision, NEW, 0);
		busy[0] = 0
	}
}

init {
	atomic {
		alive[1] = 1;
		leads[OLD] = 1;
		run vm(0); run vm(1); run vm(2); run mover()
	}
}
