package group

import "time"

// Limits holds the intervals, timeouts and bounds of a Machine.
type Limits struct {
	// ProbeInterval is the time between two status requests to a target while the
	// primary is known and answers.
	ProbeInterval time.Duration
	// AlertInterval replaces ProbeInterval while the primary is lost or none is
	// known.
	AlertInterval time.Duration
	// StatusTimeout is how long a status request may go unanswered before it is
	// sent again over a new connection.
	StatusTimeout time.Duration
	// ReconnectTimeout is how long a status request over a new connection may go
	// unanswered before the target counts as lost. It also bounds the opening
	// of a slot's connection and a rollback.
	ReconnectTimeout time.Duration
	// PrimarySilence is how long a replica must not have heard from the primary to
	// count as cut off from it, if this VM has lost the primary too. No
	// promotion is started for the same time after a promotion has succeeded
	// or this VM was frozen.
	PrimarySilence time.Duration
	// PrimarySilenceIfReachable replaces PrimarySilence while this VM still
	// reaches the primary. A report of another zone about the primary is valid
	// for the same time.
	PrimarySilenceIfReachable time.Duration
	// Grace is the least time for which a cause of promotion other than a
	// lost primary must last, such as a group without a primary. If only a
	// target is fenced above the primary's term, five times as long is
	// required.
	Grace time.Duration
	// RankDelay is the extra delay before a promotion for each rank of the
	// VM: a VM of rank 2 waits for twice RankDelay. It is also the least pause
	// after a failed attempt, whatever the rank.
	RankDelay time.Duration
	// MaxJitter bounds the random part of the delay before a promotion.
	MaxJitter time.Duration
	// LeaseTimeout is how long a promotion waits for the platform's answer
	// about the lease before it goes on without the lease.
	LeaseTimeout time.Duration
	// StepTimeout bounds the fence step and the promote step of a promotion
	// each. It is also the least time between two Follow commands to a
	// target.
	StepTimeout time.Duration
	// FenceWait is how long a promotion waits for the remaining fence answers
	// after a majority has accepted the fence.
	FenceWait time.Duration
	// ReplicaWait is how much longer than a round trip to the primary a read may
	// wait for a replica.
	ReplicaWait time.Duration
	// DialTime is the expected time to open a connection, and the pause after
	// a failed dial.
	DialTime time.Duration
	// LongPoll is the longest time for which a replica may delay its answer
	// to a long poll.
	LongPoll time.Duration
	// MajorityWait is how long a majority must have been unreachable before
	// requests that need it are refused instead of kept waiting.
	MajorityWait time.Duration
	// TransactionIdleTimeout is how long a transaction may be idle before it is
	// ended.
	TransactionIdleTimeout time.Duration
	// PauseGap is the time between two Steps above which the VM counts as
	// having been frozen.
	PauseGap time.Duration
	// Tick is the time between two wake-ups while work is pending.
	Tick time.Duration
	// GroupIdle is how long after its last request a group is still probed by
	// a VM that does not monitor its primary.
	GroupIdle time.Duration
	// QueueLength is the greatest number of requests that wait for a slot.
	QueueLength int
	// ProbesInFlight bounds the probes in flight to one target that are sent
	// because a request needs a newer status.
	ProbesInFlight int
	// MaxReruns is how many times a request may be run again.
	MaxReruns int
	// RerunShare is the number of reruns that each new request outside a
	// transaction adds to the rerun budget.
	RerunShare float64
}

// DefaultLimits returns limits for a group whose availability zones are a few
// milliseconds apart.
func DefaultLimits() Limits {
	return Limits{
		ProbeInterval:             500 * time.Millisecond,
		AlertInterval:             100 * time.Millisecond,
		StatusTimeout:             300 * time.Millisecond,
		ReconnectTimeout:          300 * time.Millisecond,
		PrimarySilence:            500 * time.Millisecond,
		PrimarySilenceIfReachable: 700 * time.Millisecond,
		Grace:                     400 * time.Millisecond,
		RankDelay:                 250 * time.Millisecond,
		MaxJitter:                 60 * time.Millisecond,
		LeaseTimeout:              100 * time.Millisecond,
		StepTimeout:               500 * time.Millisecond,
		FenceWait:                 30 * time.Millisecond,
		ReplicaWait:               40 * time.Millisecond,
		DialTime:                  12 * time.Millisecond,
		LongPoll:                  200 * time.Millisecond,
		MajorityWait:              1500 * time.Millisecond,
		TransactionIdleTimeout:    30 * time.Second,
		PauseGap:                  2 * time.Second,
		Tick:                      5 * time.Millisecond,
		GroupIdle:                 10 * time.Second,
		QueueLength:               256,
		ProbesInFlight:            4,
		MaxReruns:                 3,
		RerunShare:                0.2,
	}
}
