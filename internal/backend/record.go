package backend

import (
	"strconv"
	"strings"
	"time"
)

// Record is a worker's entry in the worker list.
type Record struct {
	// ID identifies the worker. A restarted worker may keep its ID, but it has lost all cached
	// state.
	ID string
	// StartedAt is when the worker's process started, by the worker's clock; zero: not announced.
	StartedAt time.Time
	Service   string
	Address   string // IP:PORT
	Zone      string
	// SoftwareVersion is the build that the worker runs; not the version of its weights. Versions have
	// no order.
	SoftwareVersion string
	Slots           int
	Draining        bool
	// ColdRemaining is the remaining cold start, during which the worker can take little load, as of
	// the worker's last report.
	ColdRemaining time.Duration
	// Revision rises with each change of the entry. Entries with a lower one are ignored.
	Revision uint64
}

// Key identifies one process of the worker, in the same way on all nodes: by the worker's ID and,
// if it is announced, the start time. Cached context is recorded under this key.
func (r Record) Key() string {
	if r.StartedAt.IsZero() {
		return r.ID
	}
	return r.ID + "@" + strconv.FormatInt(r.StartedAt.UnixMilli(), 10)
}

// IDOf returns the worker ID that a key was made from.
func IDOf(key string) string {
	id, startTime, ok := cutLast(key, "@")
	if _, err := strconv.ParseInt(startTime, 10, 64); !ok || err != nil {
		return key
	}
	return id
}

// cutLast cuts text around the last separator; ok is false if there is none.
func cutLast(text, separator string) (before, after string, ok bool) {
	index := strings.LastIndex(text, separator)
	if index < 0 {
		return text, "", false
	}
	return text[:index], text[index+len(separator):], true
}

// sameProcess reports whether two entries with the same ID describe the same process. Without a
// start time, software version, address, service and zone decide.
func (r Record) sameProcess(other Record) bool {
	return r.SoftwareVersion == other.SoftwareVersion && r.StartedAt.Equal(other.StartedAt) && r.Address == other.Address && r.Service == other.Service && r.Zone == other.Zone
}

// precedes reports whether r's process started before that of other. It is false if a start time
// is missing.
func (r Record) precedes(other Record) bool {
	return !r.StartedAt.IsZero() && !other.StartedAt.IsZero() && r.StartedAt.Before(other.StartedAt)
}
