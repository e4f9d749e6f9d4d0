package peer

import (
	"errors"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthsill/peer/peerpb"
	"amaranthsill/roster"
)

// FuzzDecodeKnowledge checks that no message from another VM makes DecodeKnowledge
// panic, and that roster.Machine accepts every message that passes its checks.
func FuzzDecodeKnowledge(f *testing.F) {
	k := roster.Knowledge{
		From:      "vm-1",
		Documents: []roster.Document{{Name: "manifest", Version: 3, Age: -1}},
		Members:   []roster.Member{roster.NewMember("vm-2", "coban", "10.0.0.1:1", 7, roster.StateLeaving)},
	}
	seed, err := proto.Marshal(EncodeKnowledge(k))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte("garbage"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		m := &peerpb.Knowledge{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		k, err := DecodeKnowledge(m)
		if err != nil {
			return
		}
		machine := &roster.Machine{Self: roster.NewMember("vm-0", "z", "a:1", 1, roster.StateAlive), Limits: roster.DefaultLimits()}
		machine.Step(0, roster.Received{Knowledge: k})
	})
}

// TestAgeThatOverflows guards against a document that passes for one that was confirmed just
// now, since its age in milliseconds overflows the duration.
func TestAgeThatOverflows(t *testing.T) {
	for name, age := range map[string]int64{
		"beyond the limit":         maxAge.Milliseconds() + 1,
		"wraps to 448 us":          18446744073710,
		"wraps to a negative time": math.MaxInt64/int64(time.Millisecond) + 1,
		"largest":                  math.MaxInt64,
	} {
		t.Run(name, func(t *testing.T) {
			k := &peerpb.Knowledge{From: "vm-1", Documents: []*peerpb.Document{{Name: "manifest", Version: 3, Age: age}}}
			if got, err := DecodeKnowledge(k); !errors.Is(err, ErrInvalidMessage) {
				t.Errorf("decoded as %+v, error %v", got.Documents, err)
			}
		})
	}
}
