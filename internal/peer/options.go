package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/silence"
)

// Defaults of Options.
const (
	DefaultMaxRequest  = 32 << 20
	DefaultMaxResponse = 32 << 20
	DefaultMaxItem     = 4 << 20
	DefaultMaxCalls    = 4096
	DefaultMaxStreams  = 16384
	DefaultMaxDeadline = 30 * time.Second
	DefaultMaxStream   = time.Hour
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = 30 * time.Second
)

// Options configures both sides of the HTTP transport. Zero fields take the
// defaults above. All nodes of a cluster should use the same limits.
type Options struct {
	Keys *Keys // shared keys; required unless TLS is given
	TLS  *TLS  // mutual TLS; nil means HTTP/2 without encryption

	MaxRequest  int // bytes of one encoded request
	MaxResponse int // bytes of one encoded response
	MaxItem     int // bytes of one encoded stream item
	MaxCalls    int // calls in progress, for each side
	MaxStreams  int // streams in progress, for each side

	MaxDeadline time.Duration // longest time that a server works on a call
	MaxStream   time.Duration // longest time that a server works on a stream
	DialTimeout time.Duration // for opening one connection
	IdleTimeout time.Duration // after which an unused connection is closed
	QuietTime   time.Duration // without a byte while calls wait, before connections are doubted; 0: DialTimeout

	Versions Versions // that this side speaks; zero: Spoken

	Guard silence.Guard // finds connections that have fallen silent

	Log        log.Interface         // nil discards
	Registerer prometheus.Registerer // nil registers nothing
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxRequest, DefaultMaxRequest)
	setDefault(&o.MaxResponse, DefaultMaxResponse)
	setDefault(&o.MaxItem, DefaultMaxItem)
	setDefault(&o.MaxCalls, DefaultMaxCalls)
	setDefault(&o.MaxStreams, DefaultMaxStreams)
	setDefault(&o.MaxDeadline, DefaultMaxDeadline)
	setDefault(&o.MaxStream, DefaultMaxStream)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.QuietTime, o.DialTimeout)
	if o.Log == nil {
		o.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	if o.Versions == (Versions{}) {
		o.Versions = Spoken
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

// Keys is the set of shared keys that nodes prove themselves with. It may be
// replaced while calls run, so keys rotate without a stop: first add the new
// key behind the old one on all nodes, then put it in front, then drop the old.
type Keys struct {
	current atomic.Pointer[keySet]
}

type keySet struct {
	own     string
	digests [][sha256.Size]byte
}

// NewKeys returns a set that sends the first key and accepts all of them.
func NewKeys(keys ...string) *Keys {
	k := &Keys{}
	k.Set(keys...)
	return k
}

// Set replaces the keys; the first one is sent, all of them are accepted. An
// empty set sends no key and accepts only peers that TLS has verified.
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

// own returns the key that this node sends.
func (k *Keys) own() string { return k.current.Load().own }

// empty reports whether there is no key at all.
func (k *Keys) empty() bool { return len(k.current.Load().digests) == 0 }

// accepts compares in constant time whether key is one of the set.
func (k *Keys) accepts(key string) bool {
	digest := sha256.Sum256([]byte(key))
	matches := 0
	for _, accepted := range k.current.Load().digests {
		matches |= subtle.ConstantTimeCompare(digest[:], accepted[:])
	}
	return matches == 1
}
