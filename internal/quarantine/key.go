package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Work describes what a client asks for. A client's next request for the same work has another request ID, and usually reaches
// another node, but describes the same Work.
type Work struct {
	Tenant       string // empty: the request needs no key
	Program      string // empty: it belongs to no program
	Method       string
	Host         string
	Target       string // path and query
	Prompt       string // the names and sizes of the prompt's parts; empty: unknown
	PreviousTurn string // turn whose conversation it continues; empty: none
	Body         []byte
}

// Key identifies work, by a hash of its description.
type Key uint64

// String returns the key as it is logged.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// Keys identify one request's work in several ways. They differ between tenants.
type Keys struct {
	// Content is the same for all clients that send the same content.
	Content Key
	// Turn is the same for the content within one program; zero: the request belongs to no program.
	Turn Key
	// Program is the same for all requests of a program; zero likewise.
	Program Key
}

// KeysOf returns the keys of work.
func KeysOf(work Work) Keys {
	body := xxhash.Sum64(work.Body)
	keys := Keys{Content: hash("content", body, work.Tenant, work.Method, work.Host, work.Target, work.Prompt, work.PreviousTurn)}
	if work.Program != "" {
		keys.Turn = hash("turn", uint64(keys.Content), work.Tenant, work.Program)
		keys.Program = hash("program", 0, work.Tenant, work.Program)
	}
	return keys
}

// keyKinds is the number of keys in Keys.
const keyKinds = 3

// list returns the keys in a fixed order; those that are not set are zero.
func (k Keys) list() [keyKinds]Key { return [keyKinds]Key{k.Content, k.Turn, k.Program} }

// hash returns the hash of texts, each with its length, and a number.
func hash(kind string, number uint64, texts ...string) Key {
	digest := xxhash.New()
	buffer := binary.LittleEndian.AppendUint64(nil, number)
	for _, text := range append([]string{kind}, texts...) {
		buffer = binary.LittleEndian.AppendUint64(buffer, uint64(len(text)))
		buffer = append(buffer, text...)
	}
	_, _ = digest.Write(buffer) // never fails
	return Key(digest.Sum64())
}
