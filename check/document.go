// Package check examines a configuration before it is sent: entries that can never
// match, limits that contradict each other, and what differs from the version in force.
// It knows no file format; the readers of the formats build a Document.
//
// # Usage
//
//	findings := check.Examine(document, check.Fleet{VMs: 86})
//	changes := check.Compare(inForce, document)
//	report := check.Report{File: "next.json", Findings: findings, Changes: changes}
//	report.WriteText(os.Stdout)
package check

import (
	"fmt"
	"time"

	"amaranthsill/customer"
)

// Place is where an entry begins in its file; line and column count from 1. The zero
// Place is unknown.
type Place struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// String returns "line:column", or "-" for an unknown place.
func (p Place) String() string {
	if p.Line == 0 {
		return "-"
	}
	return fmt.Sprintf("%d:%d", p.Line, p.Column)
}

// Document is a configuration as it was written, with entries that are in conflict.
type Document struct {
	// Version is zero if the format has no version of its own.
	Version   uint64
	Groups    []Group
	Routes    []Route
	Customers []Customer
	// TransactionIdleTimeout is zero if it is not set.
	TransactionIdleTimeout time.Duration
}

// Group is a database group.
type Group struct {
	Place Place
	Name  string
	// Connections is the connection limit of each target.
	Connections int
}

// Route is what callers of one database get. A kind of a manifest has no database and
// no group.
type Route struct {
	Place    Place
	Name     string
	Database string
	Group    string
	// Consistency is the guarantee for reads, in the words of the format.
	Consistency      string
	MaxStaleness     time.Duration
	Timeout          time.Duration
	LatencyObjective time.Duration
	Priority         int
	Public           bool
}

// Customer is a customer with the digests of its keys.
type Customer struct {
	Place       Place
	Name        string
	Keys        []customer.Digest
	Priority    int
	Rate, Burst float64
}
