package store

import (
	"encoding/binary"
	"errors"
	"time"
)

// The table does not expire rows. Cloverwheel's own rows begin with the time after which
// they may be removed, so that the sweep need not decode their payloads.

// expiryBytes is the length of the expiry time in front of the payload: Unix time in
// milliseconds, big-endian.
const expiryBytes = 8

// ErrNoExpiry means that a value is too short to hold an expiry time.
var ErrNoExpiry = errors.New("the row's value is too short to hold an expiry time; remove the row")

// WithExpiry returns the payload prefixed with the row's expiry time.
func WithExpiry(expires time.Time, payload []byte) []byte {
	value := make([]byte, 0, expiryBytes+len(payload))
	value = binary.BigEndian.AppendUint64(value, uint64(expires.UnixMilli()))
	return append(value, payload...)
}

// SplitExpiry splits a value into its expiry time and its payload. It fails with ErrNoExpiry if
// the value is too short.
func SplitExpiry(value []byte) (expires time.Time, payload []byte, err error) {
	if len(value) < expiryBytes {
		return time.Time{}, nil, ErrNoExpiry
	}
	milliseconds := binary.BigEndian.Uint64(value)
	return time.UnixMilli(int64(milliseconds)), value[expiryBytes:], nil
}
