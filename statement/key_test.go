package statement_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"amaranthsill/statement"
)

// Guards against a prepared statement that runs another query than its caller prepared: two
// statements had one name on connections to targets if the bytes of query and types were
// the same together.
func TestStatementKeysDiffer(t *testing.T) {
	one, two := statement.Prepared{Query: "select ", Types: []uint32{0x61626364}}, statement.Prepared{Query: "select abcd"}
	if one.Key() == two.Key() {
		t.Fatalf("%+v and %+v share the key %q", one, two, one.Key())
	}
	prepared := rapid.Custom(func(t *rapid.T) statement.Prepared {
		return statement.Prepared{
			Query: rapid.StringOfN(rapid.RuneFrom([]rune("12:a\x00")), 0, 6, -1).Draw(t, "query"),
			Types: rapid.SliceOfN(rapid.SampledFrom([]uint32{0, 0x61616161, 0x3a310061}), 0, 2).Draw(t, "types"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := prepared.Draw(t, "one"), prepared.Draw(t, "other")
		equal := a.Query == b.Query && slices.Equal(a.Types, b.Types)
		if equal != (a.Key() == b.Key()) {
			t.Fatalf("%+v and %+v have the keys %q and %q", a, b, a.Key(), b.Key())
		}
	})
}
