// Package submission writes a manifest to the platform's key-value service by
// one compare-and-swap. If the answer of the service is lost, it reads the
// stored record back to find out whether the write took effect.
//
// # Usage
//
//	s := &submission.Submission{Store: store, ID: "build-4711", Text: text}
//	outcome, err := s.Run(ctx)
//	switch o := outcome.(type) {
//	case submission.Accepted:
//		fmt.Println("version", o.Version)
//	}
package submission

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"amaranthsill/store"
)

// Submission is one attempt to put a manifest in force. Set the exported fields
// before Run.
type Submission struct {
	// Store is the platform's key-value service.
	Store store.Store
	// ID is the ID of the submission. A submission is idempotent: if one
	// with the same ID has been accepted, Run returns its version and writes
	// nothing. If ID is empty, Run generates a random one.
	ID string
	// Text is the text of a validated manifest.
	Text []byte
	// RetryInterval is the time after a failed call to the store before the
	// next one; zero means 200 ms.
	RetryInterval time.Duration
	// KnownVersion is the highest version known to be in force on any VM. The
	// submission receives a higher version even if the store has lost that
	// one.
	KnownVersion uint64
}

// Outcome is the result of a submission: Accepted, Conflict or Unknown.
type Outcome interface{ outcome() }

// Accepted is the outcome of a submission that was written to the store.
type Accepted struct {
	// Version is the version that the submission received.
	Version uint64
	// Current is the latest version in the store; it is higher than Version
	// if other submissions have followed.
	Current uint64
}

// Conflict is the outcome of a submission whose compare-and-swap failed because
// another submission changed the stored manifest first.
type Conflict struct {
	// Version is the version that the other submission received.
	Version uint64
	// Winner is the ID of the other submission.
	Winner string
}

// Unknown is the outcome of a submission of which it is unknown whether it
// took effect, because the store could not be reached before the context ended.
type Unknown struct{ Cause error }

func (Accepted) outcome() {}
func (Conflict) outcome() {}
func (Unknown) outcome()  {}

// defaultRetryInterval is the RetryInterval of a Submission that sets none.
const defaultRetryInterval = 200 * time.Millisecond

// Run submits the manifest. While the store is unavailable, it retries until
// the context ends. It returns an error only if the stored record cannot be
// decoded, or the new one cannot be encoded; every other result is an Outcome.
func (s *Submission) Run(ctx context.Context) (Outcome, error) {
	if s.ID == "" {
		s.ID = rand.Text()
	}
	if s.RetryInterval == 0 {
		s.RetryInterval = defaultRetryInterval
	}
	base, err := s.readRecord(ctx)
	if err != nil {
		return s.readFailure(err)
	}
	if v, ok := base.record.Find(s.ID); ok {
		return Accepted{Version: v, Current: base.record.Version()}, nil
	}
	return s.swap(ctx, base)
}

// storedRecord is a record and the store revision at which it was read. The
// zero value stands for an absent record; a Swap with its revision, zero,
// expects an absent key.
type storedRecord struct {
	record   store.Record
	revision uint64
}

// readRecord reads the stored record; it returns the zero storedRecord and no
// error if the store holds none. While the store is unavailable, it retries
// until the context ends.
func (s *Submission) readRecord(ctx context.Context) (storedRecord, error) {
	for {
		e, err := s.Store.Get(ctx, store.ManifestKey)
		switch {
		case err == nil:
			r, err := store.DecodeRecord(e.Value())
			if err != nil {
				return storedRecord{}, fmt.Errorf("read stored manifest: %w", err)
			}
			return storedRecord{record: r, revision: e.Revision()}, nil
		case errors.Is(err, store.ErrAbsent):
			return storedRecord{}, nil
		case ctx.Err() != nil:
			return storedRecord{}, fmt.Errorf("read stored manifest: %w", err)
		}
		s.waitRetry(ctx)
	}
}

// readFailure turns an error of readRecord into the result of Run.
func (s *Submission) readFailure(err error) (Outcome, error) {
	if errors.Is(err, store.ErrMalformedRecord) {
		return nil, err
	}
	return Unknown{Cause: err}, nil
}

// swap writes the record that follows base. If the write fails, for whatever
// reason, it reads the stored record: the submission was accepted if the record
// lists it, has lost if the revision has changed, and is retried otherwise.
func (s *Submission) swap(ctx context.Context, base storedRecord) (Outcome, error) {
	next := base.record.Next(s.ID, s.Text)
	if next.Version() <= s.KnownVersion {
		next = store.NewRecord(s.KnownVersion+1, s.ID, s.Text)
	}
	value, err := next.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode submission: %w", err)
	}
	for {
		_, err := s.Store.Swap(ctx, store.ManifestKey, base.revision, value)
		if err == nil {
			return Accepted{Version: next.Version(), Current: next.Version()}, nil
		}
		latest, readErr := s.readRecord(ctx)
		if readErr != nil {
			return s.readFailure(errors.Join(err, readErr))
		}
		if v, ok := latest.record.Find(s.ID); ok {
			return Accepted{Version: v, Current: latest.record.Version()}, nil
		}
		if latest.revision != base.revision {
			return Conflict{Version: latest.record.Version(), Winner: latest.record.Submission()}, nil
		}
		s.waitRetry(ctx)
	}
}

// waitRetry waits for RetryInterval or until the context ends.
func (s *Submission) waitRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(s.RetryInterval):
	}
}
