package edge

import (
	"net"

	"amaranthsill/catalog"
	"amaranthsill/front"
	"amaranthsill/pool"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// Adapter connects a VM to one platform: its store, its promotion service, its
// targets and the protocol of its callers.
type Adapter struct {
	// Store is the platform's store.
	Store store.TransactionalStore
	// UnreadableItems returns how many items of the store's answers could not be read;
	// nil if that is not counted.
	UnreadableItems func() int
	// Promoter promotes targets through the platform.
	Promoter succession.Promoter
	// Dialer opens links to targets.
	Dialer pool.Dialer
	// Repeats counts the answers that targets sent twice over the Dialer's links; nil if
	// that is not counted.
	Repeats *pool.Repeats
	// NewCallerConn returns the protocol codec for a caller's connection.
	NewCallerConn func(net.Conn) front.CallerConn
	// TargetPrefix is the prefix of the targets' keys in the store.
	TargetPrefix string
	// ParseTargetKey returns the ID of the target that a key names; false if
	// the key names no target.
	ParseTargetKey func(key string) (string, bool)
	// DecodeTarget decodes a target's entry in the store.
	DecodeTarget func(store.Item) (pool.Target, error)
	// ConfigurationKey is the key of the operators' configuration.
	ConfigurationKey string
	// DecodeConfiguration decodes the operators' configuration.
	DecodeConfiguration func([]byte) (*catalog.Configuration, error)
	// WithoutKeys returns the encoding of a configuration without the customers' keys,
	// which VMs must not pass to one another. DecodeConfiguration decodes it as well.
	WithoutKeys func([]byte) []byte
}
