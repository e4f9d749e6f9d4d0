package group

import "time"

// Action is something that the Machine wants done.
type Action interface{ action() }

// Dial opens a connection to a target for a slot.
type Dial struct {
	Target string
	Slot   uint64
}

// Hang closes a slot's connection, whatever runs on it.
type Hang struct{ Slot uint64 }

// Run sends a request over a slot's connection.
type Run struct {
	Run     uint64
	Slot    uint64
	Request uint64
}

// Rollback ends the transaction that a vanished caller left on a slot. Its
// end is reported by Finished or Broke.
type Rollback struct {
	Run  uint64
	Slot uint64
}

// Answer ends a request.
type Answer struct {
	Request uint64
	Ending  Ending
}

// Ask requests a target's status. With a position to wait for, the target
// may hold the answer until it has received or applied it, at most for Wait.
type Ask struct {
	Target string
	Ask    uint64
	// Fresh demands a new connection.
	Fresh    bool
	Received Position
	Applied  Position
	Wait     time.Duration
}

// Fence detaches a target from its primary for one attempt.
type Fence struct {
	Target  string
	Term    Term
	Attempt string
}

// Promote makes a fenced target the primary of the attempt's term.
type Promote struct {
	Target  string
	Term    Term
	Attempt string
}

// Follow makes a target copy the log of the term's primary.
type Follow struct {
	Target  string
	Term    Term
	Primary string
}

// AcquireLease asks the platform for the group's promotion lease.
type AcquireLease struct{ Attempt string }

// ReleaseLease gives the group's promotion lease back.
type ReleaseLease struct{ Attempt string }

// AskPeers asks the VMs of other zones whether they hear a target.
type AskPeers struct{ Target string }

// Note reports a change that an operator may want to see.
type Note struct{ Event NoteEvent }

// Breach reports an invariant that did not hold. The request concerned is
// refused.
type Breach struct{ Text string }

func (Dial) action()         {}
func (Hang) action()         {}
func (Run) action()          {}
func (Rollback) action()     {}
func (Answer) action()       {}
func (Ask) action()          {}
func (Fence) action()        {}
func (Promote) action()      {}
func (Follow) action()       {}
func (AcquireLease) action() {}
func (ReleaseLease) action() {}
func (AskPeers) action()     {}
func (Note) action()         {}
func (Breach) action()       {}

// Ending is how a request ended.
type Ending interface{ ending() }

// Done is a request that ran; the run's reply is the caller's answer.
type Done struct {
	Run uint64
	// Position is what the session has now seen.
	Position Position
	// Replica reports that a replica answered.
	Replica bool
}

// Refused is a request that did not run.
type Refused struct {
	Reason Reason
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}

// Unknown is a request that may or may not have run.
type Unknown struct{ Reason Reason }

func (Done) ending()    {}
func (Refused) ending() {}
func (Unknown) ending() {}

// Reason says why a request was not answered by a target.
type Reason string

// The reasons of Refused and Unknown.
const (
	ReasonQueueFull       Reason = "queue is full"
	ReasonTimeout         Reason = "timed out before a target could take it"
	ReasonNoMajority      Reason = "no majority of the group's targets is reachable"
	ReasonRejected        Reason = "the target rejected it"
	ReasonTransactionLost Reason = "the transaction's connection was lost; it was rolled back"
	ReasonRetired         Reason = "the group is no longer in the manifest"
	ReasonInvariant       Reason = "an internal check failed"
	ReasonUnacknowledged  Reason = "no majority confirmed it in time"
	ReasonDeposed         Reason = "the primary was deposed while it ran"
	ReasonConnectionLost  Reason = "the connection to the target was lost"
	ReasonSilent          Reason = "the target did not answer in time"
)

// NoteEvent is one kind of Note.
type NoteEvent interface{ note() }

// TargetLost notes that a target cannot be reached over a fresh connection.
type TargetLost struct{ Target string }

// TargetBack notes that a lost target answered.
type TargetBack struct{ Target string }

// TargetSetAside notes a status that contradicts what the target said
// before.
type TargetSetAside struct {
	Target string
	Status Status
}

// PromotionStarted notes that this VM tries to promote a target.
type PromotionStarted struct {
	Term   Term
	Reason string
}

// PromotionEnded notes how an attempt ended; Target is empty on a failure.
type PromotionEnded struct {
	Term   Term
	Target string
	Reason string
}

// PrimaryChanged notes that another target leads the group.
type PrimaryChanged struct {
	Target string
	Term   Term
}

func (TargetLost) note()       {}
func (TargetBack) note()       {}
func (TargetSetAside) note()   {}
func (PromotionStarted) note() {}
func (PromotionEnded) note()   {}
func (PrimaryChanged) note()   {}
