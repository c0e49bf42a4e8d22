package forward

import (
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/eligibility"
)

// mayUseDraining reports whether the request may be sent to a draining worker if no other worker can serve it. One that may not be repeated
// is not: if its worker ends before the answer is complete, nobody knows whether it took effect, while a refusal is certain.
func (x *exchange) mayUseDraining() bool { return x.route.Repeatable() }

// lastResort returns the properties of the request as they count for workers that are tried when there are no others.
func (x *exchange) lastResort() eligibility.Request {
	request := x.restrictions()
	request.AcceptsDraining = x.mayUseDraining()
	return request
}

// chooseDraining chooses a draining worker that still serves if no other one can serve the request; nil: there is none, or another worker
// can. chosen is the worker that would be tried otherwise; nil: none. If only is not empty, no other worker may be chosen.
func (x *exchange) chooseDraining(only []string, chosen *backend.Worker) *backend.Worker {
	if !x.mayUseDraining() || chosen != nil && !chosen.Failing(time.Now()) {
		return nil
	}
	worker := x.options.Workers.ChooseDraining(x.placementQuery(only))
	if worker != nil {
		x.acceptDraining(worker)
	}
	return worker
}

// acceptDraining lets the request be sent to a draining worker, until the next choice.
func (x *exchange) acceptDraining(worker *backend.Worker) {
	x.acceptsDraining = true
	x.options.Metrics.DrainingChosen.Inc()
	x.options.Logger.WithFields(log.Fields{
		"request":        x.request.ID,
		"service":        x.service,
		"worker":         worker.Key(),
		"version":        worker.SoftwareVersion(),
		"serves_more_ms": worker.DrainTimeLeft().Milliseconds(),
	}).Info("no other worker can serve the request; choosing one that is draining")
}
