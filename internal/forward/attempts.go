package forward

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
)

// attempts are the workers that may have run a request. Its route bounds how many count.
//
// A worker leaves the count by the word of its machine, or by that of the process that started
// under its ID after it, which no later event takes back: its process has ended. That it is silent, and that no connection to it comes up for a while, is
// no such word. A paused worker whose queue of connections is full looks like that, and so does
// a path that loses first packets; both work on the request afterwards (42 and 26 of 350
// requests ran at two workers where one was allowed, four to six nodes and workers as processes).
type attempts struct {
	all     []string // that may ever have run it
	counted []string // of them, those that are not known to have ended
	dropped []string // of them, the others, each with what was observed, for the log
	broken  []string // that closed or reset the connection before their answer's end
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

// noteBreak notes that the connection to a worker broke before its answer's end.
func (a *attempts) noteBreak(worker string, err error) {
	if httpconn.ClosedByPeer(err) {
		a.broken = append(a.broken, worker)
	}
}

// hasEnded reports whether a worker that may have run the request is known to have ended, now
// that a connection to it failed by err: it had closed the request's own connection, and nobody
// listens at its address any more. Either alone is not enough: a worker that answers badly
// closes connections, and one that stops as planned may close its door before it is done.
func (a *attempts) hasEnded(worker string, err error) bool {
	return httpconn.Refused(err) && slices.Contains(a.broken, worker) && slices.Contains(a.counted, worker)
}

// drop takes a worker out of the count.
func (a *attempts) drop(worker, observed string) {
	a.counted = slices.DeleteFunc(a.counted, func(counted string) bool { return counted == worker })
	a.dropped = append(a.dropped, worker+":"+observed)
}

// mayHaveRun notes that a worker may have run the request.
func (x *exchange) mayHaveRun(worker *backend.Worker) {
	x.attempts.add(worker.Key())
	x.asked = append(x.asked, worker)
}

// dropSucceeded takes the workers out of the count under whose IDs other processes have started
// since: they have ended. What a new process says is no word of the one before, so a request that
// this one may have run stays one that may have run.
func (x *exchange) dropSucceeded() {
	for _, worker := range x.asked {
		if slices.Contains(x.attempts.counted, worker.Key()) && worker.Succeeded() {
			x.drop(worker, observedSucceeded)
		}
	}
}

// mayRunElsewhere reports whether the route allows another worker.
func (x *exchange) mayRunElsewhere() bool { return len(x.attempts.counted) < x.route.MaxAttempts }

// movable reports whether another worker may take the request over from one that it is sent to.
func (x *exchange) movable(from string) bool {
	count := len(x.attempts.counted)
	if !slices.Contains(x.attempts.counted, from) {
		count++
	}
	return x.route.Repeatable() && count < x.route.MaxAttempts
}

// drop takes a worker out of the count of those asked, by what has just been observed.
func (x *exchange) drop(worker *backend.Worker, observed string) {
	id := worker.Key()
	x.attempts.drop(id, observed)
	x.options.Metrics.AttemptsDropped.WithLabelValues(observed).Inc()
	x.options.Logger.WithFields(log.Fields{
		"request":      x.request.ID,
		"worker":       id,
		"address":      worker.Record().Address,
		"send":         x.sends,
		"observed":     observed,
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
		"worker":       worker.Key(),
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

// What is observed of a worker that no longer counts.
const (
	observedEnded     = "ended"     // it closed the connection, and nobody listens at its address
	observedSucceeded = "succeeded" // another process has started under its ID
)
