package forward

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
)

// attempts are the workers that may have run a request. Its route bounds how many count.
type attempts struct {
	all     []string // that may ever have run it
	counted []string // of them, those that are not taken to be gone
	dropped []string // of them, the others, each with what was observed, for the log
}

// any reports whether some worker may have run the request.
func (a *attempts) any() bool { return len(a.all) > 0 }

// add notes that a worker may have run the request.
func (a *attempts) add(worker string) {
	if !slices.Contains(a.all, worker) {
		a.all = append(a.all, worker)
	}
	if !slices.Contains(a.counted, worker) {
		a.counted = append(a.counted, worker)
	}
}

// drop takes a worker out of the count.
func (a *attempts) drop(worker, observed string) {
	a.counted = slices.DeleteFunc(a.counted, func(counted string) bool { return counted == worker })
	a.dropped = append(a.dropped, worker+":"+observed)
}

// mayRunElsewhere reports whether the route allows another worker.
func (x *exchange) mayRunElsewhere() bool { return len(x.attempts.counted) < x.route.MaxAttempts }

// drop takes a worker out of the count of those asked, by something that was observed since
// some moment.
func (x *exchange) drop(worker *backend.Worker, observed string, since time.Time) {
	id := worker.Record().ID
	x.attempts.drop(id, observed)
	x.options.Metrics.AttemptsDropped.WithLabelValues(observed).Inc()
	x.options.Logger.WithFields(log.Fields{
		"request":      x.request.ID,
		"worker":       id,
		"address":      worker.Record().Address,
		"send":         x.sends,
		"observed":     observed,
		"age_ms":       time.Since(since).Milliseconds(),
		"counted":      strings.Join(x.attempts.counted, ","),
		"max_attempts": x.route.MaxAttempts,
	}).Warn("worker no longer counts as one that may have run the request")
}

// noteResend logs that a request is sent once more that may have run, and by what count that is
// allowed. Sends after a worker's word that it did not run are in the request's own line.
func (x *exchange) noteResend(worker *backend.Worker, left time.Duration) {
	if !x.attempts.any() {
		return
	}
	x.options.Logger.WithFields(log.Fields{
		"request":      x.request.ID,
		"worker":       worker.Record().ID,
		"send":         x.sends,
		"after_ms":     time.Since(x.begun).Milliseconds(),
		"left_ms":      left.Milliseconds(),
		"counted":      strings.Join(x.attempts.counted, ","),
		"dropped":      strings.Join(x.attempts.dropped, ","),
		"max_attempts": x.route.MaxAttempts,
	}).Info("request is sent again")
}

// noteAttempts adds to a request's line how many workers may have run it, where these are
// several, and counts it if they are more than its route allows.
func (x *exchange) noteAttempts(fields log.Fields) {
	if len(x.attempts.all) > 1 {
		fields["may_have_run"] = fmt.Sprintf("%d of %d", len(x.attempts.all), x.route.MaxAttempts)
	}
	if x.route != nil && len(x.attempts.all) > max(1, x.route.MaxAttempts) {
		x.options.Metrics.BeyondAttempts.Inc()
	}
}

// What may be observed of a worker that no longer counts.
const observedNoConnection = "no_connection"
