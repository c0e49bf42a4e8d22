package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/permit"
)

// Allowance lends requests to cold workers.
type Allowance interface {
	// Borrow asks for one request to a cold worker. It takes some milliseconds at most
	// where owners answer, and tens where one is silent.
	Borrow(ctx context.Context, ask ColdRequest) Loan
}

// Prober asks workers how they are.
type Prober interface {
	// ColdLeft asks a worker under a path for how much longer it is cold; 0: it is warm.
	ColdLeft(ctx context.Context, worker *backend.Worker, path string) (time.Duration, error)
}

// ColdRequest asks for one request to a cold worker.
type ColdRequest struct {
	Worker  string
	Zone    string // where it stands
	Service string
	Begins  bool // the request begins a program, or belongs to none
}

// Loan is a request to a cold worker, or none.
type Loan struct {
	Until time.Time     // before which it must be sent; zero: nothing was lent
	Wait  time.Duration // if nothing was lent: until something may be
}

// holds reports whether the loan lets a request be sent now.
func (l Loan) holds() bool { return time.Now().Before(l.Until) }

// maxColdAsks is for how many cold workers a request asks before it makes do with warm ones.
const maxColdAsks = 3

const (
	// healthWait bounds a question to a worker how it is, which waits for a place there.
	healthWait = 40 * time.Millisecond
	// healthRoundTrips to the worker's zone come on top: a new connection, and the question.
	healthRoundTrips = 2
)

// clear decides, just before the request is sent to a worker, whether it still may be: the
// time since the worker was chosen is not bounded, nor is what a paused node has missed.
// Where the worker may not get it, another one is chosen; a refusal is final.
func (x *exchange) clear(ctx context.Context, worker *backend.Worker) (cleared bool, refusal *fault.Error) {
	var loan Loan
	if x.options.Workers.Check(worker, x.regions()) == permit.Metered {
		loan = x.borrow(ctx, worker)
	}
	if x.client.Err() != nil {
		return false, x.ended(x.client)
	}
	if refusal := x.stillAllowed(); refusal != nil {
		return false, refusal
	}
	verdict := x.options.Workers.Check(worker, x.regions())
	if verdict.Refused() || verdict == permit.Metered && !loan.holds() {
		x.options.Metrics.TurnedAway.WithLabelValues(verdict.String()).Inc()
		x.noteTried(worker, x.whyNot(worker, verdict))
		x.exclude(worker.Key())
		return false, nil
	}
	return true, nil
}

// whyNot names what keeps a request from a worker, and for a cold one by whose word.
func (x *exchange) whyNot(worker *backend.Worker, verdict permit.Verdict) string {
	if verdict != permit.Metered {
		return verdict.String()
	}
	known := x.options.Workers.Warmth(worker)
	if known.Lapsed {
		return fmt.Sprintf("metered(lapsed %dms)", known.Age.Milliseconds())
	}
	return fmt.Sprintf("metered(%s %dms)", known.Source, known.Age.Milliseconds())
}

// borrow asks for a request to a cold worker.
func (x *exchange) borrow(ctx context.Context, worker *backend.Worker) Loan {
	if x.options.Allowance == nil {
		return Loan{}
	}
	x.coldAsks++
	loan := x.options.Allowance.Borrow(ctx, ColdRequest{
		Worker: worker.Key(), Zone: worker.Record().Zone, Service: x.service, Begins: x.home == "",
	})
	if loan.Until.IsZero() && x.askHealth(ctx, worker) {
		return loan
	}
	if loan.Until.IsZero() && (x.coldWait == 0 || loan.Wait < x.coldWait) {
		x.coldWait = loan.Wait
	}
	return loan
}

// askHealth asks a worker how it is that nobody lends for and that the list of workers has
// not spoken of for long. It reports whether the worker is warm.
func (x *exchange) askHealth(ctx context.Context, worker *backend.Worker) (warm bool) {
	path := x.Configuration().Services[x.service].HealthPath
	if path == "" || x.options.Prober == nil || !x.options.Workers.MayAskHealth(worker) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, healthWait+healthRoundTrips*x.options.Workers.RoundTrip(worker))
	defer cancel()
	sent := time.Now()
	left, err := x.options.Prober.ColdLeft(ctx, worker, path)
	entry := x.options.Logger.WithFields(log.Fields{"worker": worker.Key(), "request": x.request.ID, "cold_ms": left.Milliseconds()})
	if err != nil {
		entry.WithError(err).Warn("worker does not say whether it is warm, passed over")
		return false
	}
	x.options.Workers.NoteHealth(worker, left, sent)
	entry.Info("worker says whether it is warm, since nobody else does")
	return left == 0
}

// regions are those in which the request may be served: those that its route and its
// tenant both allow.
func (x *exchange) regions() locality.Regions {
	if x.tenant == nil {
		return x.route.Regions
	}
	return x.route.Regions.Common(x.tenant.Regions)
}
