package store

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ManifestKey is the key that holds the manifest in force.
const ManifestKey = "manifest"

// ErrRecord reports a stored manifest that cannot be read.
var ErrRecord = errors.New("stored manifest cannot be read")

// recentKept is how many earlier submissions a record remembers, so that a
// submitter whose answer was lost can see that it won.
const recentKept = 32

// Accepted is one submission and the version that it got.
type Accepted struct {
	Submission string `json:"submission"`
	Version    uint64 `json:"version"`
}

// Record is a manifest as the platform stores it. Versions only grow.
type Record struct {
	accepted Accepted
	recent   []Accepted
	text     []byte
}

// NewRecord returns the first record of a submission. The submission
// identifies one call of the operators' client.
func NewRecord(version uint64, submission string, text []byte) Record {
	return Record{accepted: Accepted{Submission: submission, Version: version}, text: text}
}

// Next returns the record that follows r.
func (r Record) Next(submission string, text []byte) Record {
	n := NewRecord(r.Version()+1, submission, text)
	if r.Version() > 0 {
		n.recent = append([]Accepted{r.accepted}, r.recent...)
	}
	if len(n.recent) > recentKept {
		n.recent = n.recent[:recentKept]
	}
	return n
}

// Version returns the record's version; zero if there is none.
func (r Record) Version() uint64 { return r.accepted.Version }

// Submission returns the identity of the submission that wrote the record.
func (r Record) Submission() string { return r.accepted.Submission }

// Text returns the manifest's text.
func (r Record) Text() []byte { return r.text }

// Find returns the version that a submission got, if the record remembers
// it.
func (r Record) Find(submission string) (uint64, bool) {
	for _, a := range append([]Accepted{r.accepted}, r.recent...) {
		if a.Submission == submission && a.Version > 0 {
			return a.Version, true
		}
	}
	return 0, false
}

type recordBody struct {
	Accepted
	Recent []Accepted `json:"recent"`
	Text   []byte     `json:"text"`
}

// Encode returns the form that DecodeRecord reads.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(recordBody{Accepted: r.accepted, Recent: r.recent, Text: r.text})
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return b, nil
}

// DecodeRecord reads a stored manifest. Its error wraps ErrRecord.
func DecodeRecord(b []byte) (Record, error) {
	body := recordBody{}
	if err := json.Unmarshal(b, &body); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", errors.Join(ErrRecord, err))
	}
	if body.Version == 0 {
		return Record{}, fmt.Errorf("record has no version: %w", ErrRecord)
	}
	return Record{accepted: body.Accepted, recent: body.Recent, text: body.Text}, nil
}
