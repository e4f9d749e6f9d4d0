package group

import "time"

// Event is an input of the Machine: something that happened outside it.
type Event interface{ event() }

// Configured replaces the group's targets and this VM's rank among the VMs
// that monitor the primary.
type Configured struct {
	Members []Member
	// Rank is the position of this VM among the VMs that monitor the primary.
	// A VM with a negative rank does not monitor it.
	Rank int
}

// Arrived reports a new request of a caller.
type Arrived struct{ Request Request }

// SessionEnded reports that a caller's session ended, with or without warning, or
// that its requests and its transaction are abandoned. Later requests of the
// same session are accepted.
type SessionEnded struct{ Session uint64 }

// Dialed reports that a slot's connection is open and ready for requests.
type Dialed struct{ Slot uint64 }

// SlotLost reports that a slot's connection could not be opened, or broke
// while no request ran on it.
type SlotLost struct {
	Slot uint64
	// Full reports that the target refused the connection because its
	// connection limit was reached.
	Full bool
}

// Finished reports that the whole reply of a run has arrived.
type Finished struct {
	Run   uint64
	Reply Reply
}

// RunFailed reports that the connection of a run failed before the whole reply
// had arrived.
type RunFailed struct {
	Run uint64
	// Sent reports whether any byte of the request may have reached the
	// target.
	Sent bool
}

// StatusReceived is a target's answer to the status request with the given Number.
type StatusReceived struct {
	Target string
	Number uint64
	Status Status
}

// StatusFailed reports that the status request with the given Number failed: its
// connection was refused or broke, or the answer was malformed.
type StatusFailed struct {
	Target string
	Number uint64
}

// Disconnected reports that a connection for status requests was closed,
// whether or not a request was in flight on it.
type Disconnected struct{ Target string }

// CommandAnswered is a target's answer to Fence, Promote or Follow.
type CommandAnswered struct {
	Target  string
	Attempt string
	// Done reports whether the target carried out the command. If not, the
	// target refused it or could not be reached, and Status is ignored.
	Done   bool
	Status Status
}

// LeaseAnswered is the platform's answer to AcquireLease.
type LeaseAnswered struct {
	Attempt string
	Outcome LeaseOutcome
}

// LeaseOutcome is the result of a request for the promotion lease.
type LeaseOutcome uint8

// Results of a request for the promotion lease: the platform could not be
// asked, this VM now holds the lease, or another VM holds it.
const (
	LeaseUnavailable LeaseOutcome = iota
	LeaseHeld
	LeaseDenied
)

// PeerReported reports whether a VM of another zone currently gets answers from a
// target.
type PeerReported struct {
	Zone       string
	Target     string
	Responsive bool
}

// Ticked reports only that time has passed.
type Ticked struct{}

func (Configured) event()      {}
func (Arrived) event()         {}
func (SessionEnded) event()    {}
func (Dialed) event()          {}
func (SlotLost) event()        {}
func (Finished) event()        {}
func (RunFailed) event()       {}
func (StatusReceived) event()  {}
func (StatusFailed) event()    {}
func (Disconnected) event()    {}
func (CommandAnswered) event() {}
func (LeaseAnswered) event()   {}
func (PeerReported) event()    {}
func (Ticked) event()          {}

// Member is a target of the group as this VM may use it.
type Member struct {
	Name string
	Zone string
	// Connections is the number of connections to the target that this VM may
	// open.
	Connections int
	// Leaving reports that the target must not get new requests.
	Leaving bool
}

// Request is one request of a caller: all its messages up to and including
// the Sync.
type Request struct {
	ID uint64
	// Session identifies the caller's connection. An open transaction belongs
	// to one session.
	Session uint64
	// Read reports that the request changes no data.
	Read bool
	// MaxStaleness is the greatest staleness that a read accepts. Zero means
	// that the read must see all writes acknowledged before it arrived.
	MaxStaleness time.Duration
	// ReplicaWait is how much longer than a round trip to the primary a read may
	// wait for a replica. Zero means Limits.ReplicaWait.
	ReplicaWait time.Duration
	// Repeatable reports that a write may run more than once.
	Repeatable bool
	// Floor is the highest log position that the session has written or read.
	Floor Position
	// FloorKnown reports whether Floor is known. It is not for a session that came
	// from another VM without a token.
	FloorKnown bool
	// Deadline is the time on the VM's monotonic clock at which the request
	// is given up.
	Deadline time.Duration
}

// Reply is what a target reported together with the answer to a request.
type Reply struct {
	// Status is the target's status when the request ran. For a request that
	// wrote, its last position is that of the commit.
	Status Status
	// First is the position up to which the request's first statement saw
	// entries.
	First Position
	// Wrote reports that the request committed a change.
	Wrote bool
	// Open reports that a transaction is open after the request.
	Open bool
	// Rejected reports that the target refused the request without running
	// it.
	Rejected bool
}
