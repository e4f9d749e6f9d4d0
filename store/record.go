package store

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ManifestKey is the key under which the manifest in force is stored.
const ManifestKey = "manifest"

// ErrMalformedRecord reports a stored manifest that cannot be decoded.
var ErrMalformedRecord = errors.New("stored manifest cannot be read")

// maxRecent is the number of earlier submissions that a record lists. The list
// lets a submitter whose answer was lost find out that its submission was
// accepted even after other submissions have followed.
const maxRecent = 32

// Accepted is the ID of a submission and the version that it received.
type Accepted struct {
	Submission string `json:"submission"`
	Version    uint64 `json:"version"`
}

// Record is a manifest as it is stored in the platform's key-value service,
// with its version and the latest submissions. The version increases with each
// record.
type Record struct {
	// accepted is the submission that wrote this record. Its version is the
	// version of the record.
	accepted Accepted
	// recent lists the submissions before it, latest first, at most maxRecent.
	recent []Accepted
	text   []byte
}

// NewRecord returns a record without earlier submissions. The submission is the
// ID of one call of the operators' client.
func NewRecord(version uint64, submission string, text []byte) Record {
	return Record{accepted: Accepted{Submission: submission, Version: version}, text: text}
}

// Next returns the record that follows r: its version is one higher, and r's
// submission heads the list of earlier ones.
func (r Record) Next(submission string, text []byte) Record {
	next := NewRecord(r.Version()+1, submission, text)
	if r.Version() > 0 {
		next.recent = append([]Accepted{r.accepted}, r.recent...)
	}
	if len(next.recent) > maxRecent {
		next.recent = next.recent[:maxRecent]
	}
	return next
}

// Version returns the version of the record; it is zero if nothing has been
// submitted.
func (r Record) Version() uint64 { return r.accepted.Version }

// Submission returns the ID of the submission that wrote the record.
func (r Record) Submission() string { return r.accepted.Submission }

// Text returns the text of the manifest.
func (r Record) Text() []byte { return r.text }

// Find returns the version that a submission received. The second result is
// false if the record does not list the submission.
func (r Record) Find(submission string) (uint64, bool) {
	for _, a := range append([]Accepted{r.accepted}, r.recent...) {
		if a.Submission == submission && a.Version > 0 {
			return a.Version, true
		}
	}
	return 0, false
}

// recordBody is the JSON encoding of a Record.
type recordBody struct {
	Accepted
	Recent []Accepted `json:"recent"`
	Text   []byte     `json:"text"`
}

// Encode returns the JSON encoding that DecodeRecord reads.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(recordBody{Accepted: r.accepted, Recent: r.recent, Text: r.text})
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return b, nil
}

// DecodeRecord decodes a stored manifest. Its error wraps ErrMalformedRecord.
func DecodeRecord(b []byte) (Record, error) {
	body := recordBody{}
	if err := json.Unmarshal(b, &body); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", errors.Join(ErrMalformedRecord, err))
	}
	// Version is a field of the embedded Accepted, which is copied as a whole.
	if body.Version == 0 {
		return Record{}, fmt.Errorf("record has no version: %w", ErrMalformedRecord)
	}
	return Record{accepted: body.Accepted, recent: body.Recent, text: body.Text}, nil
}
