package store

import (
	"encoding/binary"
	"errors"
	"time"
)

// Nothing in the table expires by itself. Rows of cloverwheel's own begin with
// the time after which they may be removed, so that a sweep need not know what
// they hold.

// expiryBytes is the length of the time before a row's payload.
const expiryBytes = 8

// ErrNoExpiry is a value without a time before it.
var ErrNoExpiry = errors.New("the row's value does not begin with the end of its life; remove the row")

// WithExpiry puts the end of a row's life before its payload.
func WithExpiry(expires time.Time, payload []byte) []byte {
	value := make([]byte, 0, expiryBytes+len(payload))
	value = binary.BigEndian.AppendUint64(value, uint64(expires.UnixMilli()))
	return append(value, payload...)
}

// CutExpiry divides a value into the end of its row's life and its payload.
func CutExpiry(value []byte) (expires time.Time, payload []byte, err error) {
	if len(value) < expiryBytes {
		return time.Time{}, nil, ErrNoExpiry
	}
	milliseconds := binary.BigEndian.Uint64(value)
	return time.UnixMilli(int64(milliseconds)), value[expiryBytes:], nil
}
