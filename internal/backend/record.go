package backend

import (
	"strconv"
	"strings"
	"time"
)

// Record is what the list of workers says of one.
type Record struct {
	// ID names the worker. One that starts again may have the ID that it had before; it knows
	// nothing of before then.
	ID string
	// Born is when the worker's process started, by its own clock; zero: it does not say.
	Born     time.Time
	Service  string
	Address  string // IP:PORT
	Zone     string
	Slots    int
	Draining bool
	// ColdLeft is how much longer the worker bore little when the list last took its word.
	ColdLeft time.Duration
	// Revision of the entry rises with each change; older entries are passed over.
	Revision uint64
}

// Key names the incarnation, in the same way on all nodes: by the worker's ID and its start,
// where it tells that. What is remembered of a worker is remembered under its key.
func (r Record) Key() string {
	if r.Born.IsZero() {
		return r.ID
	}
	return r.ID + "@" + strconv.FormatInt(r.Born.UnixMilli(), 10)
}

// IDOf is the ID of the worker that a key names an incarnation of.
func IDOf(key string) string {
	id, born, ok := cutLast(key, "@")
	if _, err := strconv.ParseInt(born, 10, 64); !ok || err != nil {
		return key
	}
	return id
}

func cutLast(text, separator string) (before, after string, ok bool) {
	index := strings.LastIndex(text, separator)
	if index < 0 {
		return text, "", false
	}
	return text[:index], text[index+len(separator):], true
}

// sameProcess reports whether two entries of a worker's ID are of the same process. One that
// does not say when it started is known by its place alone.
func (r Record) sameProcess(other Record) bool {
	return r.Born.Equal(other.Born) && r.Address == other.Address && r.Service == other.Service && r.Zone == other.Zone
}

// precedes reports whether an entry is of a process that had started before another's.
func (r Record) precedes(other Record) bool {
	return !r.Born.IsZero() && !other.Born.IsZero() && r.Born.Before(other.Born)
}
