package zones

import "time"

// The steps and limits of the cross-zone share.
const (
	// StepInterval is the time between two changes of the share.
	StepInterval = 250 * time.Millisecond
	// MaxStepUp bounds one rise of the share.
	MaxStepUp = 0.1
	// MaxStepDown bounds one fall. It is smaller, so that the share does not follow
	// short gaps in the demand.
	MaxStepDown = 0.05
	// bandUp and bandDown are how far the shortage must be above or below the share
	// for the share to change.
	bandUp, bandDown = 0.05, 0.1
	// minShare is the share below which it is zero.
	minShare = 0.02
	// countedSteps is the number of steps over which statements are counted: 1 s.
	countedSteps = int(time.Second / StepInterval)
	// maxMissedSteps is enough to bring any share to zero.
	maxMissedSteps = 24
	// firstHold and maxHold bound the time for which the share does not rise after a
	// target outside was full.
	firstHold = StepInterval
	maxHold   = 8 * time.Second
	// loggedChange is the change of the share that is reported.
	loggedChange = 0.2
	// rounding is above the error of the sums of shares.
	rounding = 1e-9
)

// Share is the bounded share of statements that leave the zone. The zero Share is
// zero.
type Share struct {
	value float64
	// debt is the number of statements that left less the sum of the shares of all
	// statements. It is never negative, so that statements that stayed in the zone do
	// not let a burst leave later.
	debt                       float64
	started                    bool
	steppedAt, holdUntil, hold time.Duration
	// counts holds the statements since the last step, and those of the steps before.
	counts   [countedSteps]counts
	reported float64
}

// counts are the statements of one step.
type counts struct{ all, preferred, left, refused int }

// Value returns the share, from 0 to 1.
func (s *Share) Value() float64 { return s.value }

// Advance makes the steps that are due. It is to be called before decisions. Of
// several steps that are due, all but the last count as without waiting statements.
func (s *Share) Advance(now time.Duration, l Load) {
	if !s.started {
		s.started, s.steppedAt = true, now
	}
	due := int((now - s.steppedAt) / StepInterval)
	for i := range min(due, maxMissedSteps) {
		missed := l
		if i < min(due, maxMissedSteps)-1 {
			missed.Waiting = 0
		}
		s.step(now, missed)
		copy(s.counts[1:], s.counts[:])
		s.counts[0] = counts{}
	}
	s.steppedAt += time.Duration(due) * StepInterval
}

// StepDue reports whether Advance would change something.
func (s *Share) StepDue(now time.Duration) bool {
	return !s.started || now-s.steppedAt >= StepInterval
}

func (s *Share) step(now time.Duration, l Load) {
	sum := counts{}
	for _, c := range s.counts {
		sum.all += c.all
		sum.preferred += c.preferred
		sum.left += c.left
		sum.refused += c.refused
	}
	all := float64(sum.all + sum.refused + l.Waiting)
	shortage := 0.0
	if all > 0 {
		shortage = float64(sum.preferred+sum.refused+l.Waiting) / all
	}
	switch {
	case shortage > s.value+bandUp && now >= s.holdUntil:
		s.value += min(MaxStepUp, shortage-s.value)
	case shortage == 0 || shortage < s.value-bandDown:
		s.value -= min(MaxStepDown, s.value-shortage)
	}
	if spare := float64(sum.left) + max(l.Spare, 0); all > 0 {
		s.value = min(s.value, spare/all)
	}
	s.dropRemainder()
}

// dropRemainder makes a share below minShare zero. The next one then begins without
// debt.
func (s *Share) dropRemainder() {
	if s.value < minShare {
		s.value, s.debt = 0, 0
	}
}

// admits reports whether another statement may leave. The first one may as soon as
// the share is not zero: on a VM with few statements it would otherwise wait for
// many others.
func (s *Share) admits() bool { return s.value > 0 && s.debt <= s.value+rounding }

// count counts a statement that is being sent.
func (s *Share) count(preferred, left bool) {
	c := &s.counts[0]
	c.all++
	if preferred {
		c.preferred++
	}
	if left {
		c.left++
		s.debt++
	}
	s.debt = max(s.debt-s.value, 0)
}

// RefusedInZone counts a statement that was refused for lack of capacity in the
// zone.
func (s *Share) RefusedInZone() { s.counts[0].refused++ }

// FullOutside halves the share after a target outside refused a statement as full,
// and keeps it from rising for a while.
func (s *Share) FullOutside(now time.Duration) {
	s.value /= 2
	s.dropRemainder()
	s.hold = min(max(2*s.hold, firstHold), maxHold)
	s.holdUntil = now + s.hold
}

// ServedOutside records that a statement was served outside, so that the next
// refusal there holds the share for the shortest time again.
func (s *Share) ServedOutside() { s.hold = 0 }

// Change returns the share that was last returned and the present one, and whether
// they differ by enough to be logged. Each change is returned once.
func (s *Share) Change() (from, to float64, changed bool) {
	from, to = s.reported, s.value
	if to-from < loggedChange-rounding && from-to < loggedChange-rounding {
		return from, to, false
	}
	s.reported = to
	return from, to, true
}
