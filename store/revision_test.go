package store_test

import (
	"testing"

	"pgregory.net/rapid"

	"amaranthsill/store"
)

// TestRevisionsOrderByEraFirst guards against a revision of a store that came back
// from a copy that passes for an older one because its number is lower.
func TestRevisionsOrderByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, 1<<20-2).Draw(t, "era")
		number := rapid.Uint64Range(0, 1<<44-1).Draw(t, "number")
		later := rapid.Uint64Range(0, 1<<44-1).Draw(t, "later")
		r := store.At(era, number)
		if r.Era() != era || r.Number() != number {
			t.Fatalf("%d/%d reads back as %d/%d", era, number, r.Era(), r.Number())
		}
		if store.At(era+1, later) <= r {
			t.Fatalf("%s of the next era is not above %s", store.At(era+1, later), r)
		}
	})
}

func TestRevisionText(t *testing.T) {
	cases := map[string]struct {
		revision store.Revision
		want     string
	}{
		"a store without eras": {store.At(0, 53), "53"},
		"the second era":       {store.At(2, 53), "2/53"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.revision.String(); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}
