package ledger

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

const (
	// settledLimit is the number of settled requests that an account remembers,
	// so that a late repetition of their reservation holds nothing.
	settledLimit = 256
	// forgetAfter is how long past its renewal an idle account is kept. It must
	// exceed the skew between the nodes' clocks.
	forgetAfter = time.Hour
	// renewal is the time until a reservation is asked about again.
	renewal = 2 * time.Minute
)

// account is one tenant's budget in one period and group epoch. It may spend
// Drawn less Base. Fields are exported for gob only.
type account struct {
	Epoch    uint64
	Budget   template.Budget
	Version  uint64    // of the configuration that Budget is from
	Period   time.Time // start; zero for a budget that is not renewed
	Base     int64     // drawn in earlier epochs; counts as spent
	Drawn    int64     // in the period, Base included
	Spent    int64
	Reserved int64 // sum over the reservations made in Period
	// Next is what is drawn for a later period already.
	Next Draw
	// Reservations of earlier periods stay until they are settled, but were
	// charged to their own period.
	Reservations map[id.Request]reservation
	Settled      []uint64 // hashes of settled requests, oldest first
}

type reservation struct {
	Tokens int64
	Period time.Time
	Made   time.Time
	Limit  time.Time // when to ask what became of the request
}

// periodStart returns the start of the period that contains now; periods are
// aligned to the Unix epoch. A budget that is not renewed has the zero start.
func periodStart(now time.Time, period time.Duration) time.Time {
	if period <= 0 || now.IsZero() {
		return time.Time{}
	}
	elapsed := now.UnixNano()
	return time.Unix(0, elapsed-elapsed%int64(period)).UTC()
}

// renew begins a new period when its time has come; it never goes back to an
// earlier one.
func (a *account) renew(now time.Time) {
	start := periodStart(now, a.Budget.Period)
	if start.After(a.Period) {
		a.Period = start
		a.Base, a.Drawn, a.Spent, a.Reserved = 0, 0, 0, 0
		a.draw(a.Next)
	}
}

// reserve sets tokens aside at now; after limit it will be asked what became of
// the request.
func (a *account) reserve(request ReserveRequest, now time.Time, limit time.Duration) Verdict {
	if _, repeated := a.Reservations[request.Request]; repeated {
		a.extend(request.Request, now.Add(limit))
		return Granted
	}
	if slices.Contains(a.Settled, hashOf(request.Request)) {
		return AlreadySettled
	}
	switch wanted := request.Tokens; {
	case a.Base+a.Spent+wanted > a.Budget.Tokens:
		return Exhausted
	case a.Base+a.Spent+a.Reserved+wanted > a.Budget.Tokens:
		return Blocked
	case wanted > a.spare():
		return Undrawn
	}
	if a.Reservations == nil {
		a.Reservations = map[id.Request]reservation{}
	}
	a.Reservations[request.Request] = reservation{Tokens: request.Tokens, Period: a.Period, Made: now, Limit: now.Add(limit)}
	a.Reserved += request.Tokens
	return Granted
}

// spare returns what is drawn and neither spent nor reserved.
func (a *account) spare() int64 { return a.Drawn - a.Base - a.Spent - a.Reserved }

// extend puts off the question what became of a reservation.
func (a *account) extend(request id.Request, limit time.Time) {
	held, ok := a.Reservations[request]
	if !ok || !limit.After(held.Limit) {
		return
	}
	held.Limit = limit
	a.Reservations[request] = held
}

// settle replaces a reservation by what was spent and reports whether there was
// one. A reservation of an earlier period was charged there.
func (a *account) settle(request id.Request, spent int64) bool {
	a.remember(hashOf(request))
	held, ok := a.Reservations[request]
	if !ok {
		return false
	}
	delete(a.Reservations, request)
	if held.Period.Equal(a.Period) {
		a.Reserved -= held.Tokens
		a.Spent += spent
	}
	return true
}

func (a *account) remember(hash uint64) {
	if slices.Contains(a.Settled, hash) {
		return
	}
	a.Settled = append(a.Settled, hash)
	if surplus := len(a.Settled) - settledLimit; surplus > 0 {
		a.Settled = slices.Delete(a.Settled, 0, surplus)
	}
}

// draw takes over what the table has. Draws are sums, so that a repetition or
// one that arrives late adds nothing. What an earlier leader drew and did not
// record is part of the sum, and nobody can have spent it in this epoch.
func (a *account) draw(draw Draw) {
	if draw.Period.After(a.Period) {
		a.Next = draw
		return
	}
	if !draw.Period.Equal(a.Period) {
		return
	}
	a.Base = max(a.Base, draw.Base)
	a.Drawn = max(a.Drawn, draw.Drawn)
}

func (a *account) result(tenant id.Tenant) Result {
	result := Result{
		Balance: Balance{Tenant: tenant, Budget: a.Budget.Tokens, Spent: a.Base + a.Spent, Reserved: a.Reserved, Drawn: a.Drawn, Period: a.Period},
		Left:    max(0, a.Budget.Tokens-a.Base-a.Spent-a.Reserved),
		Spare:   a.spare(),
		Base:    a.Base,
	}
	if a.Budget.Period > 0 {
		result.Renewal = a.Period.Add(a.Budget.Period)
	}
	return result
}

// forgettable reports whether nothing of the account matters any more.
func (a *account) forgettable(now time.Time) bool {
	if a.Budget.Period <= 0 || len(a.Reservations) > 0 {
		return false
	}
	return now.After(a.Period.Add(a.Budget.Period + forgetAfter))
}

// renewsWithin reports whether the next period begins soon and nothing is drawn
// for it yet.
func (a *account) renewsWithin(now time.Time, span time.Duration) bool {
	length := a.Budget.Period
	next := a.Period.Add(length)
	return length > 0 && now.Before(next) && !now.Before(next.Add(-min(span, length/2))) && !a.Next.Period.Equal(next)
}

func hashOf(request id.Request) uint64 { return xxhash.Sum64String(string(request)) }
