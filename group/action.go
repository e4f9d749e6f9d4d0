package group

import "time"

// Action is an output of the Machine: something for its driver to carry out.
type Action interface{ action() }

// Dial opens a connection to a target for a slot. Dialed or SlotLost reports
// the result.
type Dial struct {
	Target string
	Slot   uint64
}

// CloseSlot closes a slot's connection, even if a request is running on it.
type CloseSlot struct{ Slot uint64 }

// Run sends a request over a slot's connection. Finished or RunFailed reports the
// result.
type Run struct {
	Run     uint64
	Slot    uint64
	Request uint64
}

// Rollback rolls back the transaction that an ended session left open on a
// slot. Finished or RunFailed reports the result.
type Rollback struct {
	Run  uint64
	Slot uint64
}

// Answer ends a request and gives its result to the caller.
type Answer struct {
	Request uint64
	Ending  Ending
}

// RequestStatus requests a target's status. StatusReceived or StatusFailed
// reports the result, with the same Number. If Received or Applied is set, the
// request is a long poll: the target may delay its answer for up to Wait, until
// it has received or applied that position.
type RequestStatus struct {
	Target string
	Number uint64
	// Fresh requires a new connection for the request.
	Fresh    bool
	Received Position
	Applied  Position
	Wait     time.Duration
}

// Fence detaches a target from its primary and binds it to one promotion
// attempt of the given term.
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

// Follow makes a target replicate the log of the term's primary.
type Follow struct {
	Target  string
	Term    Term
	Primary string
}

// AcquireLease requests the group's promotion lease from the platform.
type AcquireLease struct{ Attempt string }

// ReleaseLease releases the group's promotion lease.
type ReleaseLease struct{ Attempt string }

// AskPeers asks VMs of the other zones whether they get answers from a
// target.
type AskPeers struct{ Target string }

// Note reports a state change for the operator.
type Note struct{ Event NoteEvent }

// Breach reports that an invariant did not hold.
type Breach struct{ Text string }

func (Dial) action()          {}
func (CloseSlot) action()     {}
func (Run) action()           {}
func (Rollback) action()      {}
func (Answer) action()        {}
func (RequestStatus) action() {}
func (Fence) action()         {}
func (Promote) action()       {}
func (Follow) action()        {}
func (AcquireLease) action()  {}
func (ReleaseLease) action()  {}
func (AskPeers) action()      {}
func (Note) action()          {}
func (Breach) action()        {}

// Ending is the result of a request: Done, Refused or Unknown.
type Ending interface{ ending() }

// Done reports that the request ran and that the reply of Run goes to the
// caller.
type Done struct {
	Run uint64
	// Position is the highest log position that the session has now seen.
	Position Position
	// Replica reports that a replica gave the reply.
	Replica bool
}

// Refused reports that the request did not run.
type Refused struct {
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Unknown reports that the request may or may not have run.
type Unknown struct{ Reason Reason }

func (Done) ending()    {}
func (Refused) ending() {}
func (Unknown) ending() {}

// Reason says why a request was refused or why its outcome is unknown.
// Callers see the text.
type Reason string

// Reasons in Refused and Unknown.
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

// NoteEvent is the state change that a Note reports.
type NoteEvent interface{ note() }

// TargetLost reports that a target did not answer a status request over a new
// connection.
type TargetLost struct{ Target string }

// TargetBack reports that a lost target has answered again.
type TargetBack struct{ Target string }

// TargetSetAside reports that a status was ignored because it contradicts an
// earlier status of the same target.
type TargetSetAside struct {
	Target string
	Status Status
}

// PromotionStarted reports that this VM has started an attempt to promote a
// target.
type PromotionStarted struct {
	Term   Term
	Reason string
}

// PromotionEnded reports the end of an attempt. Target is the new primary, or
// empty if the attempt failed.
type PromotionEnded struct {
	Term   Term
	Target string
	Reason string
}

// PrimaryChanged reports that the group has a new primary or that its primary
// has a new term.
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
