// Package session tracks what a caller's session must keep seeing. A Token
// holds, for each database group, the highest log position that the session
// has written or read; a State holds the session's variables and prepared
// statements.
//
// The token travels with the caller as text, so that a session can move from
// one VM to another and still read its own writes.
//
// # Usage
//
//	token, err := session.Parse("choir:3.17;dues:2.9")
//	token = token.Advance("choir", group.At(3, 18))
//	fmt.Println(token) // choir:3.18;dues:2.9
package session

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"amaranthsill/group"
)

// MaxGroups is the maximum number of groups in one token.
const MaxGroups = 64

// MaxBytes is the maximum length of a token's text in bytes.
const MaxBytes = 8 << 10

// ErrToken reports a text that is not a valid session token.
var ErrToken = errors.New("malformed session token")

// Token holds a session's minimum log position in each group, its floor. The
// zero Token has no groups. Tokens are immutable: Advance and Merge return new
// ones.
type Token struct {
	floors []floor
}

type floor struct {
	group    string
	position group.Position
}

// Floor returns the session's minimum position in a group, and whether the
// token has the group at all.
func (t Token) Floor(name string) (group.Position, bool) {
	for _, f := range t.floors {
		if f.group == name {
			return f.position, true
		}
	}
	return group.Position{}, false
}

// Advance returns a token whose floor in the group is at least p.
func (t Token) Advance(name string, p group.Position) Token {
	floors := slices.Clone(t.floors)
	for i, f := range floors {
		if f.group == name {
			floors[i].position = group.Max(f.position, p)
			return Token{floors: floors}
		}
	}
	return Token{floors: append(floors, floor{group: name, position: p})}
}

// Merge returns a token whose floor in every group is the higher of the two
// tokens' floors.
func (t Token) Merge(other Token) Token {
	for _, f := range other.floors {
		t = t.Advance(f.group, f.position)
	}
	return t
}

// String returns the token's text, which Parse reads.
func (t Token) String() string {
	parts := make([]string, 0, len(t.floors))
	for _, f := range t.floors {
		parts = append(parts, f.group+":"+f.position.String())
	}
	return strings.Join(parts, ";")
}

// Parse reads a token's text; the empty text gives the zero Token. Its error
// wraps ErrToken.
func Parse(text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if len(text) > MaxBytes {
		return Token{}, fmt.Errorf("token of %d bytes, most is %d: %w", len(text), MaxBytes, ErrToken)
	}
	t := Token{}
	for part := range strings.SplitSeq(text, ";") {
		name, at, ok := strings.Cut(part, ":")
		if !ok || name == "" {
			return Token{}, fmt.Errorf("part %q, want group:position: %w", part, ErrToken)
		}
		p, err := group.ParsePosition(at)
		if err != nil {
			return Token{}, fmt.Errorf("part %q: %w", part, errors.Join(ErrToken, err))
		}
		t = t.Advance(name, p)
		if len(t.floors) > MaxGroups {
			return Token{}, fmt.Errorf("more than %d groups: %w", MaxGroups, ErrToken)
		}
	}
	return t, nil
}
