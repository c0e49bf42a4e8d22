package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// Defaults of Options; sizes are in bytes.
const (
	DefaultMaxRequest        = 32 << 20
	DefaultMaxResponse       = 32 << 20
	DefaultMaxItem           = 4 << 20
	DefaultMaxCalls          = 4096
	DefaultMaxStreams        = 16384
	DefaultMaxCallDuration   = 30 * time.Second
	DefaultMaxStreamDuration = time.Hour
	DefaultDialTimeout       = time.Second
	DefaultIdleTimeout       = 30 * time.Second
)

// Options configures both sides of the HTTP transport. Zero fields take the
// defaults above. All nodes of a cluster should use the same limits.
type Options struct {
	Keys *Keys // shared keys; required unless TLS is set
	TLS  *TLS  // mutual TLS; nil: unencrypted HTTP/2

	MaxRequest  int // size of an encoded request in bytes
	MaxResponse int // size of an encoded response in bytes
	MaxItem     int // size of an encoded stream item in bytes
	MaxCalls    int // concurrent calls, per side
	MaxStreams  int // concurrent streams, per side

	MaxCallDuration   time.Duration // server-side limit on the duration of a call
	MaxStreamDuration time.Duration // server-side limit on the duration of a stream
	DialTimeout       time.Duration // for opening a connection
	IdleTimeout       time.Duration // how long until an unused connection is closed
	UnresponsiveAfter time.Duration // how long calls wait without received data before their connections are checked; 0: DialTimeout

	Versions Versions // supported protocol versions; zero: SupportedVersions

	Guard deadconn.Guard // detects unresponsive connections

	Log        log.Interface         // nil discards
	Registerer prometheus.Registerer // nil registers nothing
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxRequest, DefaultMaxRequest)
	setDefault(&o.MaxResponse, DefaultMaxResponse)
	setDefault(&o.MaxItem, DefaultMaxItem)
	setDefault(&o.MaxCalls, DefaultMaxCalls)
	setDefault(&o.MaxStreams, DefaultMaxStreams)
	setDefault(&o.MaxCallDuration, DefaultMaxCallDuration)
	setDefault(&o.MaxStreamDuration, DefaultMaxStreamDuration)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.UnresponsiveAfter, o.DialTimeout)
	if o.Log == nil {
		o.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	if o.Versions == (Versions{}) {
		o.Versions = SupportedVersions
	}
	if o.Keys == nil {
		o.Keys = NewKeys()
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Keys is a set of shared keys with which nodes authenticate. It may be replaced
// while calls run. To rotate a key without downtime, append the new key on all
// nodes, then move it to the front, then remove the old one.
type Keys struct {
	current atomic.Pointer[keySet]
}

type keySet struct {
	own     string
	digests [][sha256.Size]byte
}

// NewKeys returns a set that sends the first key and accepts all of them. Empty
// keys are ignored.
func NewKeys(keys ...string) *Keys {
	k := &Keys{}
	k.Set(keys...)
	return k
}

// Set replaces the keys. The first one is sent, all of them are accepted. An empty
// set sends no key and accepts only peers with a certificate verified by TLS.
func (k *Keys) Set(keys ...string) {
	set := &keySet{}
	for _, key := range keys {
		if key == "" {
			continue
		}
		if set.own == "" {
			set.own = key
		}
		set.digests = append(set.digests, sha256.Sum256([]byte(key)))
	}
	k.current.Store(set)
}

// own returns the key that this node sends, or "" if there is none.
func (k *Keys) own() string { return k.current.Load().own }

// empty reports whether the set holds no key.
func (k *Keys) empty() bool { return len(k.current.Load().digests) == 0 }

// accepts reports whether key is in the set. It compares in constant time.
func (k *Keys) accepts(key string) bool {
	digest := sha256.Sum256([]byte(key))
	matches := 0
	for _, accepted := range k.current.Load().digests {
		matches |= subtle.ConstantTimeCompare(digest[:], accepted[:])
	}
	return matches == 1
}
