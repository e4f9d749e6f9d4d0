// Package session holds what a caller's session must keep seeing: for each
// database group the highest log position that the session wrote or read.
//
// The floor travels with the caller as a token, so that a session may move
// from one VM to another.
//
// # Usage
//
//	token, err := session.Parse("choir:3.17;dues:2.9")
//	token = token.Raise("choir", group.At(3, 18))
//	fmt.Println(token) // choir:3.18;dues:2.9
package session

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"amaranthsill/group"
)

// MaxGroups bounds the groups that one token names.
const MaxGroups = 64

// MaxBytes bounds a token's text.
const MaxBytes = 8 << 10

// ErrToken reports a text that is not a session's token.
var ErrToken = errors.New("malformed session token")

// Token is a session's floor in each group. The zero Token knows no group.
// Tokens are values: Raise returns a new one.
type Token struct {
	floors []floor
}

type floor struct {
	group    string
	position group.Position
}

// Floor returns the session's position in a group, and whether the token
// names the group at all.
func (t Token) Floor(name string) (group.Position, bool) {
	for _, f := range t.floors {
		if f.group == name {
			return f.position, true
		}
	}
	return group.Position{}, false
}

// Raise returns a token whose floor in the group is at least position.
func (t Token) Raise(name string, p group.Position) Token {
	floors := slices.Clone(t.floors)
	for i, f := range floors {
		if f.group == name {
			floors[i].position = group.Max(f.position, p)
			return Token{floors: floors}
		}
	}
	return Token{floors: append(floors, floor{group: name, position: p})}
}

// Join returns a token that is at least as high as both in every group.
func (t Token) Join(u Token) Token {
	for _, f := range u.floors {
		t = t.Raise(f.group, f.position)
	}
	return t
}

// String returns the form that Parse reads.
func (t Token) String() string {
	parts := make([]string, 0, len(t.floors))
	for _, f := range t.floors {
		parts = append(parts, f.group+":"+f.position.String())
	}
	return strings.Join(parts, ";")
}

// Parse reads a token's text; the empty text is the zero Token. Its error
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
		t = t.Raise(name, p)
		if len(t.floors) > MaxGroups {
			return Token{}, fmt.Errorf("more than %d groups: %w", MaxGroups, ErrToken)
		}
	}
	return t, nil
}
