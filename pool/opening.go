package pool

import "time"

// opening is a connection that is being opened.
type opening struct {
	identity
	// inSlot reports whether it counts as occupying one of the target's slots.
	inSlot bool
	begun  time.Duration
}

// openings are the connections that a VM is opening to one target.
type openings struct {
	// by counts them by whom they are for, and inSlots those that occupy one of the
	// target's slots.
	by      map[identity]int
	inSlots int
	pace    openingPace
}

func (o *openings) begin(n opening) {
	o.by[n.openKey()]++
	if n.inSlot {
		o.inSlots++
	}
}

func (o *openings) end(n opening) {
	key := n.openKey()
	o.by[key]--
	if o.by[key] == 0 {
		delete(o.by, key)
	}
	if n.inSlot {
		o.inSlots--
	}
}

// slowOpening is how many times the shortest time an opening takes if the target's
// slots are all occupied.
const slowOpening = 2

// openingPace limits the connections that are opened to a target at once, so that the
// openings of all VMs leave slots for statements. One VM uses at most half of the
// slots, and fewer while openings take long, because other VMs open connections too or
// statements wait at the target. The zero openingPace allows one.
type openingPace struct {
	extra    float64
	shortest time.Duration
}

// limit returns the number of connections that may be opened at once to a target with
// a number of slots.
func (p *openingPace) limit(slots int) int {
	return max(min(1+int(p.extra), slots/2), 1)
}

// record takes the time that an opening took into account.
func (p *openingPace) record(took time.Duration, slots int) {
	if p.shortest == 0 || took < p.shortest {
		p.shortest = took
	}
	if took > slowOpening*p.shortest {
		p.extra /= 2
		return
	}
	p.extra = min(p.extra+1/(1+p.extra), float64(slots))
}
