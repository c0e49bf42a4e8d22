package peer

import (
	"encoding/binary"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// payloadElided is followed by the hash of a schema that the receiver has cached,
// and then by the encoded value alone. Only the HTTP transport uses it.
const payloadElided payloadKind = 3

// schemaHashSize is the length of a schema hash in bytes.
const schemaHashSize = 8

// maxKnownSchemas limits the number of schemas cached by this process.
const maxKnownSchemas = 4096

// schemaCache holds schemas by hash. Nodes of the same version register the same
// handlers in the same order, so they share their schemas from the start. Schemas
// of other versions are cached when the first message with its schema arrives.
type schemaCache struct {
	byHash sync.Map // uint64 → []byte
	count  atomic.Int64
}

var knownSchemas schemaCache

// add caches a schema, unless the cache is full, and returns its hash.
func (s *schemaCache) add(schema []byte) uint64 {
	hash := xxhash.Sum64(schema)
	if _, known := s.byHash.Load(hash); known || s.count.Load() >= maxKnownSchemas {
		return hash
	}
	if _, known := s.byHash.LoadOrStore(hash, append([]byte(nil), schema...)); !known {
		s.count.Add(1)
	}
	return hash
}

// find returns the schema with the given hash, or nil.
func (s *schemaCache) find(hash uint64) []byte {
	schema, ok := s.byHash.Load(hash)
	if !ok {
		return nil
	}
	return schema.([]byte)
}

// elideSchema replaces the schema in a payload by its hash. A payload without a
// schema is returned unchanged, with hash 0.
func elideSchema(payload []byte) (short []byte, hash uint64) {
	if len(payload) == 0 || payloadKind(payload[0]) != payloadSchema {
		return payload, 0
	}
	schema, value, err := splitSchema(payload)
	if err != nil {
		return payload, 0
	}
	hash = xxhash.Sum64(schema)
	short = make([]byte, 0, 1+schemaHashSize+len(value))
	short = append(short, byte(payloadElided))
	short = binary.BigEndian.AppendUint64(short, hash)
	return append(short, value...), hash
}

// restoreSchema is the reverse of elideSchema. known is false if the schema is not
// cached. The schema of a payload that includes one is added to the cache.
func restoreSchema(payload []byte) (whole []byte, hash uint64, known bool) {
	if len(payload) == 0 {
		return payload, 0, true
	}
	switch payloadKind(payload[0]) {
	case payloadSchema:
		schema, _, err := splitSchema(payload)
		if err != nil {
			return payload, 0, true // Decode reports the error
		}
		return payload, knownSchemas.add(schema), true
	case payloadElided:
		if len(payload) < 1+schemaHashSize {
			return nil, 0, false
		}
		hash = binary.BigEndian.Uint64(payload[1:])
		schema := knownSchemas.find(hash)
		if schema == nil {
			return nil, hash, false
		}
		return joinSchema(schema, payload[1+schemaHashSize:]), hash, true
	default:
		return payload, 0, true
	}
}

// formatHash formats a schema hash for a header.
func formatHash(hash uint64) string { return strconv.FormatUint(hash, 36) }

// WireSize is the size of an encoded message in bytes when both sides have cached
// its schema, without HTTP headers.
func WireSize(payload []byte) int {
	short, _ := elideSchema(payload)
	return len(short)
}
