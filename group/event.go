package group

import "time"

// Event is something that happened outside the Machine.
type Event interface{ event() }

// Configured replaces the group's targets and this VM's part in it.
type Configured struct {
	Members []Member
	// Rank orders the VMs that watch the group; a negative rank does not
	// watch.
	Rank int
}

// Arrived is a new request of a caller.
type Arrived struct{ Request Request }

// Vanished is a caller's session that ended, with or without warning.
type Vanished struct{ Session uint64 }

// Dialed is a slot's connection that is ready for work.
type Dialed struct{ Slot uint64 }

// SlotLost is a slot whose connection could not be opened or broke while it
// ran nothing.
type SlotLost struct {
	Slot uint64
	// Full reports that the target had no connection left.
	Full bool
}

// Finished is a run whose whole reply has arrived.
type Finished struct {
	Run   uint64
	Reply Reply
}

// Broke is a run whose connection failed before the whole reply arrived.
type Broke struct {
	Run uint64
	// Sent reports whether any byte may have reached the target.
	Sent bool
}

// Heard is a target's answer to a status request.
type Heard struct {
	Target string
	Ask    uint64
	Status Status
}

// Unheard is a status request that failed: the connection was refused or
// broke, or the answer made no sense.
type Unheard struct {
	Target string
	Ask    uint64
}

// Disconnected is the end of a connection for status requests, whether or not
// one was under way.
type Disconnected struct{ Target string }

// Commanded is a target's answer to Fence, Promote or Follow.
type Commanded struct {
	Target  string
	Attempt string
	// Done reports whether the target obeyed; if not, it refused or could
	// not be reached.
	Done   bool
	Status Status
}

// LeaseAnswered is the platform's answer to AcquireLease.
type LeaseAnswered struct {
	Attempt string
	Outcome LeaseOutcome
}

// LeaseOutcome is what became of a lease request.
type LeaseOutcome uint8

// The outcomes of a lease request.
const (
	LeaseUnavailable LeaseOutcome = iota
	LeaseHeld
	LeaseDenied
)

// PeerSaw is what a VM in another zone says of a target.
type PeerSaw struct {
	Zone   string
	Target string
	Hears  bool
}

// Ticked is the passing of time.
type Ticked struct{}

func (Configured) event()    {}
func (Arrived) event()       {}
func (Vanished) event()      {}
func (Dialed) event()        {}
func (SlotLost) event()      {}
func (Finished) event()      {}
func (Broke) event()         {}
func (Heard) event()         {}
func (Unheard) event()       {}
func (Disconnected) event()  {}
func (Commanded) event()     {}
func (LeaseAnswered) event() {}
func (PeerSaw) event()       {}
func (Ticked) event()        {}

// Member is a target as one VM uses it.
type Member struct {
	Name string
	Zone string
	// Connections is this VM's share of the target's connections.
	Connections int
	// Leaving reports that the target must get no new work.
	Leaving bool
}

// Request is one request of a caller, up to and including its Sync.
type Request struct {
	ID uint64
	// Session identifies the caller's connection; a transaction belongs to
	// it.
	Session uint64
	// Read reports that the request changes nothing.
	Read bool
	// Age is how old the data may be that a read sees; zero means current.
	Age time.Duration
	// Patience is how much longer than the primary's trip a read may wait for
	// a replica; zero means the Machine's own.
	Patience time.Duration
	// Repeat reports that a write may run more than once.
	Repeat bool
	// Floor is the highest position that the session wrote or read.
	Floor Position
	// Known reports whether Floor is known; it is not for a session that
	// came from another VM without a token.
	Known bool
	// Deadline is when the request is given up.
	Deadline time.Duration
}

// Reply is what a target reported with its answer.
type Reply struct {
	// Status is the target's status when the request ran. For a request that
	// wrote, the last position is that of its commit.
	Status Status
	// First is the position that the request's first statement saw.
	First Position
	// Wrote reports that the request committed a change.
	Wrote bool
	// Open reports that a transaction is open after the request.
	Open bool
	// Rejected reports that the target refused the request and did not run
	// it.
	Rejected bool
}
