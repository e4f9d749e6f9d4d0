package zones

import "time"

// Estimate is the expected completion of a statement on a target.
type Estimate struct {
	// Wait is the time until the statement is sent; Rest is the time from then to its
	// answer.
	Wait, Rest time.Duration
	// Price is the latency that the statement's bytes are worth.
	Price time.Duration
}

// Completion returns the expected time to the answer, without the price.
func (e Estimate) Completion() time.Duration { return e.Wait + e.Rest }

// Cost returns the completion time plus the price.
func (e Estimate) Cost() time.Duration { return e.Completion() + e.Price }

// Reason states why a statement ran where it did.
type Reason uint8

// The reasons.
const (
	// ReasonInZone is for statements that ran in the zone by choice.
	ReasonInZone Reason = iota
	// ReasonLeader and ReasonTarget are for statements without a choice.
	ReasonLeader
	ReasonTarget
	// ReasonNoTarget is for statements of a zone without a target that answers, and
	// ReasonFreshness for those that the zone's targets cannot serve since they lag
	// or have refused them.
	ReasonNoTarget
	ReasonFreshness
	// ReasonCost is for statements that are completed earlier outside, the price
	// included, and ReasonRefusal for those that would be refused in the zone.
	ReasonCost
	ReasonRefusal
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the reason as a metric label.
func (r Reason) String() string {
	names := [ReasonCount]string{"in-zone", "leader", "target", "no-target", "freshness", "cost", "refusal"}
	if r >= ReasonCount {
		return "unknown"
	}
	return names[r]
}

// Choice is a statement's choice between the best target of the zone and the best one
// outside; nil if there is none.
type Choice struct {
	// InZone may have to be waited for. Outside can take the statement now.
	InZone, Outside *Estimate
	// Unfit is the reason why InZone is nil.
	Unfit Reason
	// Lagging reports that the target of the zone has probably not reached the
	// position that the statement needs.
	Lagging bool
	// Left is how long the statement may still wait to be sent.
	Left time.Duration
}

// Decision is the result of a Choice.
type Decision struct {
	// Leave reports that the statement is to run outside.
	Leave bool
	// Preferred reports that outside is better, whether or not the share admits it.
	Preferred bool
	// Bounded reports that the decision is subject to the cross-zone share.
	Bounded bool
	Reason  Reason
}

// Router decides for the statements of one VM and group. The zero Router has share
// zero.
type Router struct{ Share }

// Decide decides where a statement runs. It changes nothing; the decision is
// counted by Count once the statement is sent.
func (r *Router) Decide(c Choice) Decision {
	switch {
	case c.InZone == nil:
		return Decision{Leave: c.Outside != nil, Reason: c.Unfit}
	case c.Outside == nil:
		return Decision{Bounded: true}
	}
	d := Decision{Bounded: true}
	switch {
	case c.InZone.Wait > c.Left && c.Outside.Wait <= c.Left:
		d.Preferred, d.Reason = true, ReasonRefusal
	case c.Outside.Cost() < c.InZone.Cost():
		d.Preferred, d.Reason = true, ReasonCost
	}
	if d.Preferred && c.Lagging {
		// Freshness has precedence over the share: the zone would refuse the statement.
		return Decision{Leave: true, Preferred: true, Reason: ReasonFreshness}
	}
	d.Leave = d.Preferred && r.admits()
	if !d.Leave {
		d.Reason = ReasonInZone
	}
	return d
}

// Count counts a decision whose statement is being sent.
func (r *Router) Count(d Decision) {
	if d.Bounded {
		r.count(d.Preferred, d.Leave)
	}
}

// Load is what a Router has to know at each step.
type Load struct {
	// Waiting is the number of statements that wait in the zone although outside is
	// better.
	Waiting int
	// Spare is how many more statements a second the targets outside can take.
	Spare float64
}
