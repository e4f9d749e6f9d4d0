package edge

import (
	"net"

	"amaranthsill/catalog"
	"amaranthsill/front"
	"amaranthsill/pool"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// Adapter is how a VM speaks with one platform.
type Adapter struct {
	Ledger   store.Ledger
	Promoter succession.Promoter
	Dialer   pool.Dialer
	// Wire makes a session's wire from a caller's connection.
	Wire func(net.Conn) front.Wire
	// TargetPrefix is the prefix of the targets' keys in the store.
	TargetPrefix string
	// TargetID reports whether a key names a target.
	TargetID func(key string) (string, bool)
	// Target reads a target's entry in the store.
	Target func(store.Item) (pool.Target, error)
	// ConfigurationKey is the key of the operators' configuration.
	ConfigurationKey string
	// Configuration reads it.
	Configuration func([]byte) (*catalog.Configuration, error)
}
