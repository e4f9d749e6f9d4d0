package roster

import "time"

// Event is something that happened outside the Machine.
type Event interface{ event() }

// Ticked is the passing of time.
type Ticked struct{}

// Received is knowledge that another VM sent; a Reply is due.
type Received struct{ Knowledge Knowledge }

// Answered is another VM's reply to a Send.
type Answered struct {
	From      string
	Knowledge Knowledge
}

// Failed is a Send or a Fetch that got no reply.
type Failed struct{ To string }

// Listed is the platform's list of machines, which lags.
type Listed struct{ Members []Member }

// Held is a document's version that this VM now holds.
type Held struct {
	Document string
	Version  uint64
	// Confirmed reports that the platform itself holds it as the latest.
	Confirmed bool
}

// Left is this VM's decision to leave.
type Left struct{}

func (Ticked) event()   {}
func (Received) event() {}
func (Answered) event() {}
func (Failed) event()   {}
func (Listed) event()   {}
func (Held) event()     {}
func (Left) event()     {}

// Action is something that the Machine wants done.
type Action interface{ action() }

// Send hands knowledge to another VM and waits for its reply.
type Send struct {
	To        Member
	Knowledge Knowledge
}

// Reply answers the knowledge just received.
type Reply struct{ Knowledge Knowledge }

// Fetch asks another VM for a document.
type Fetch struct {
	From     Member
	Document string
}

// Changed reports a member that is new or different.
type Changed struct{ Member Member }

func (Send) action()    {}
func (Reply) action()   {}
func (Fetch) action()   {}
func (Changed) action() {}

// Knowledge is what one VM tells another.
type Knowledge struct {
	From      string
	Documents []Document
	// Roster is a hash of all the sender's member records.
	Roster  uint64
	Members []Member
	// Whole reports that Members is the sender's whole roster.
	Whole bool
}

// Document is a version that a VM holds.
type Document struct {
	Name    string
	Version uint64
	// Age is how long ago the platform was known to hold the version as the
	// latest; negative if that was never known.
	Age time.Duration
}
