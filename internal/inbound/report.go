package inbound

import (
	"net"
	"time"
)

// Reason is why a connection was closed, or a request refused, before the request had arrived.
type Reason string

// Reasons.
const (
	ReasonFull    Reason = "full"    // a new connection was closed unread: no other gave way
	ReasonCrowded Reason = "crowded" // a connection was closed for a new one
	ReasonSlow    Reason = "slow"    // a connection was closed for the memory that another one needed
	ReasonMemory  Reason = "memory"  // there was no memory for a request, and no other gave way
	ReasonTooLong Reason = "long"    // a head or a body was longer than the configuration allows
)

// reportInterval is the shortest time between two log lines for the same reason.
const reportInterval = time.Second

// lineRefused is the message of the lines of a report.
const lineRefused = "connections closed or requests refused before they had arrived"

// report logs how many connections were closed and requests refused, at most one line per reason and reportInterval.
type report struct {
	options  Options
	byReason map[Reason]*tally
}

// tally counts what a report has not logged yet.
type tally struct {
	count  int
	logged time.Time
}

func newReport(options Options) report { return report{options, map[Reason]*tally{}} }

// add counts a connection that was closed or a request that was refused. from is its peer, and open the number of open connections.
func (r *report) add(reason Reason, from net.Addr, open int, now time.Time) {
	if r.options.CountRefused != nil {
		r.options.CountRefused(reason)
	}
	counted, ok := r.byReason[reason]
	if !ok {
		counted = &tally{}
		r.byReason[reason] = counted
	}
	counted.count++
	if now.Sub(counted.logged) < reportInterval {
		return
	}
	r.options.Logger.WithField("listener", r.options.Listener).WithField("reason", string(reason)).WithField("count", counted.count).
		WithField("open", open).WithField("from", addressOf(from)).Warn(lineRefused)
	counted.count, counted.logged = 0, now
}

// addressOf returns the text of an address; empty: it is unknown.
func addressOf(address net.Addr) string {
	if address == nil {
		return ""
	}
	return address.String()
}
