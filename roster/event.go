package roster

import "time"

// Event is an input of the Machine: something that happened outside it.
type Event interface{ event() }

// Ticked reports only that time has passed.
type Ticked struct{}

// Received reports an exchange that another VM started. The Machine answers
// it with a Reply.
type Received struct{ Knowledge Knowledge }

// Answered is another VM's reply to a Send.
type Answered struct {
	From      string
	Knowledge Knowledge
}

// Failed reports that a Send or a Fetch to the named VM got no reply.
type Failed struct{ To string }

// Listed is the platform's list of machines, which may be out of date.
type Listed struct{ Members []Member }

// VersionHeld reports the version of a document that this VM now holds.
type VersionHeld struct {
	Document string
	Version  uint64
	// Confirmed reports that the platform has just confirmed this version as
	// its latest.
	Confirmed bool
}

// Left reports that this VM has decided to leave.
type Left struct{}

func (Ticked) event()      {}
func (Received) event()    {}
func (Answered) event()    {}
func (Failed) event()      {}
func (Listed) event()      {}
func (VersionHeld) event() {}
func (Left) event()        {}

// Action is an output of the Machine: something for its driver to carry out.
type Action interface{ action() }

// Send sends knowledge to another VM. Answered or Failed reports the result.
type Send struct {
	To        Member
	Knowledge Knowledge
}

// Reply answers the exchange that Received reported.
type Reply struct{ Knowledge Knowledge }

// Fetch requests a document from another VM. VersionHeld or Failed reports
// the result.
type Fetch struct {
	From     Member
	Document string
}

// Changed reports a member that is new or whose record has changed.
type Changed struct{ Member Member }

func (Send) action()    {}
func (Reply) action()   {}
func (Fetch) action()   {}
func (Changed) action() {}

// Knowledge is the message that two VMs exchange: document versions and
// member records.
type Knowledge struct {
	From string
	// Documents are the versions that the sender holds.
	Documents []Document
	// Roster is a hash over all member records of the sender.
	Roster uint64
	// Members are the member records that the sender passes on.
	Members []Member
	// Whole reports that Members holds all member records of the sender.
	Whole bool
}

// Document is the version of a document that a VM holds.
type Document struct {
	Name    string
	Version uint64
	// Age is the time since the platform was known to hold the version as its
	// latest. It is negative if that was never known.
	Age time.Duration
}
