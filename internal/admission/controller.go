package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

const (
	// maxRefused is the maximum number of refused programs that are recorded.
	maxRefused = 2048
	// returnWindow is how long after its retry time a refused program still counts as returning.
	returnWindow = 3 * time.Second
	// maxQueues is the maximum number of queues whose load is tracked.
	maxQueues = 64
)

// UtilizationSource provides reports of the utilization of a service's workers.
type UtilizationSource interface {
	// Utilization returns the newest report for a service, or nil if there is none.
	Utilization(service string) *UtilizationReport
}

// queue identifies the turns of a service that compete with each other. Workers take turns of a more
// urgent priority first, so each urgency has its own queue.
type queue struct {
	service string
	urgency int
}

// Controller makes the admission decisions of one node. It tracks the recent load of each queue and the
// programs that it refused. It is safe for concurrent use and bounded in memory.
type Controller struct {
	utilization UtilizationSource
	mutex       sync.Mutex
	windows     map[queue]*window
	refused     refusedPrograms
}

// NewController returns a Controller without history. If utilization is nil, only the load seen by this node counts.
func NewController(utilization UtilizationSource) *Controller {
	return &Controller{utilization: utilization, windows: map[queue]*window{}, refused: refusedPrograms{returnAt: map[uint64]time.Time{}}}
}

// Decide decides whether to admit the program of a turn whose caller times out after timeLeft. It records
// when a refused program is to retry. It also returns the inputs of the decision; Program.Returns is
// set in them if the program retries on time. If a turn of the program has run before, Load is empty
// and Request holds only the program and the time left.
func (c *Controller) Decide(service string, program scheduling.Program, timeLeft time.Duration, now time.Time) (Verdict, Request, Load) {
	request := Request{Program: program, TimeLeft: timeLeft}
	if !program.Begins {
		return Decide(request, Load{}), request, Load{}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	w := c.window(queue{service, program.Urgency})
	load, admitted := w.load(now)
	if c.utilization != nil {
		load.Utilization = c.utilization.Utilization(service)
	}
	request.AdmitRate = float64(admitted) / windowSpan.Seconds()
	if load.Overloaded() {
		w.overloadedAt = now
		request.PendingRetries = c.refused.notYetDue(now)
	}
	key := xxhash.Sum64String(program.Key)
	request.Program.Returns = c.refused.isDue(key, now)
	verdict := Decide(request, load)
	if verdict.Admitted {
		w.bucketAt(now).admitted++
		c.refused.remove(key)
	} else {
		c.refused.add(key, now.Add(verdict.RetryAfter))
	}
	return verdict, request, load
}

// Sent records that a program's turn is sent to a worker; unloaded is how long such a turn takes without
// queueing. The caller must pass the result to FirstEvent or EndedWithoutEvent.
func (c *Controller) Sent(service string, program scheduling.Program, unloaded UnloadedTime, now time.Time) *PendingTurn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newProgram := scheduling.Classify(program) == scheduling.ClassNew
	sending := &PendingTurn{window: c.window(queue{service, program.Urgency}), sent: now, unloaded: unloaded, newProgram: newProgram}
	sending.window.pending[sending] = struct{}{}
	sending.window.unloadedTime = unloaded.Total
	return sending
}

// FirstEvent records the arrival of a turn's first event.
func (c *Controller) FirstEvent(sending *PendingTurn, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(sending.window.pending, sending)
	sending.window.firstEvent(sending, now)
}

// EndedWithoutEvent records that a turn ended without a first event. It counts as a sample if it had queued.
func (c *Controller) EndedWithoutEvent(sending *PendingTurn, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(sending.window.pending, sending)
	if _, waited := sending.excess(now); waited {
		sending.window.firstEvent(sending, now)
	}
}

// Declined records that a worker declined a turn because it is full.
func (c *Controller) Declined(service string, urgency int, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.window(queue{service, urgency}).declined(now)
}

// window returns the window of a queue and adds it if needed. The caller must hold the mutex.
func (c *Controller) window(of queue) *window {
	w, ok := c.windows[of]
	if ok {
		return w
	}
	if len(c.windows) >= maxQueues {
		clear(c.windows) // each covers only windowSpan
	}
	w = &window{pending: map[*PendingTurn]struct{}{}}
	c.windows[of] = w
	return w
}

// refusedPrograms holds the retry times of refused programs by hash of the program's key. Beyond
// maxRefused entries the program refused first is evicted.
type refusedPrograms struct {
	returnAt map[uint64]time.Time
	order    []uint64 // the keys of returnAt, in the order in which they were added
}

// add records that a program is to retry at a given time.
func (r *refusedPrograms) add(key uint64, at time.Time) {
	if _, known := r.returnAt[key]; !known {
		r.order = append(r.order, key)
	}
	r.returnAt[key] = at
	if len(r.order) > maxRefused {
		delete(r.returnAt, r.order[0])
		r.order = r.order[1:]
	}
}

// remove removes a program, if it is recorded.
func (r *refusedPrograms) remove(key uint64) {
	if _, known := r.returnAt[key]; !known {
		return
	}
	delete(r.returnAt, key)
	r.order = slices.DeleteFunc(r.order, func(other uint64) bool { return other == key })
}

// isDue reports whether a program's retry time has come and is less than returnWindow ago.
func (r *refusedPrograms) isDue(key uint64, now time.Time) bool {
	at, known := r.returnAt[key]
	return known && !now.Before(at) && now.Before(at.Add(returnWindow))
}

// notYetDue returns the number of programs whose retry time is in the future.
func (r *refusedPrograms) notYetDue(now time.Time) int {
	count := 0
	for _, at := range r.returnAt {
		if now.Before(at) {
			count++
		}
	}
	return count
}
