package group

import "time"

// Limits are a Machine's times and bounds.
type Limits struct {
	// Probe is the time between status requests to a target without traffic.
	Probe time.Duration
	// Alert is the same while the group's primary is lost or missing.
	Alert time.Duration
	// Ask is how long a status request may go unanswered before a fresh
	// connection is tried.
	Ask time.Duration
	// Fresh is how long the fresh connection may take before the target
	// counts as lost.
	Fresh time.Duration
	// Stream is how long a replica may not have heard its primary, when this
	// VM has lost the primary too, before the replica speaks for a promotion.
	Stream time.Duration
	// StreamAlone is the same while this VM still hears the primary.
	StreamAlone time.Duration
	// Grace is how long a group may be without a primary before a promotion
	// is tried.
	Grace time.Duration
	// Rank is the delay that each lower-ranked watcher adds.
	Rank time.Duration
	// Jitter bounds the random part of every delay before a promotion.
	Jitter time.Duration
	// Lease is how long a promotion waits for the platform.
	Lease time.Duration
	// Step is how long each step of a promotion may take.
	Step time.Duration
	// Settle is how long a promotion waits for the last fence answers after
	// a majority answered.
	Settle time.Duration
	// Patience is how much longer than the primary's trip a read may wait
	// for a replica.
	Patience time.Duration
	// Dial is the expected time to open a connection.
	Dial time.Duration
	// Wait bounds one long poll of a replica's position.
	Wait time.Duration
	// Hopeless is how long a majority must be out of reach before writes are
	// refused on arrival.
	Hopeless time.Duration
	// Transaction is how long a transaction may be idle before it is ended.
	Transaction time.Duration
	// Pause is the gap between two steps that shows the VM was frozen.
	Pause time.Duration
	// Tick is the time between wake-ups while anything is pending.
	Tick time.Duration
	// Idle is how long after its last request a group is still probed by a
	// VM that does not watch it.
	Idle time.Duration
	// Queue is the most requests that wait for a slot.
	Queue int
	// AsksInFlight is the most status requests under way to one target.
	AsksInFlight int
	// Reruns is the most times one read is run again.
	Reruns int
	// RetryShare is the most reruns for each first run, over time.
	RetryShare float64
}

// DefaultLimits returns the limits for availability zones a few
// milliseconds apart.
func DefaultLimits() Limits {
	return Limits{
		Probe:        500 * time.Millisecond,
		Alert:        100 * time.Millisecond,
		Ask:          300 * time.Millisecond,
		Fresh:        300 * time.Millisecond,
		Stream:       500 * time.Millisecond,
		StreamAlone:  700 * time.Millisecond,
		Grace:        400 * time.Millisecond,
		Rank:         250 * time.Millisecond,
		Jitter:       60 * time.Millisecond,
		Lease:        100 * time.Millisecond,
		Step:         500 * time.Millisecond,
		Settle:       30 * time.Millisecond,
		Patience:     40 * time.Millisecond,
		Dial:         12 * time.Millisecond,
		Wait:         200 * time.Millisecond,
		Hopeless:     1500 * time.Millisecond,
		Transaction:  30 * time.Second,
		Pause:        2 * time.Second,
		Tick:         5 * time.Millisecond,
		Idle:         10 * time.Second,
		Queue:        256,
		AsksInFlight: 4,
		Reruns:       3,
		RetryShare:   0.2,
	}
}
