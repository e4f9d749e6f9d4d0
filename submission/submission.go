// Package submission puts a manifest into the platform's key-value service
// by one compare-and-swap, and settles answers that were lost.
//
// # Usage
//
//	s := &submission.Submission{Store: store, Identity: "build-4711", Text: text}
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

// Submission is one try to put a manifest in force. Set the exported fields
// before Run.
type Submission struct {
	// Store is the platform's key-value service.
	Store store.Store
	// Identity identifies the submission; repeating it does no harm. Empty
	// means a fresh one.
	Identity string
	// Text is the checked manifest.
	Text []byte
	// Pause is the time between tries; zero means 200 ms.
	Pause time.Duration
	// Floor is the highest version known to be in force; a store that lost
	// it gets a higher one.
	Floor uint64
}

// Outcome is how a submission ended.
type Outcome interface{ outcome() }

// Accepted is a submission that won its version.
type Accepted struct {
	Version uint64
	// Current is the version in the store now; it is higher than Version if
	// another submission has followed.
	Current uint64
}

// Lost is a submission that another one beat.
type Lost struct {
	// Version and Winner are what won.
	Version uint64
	Winner  string
}

// Unsettled is a submission whose outcome could not be found out in time.
type Unsettled struct{ Cause error }

func (Accepted) outcome()  {}
func (Lost) outcome()      {}
func (Unsettled) outcome() {}

const defaultPause = 200 * time.Millisecond

// Run submits once. It returns an error only if the store holds something
// that cannot be read; everything else is an Outcome.
func (s *Submission) Run(ctx context.Context) (Outcome, error) {
	if s.Identity == "" {
		s.Identity = rand.Text()
	}
	if s.Pause == 0 {
		s.Pause = defaultPause
	}
	base, err := s.read(ctx)
	if err != nil {
		return s.unread(err)
	}
	if v, ok := base.record.Find(s.Identity); ok {
		return Accepted{Version: v, Current: base.record.Version()}, nil
	}
	return s.swap(ctx, base)
}

// stored is a record and the revision that holds it.
type stored struct {
	record   store.Record
	revision uint64
}

// read reads the record in the store until it answers.
func (s *Submission) read(ctx context.Context) (stored, error) {
	for {
		e, err := s.Store.Get(ctx, store.ManifestKey)
		switch {
		case err == nil:
			r, err := store.DecodeRecord(e.Value())
			if err != nil {
				return stored{}, fmt.Errorf("read stored manifest: %w", err)
			}
			return stored{record: r, revision: e.Revision()}, nil
		case errors.Is(err, store.ErrAbsent):
			return stored{}, nil
		case ctx.Err() != nil:
			return stored{}, fmt.Errorf("read stored manifest: %w", err)
		}
		s.wait(ctx)
	}
}

func (s *Submission) unread(err error) (Outcome, error) {
	if errors.Is(err, store.ErrRecord) {
		return nil, err
	}
	return Unsettled{Cause: err}, nil
}

// swap writes the record that follows base. If the answer is lost, it reads
// back what became of it.
func (s *Submission) swap(ctx context.Context, base stored) (Outcome, error) {
	next := base.record.Next(s.Identity, s.Text)
	if next.Version() <= s.Floor {
		next = store.NewRecord(s.Floor+1, s.Identity, s.Text)
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
		now, readErr := s.read(ctx)
		if readErr != nil {
			return s.unread(errors.Join(err, readErr))
		}
		if v, ok := now.record.Find(s.Identity); ok {
			return Accepted{Version: v, Current: now.record.Version()}, nil
		}
		if now.revision != base.revision {
			return Lost{Version: now.record.Version(), Winner: now.record.Submission()}, nil
		}
		s.wait(ctx)
	}
}

func (s *Submission) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(s.Pause):
	}
}
