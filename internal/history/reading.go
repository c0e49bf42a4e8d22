package history

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/memory"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

const (
	// maxReadings bounds the conversations that a node reads or that wait to be read.
	maxReadings = 4_000
	// maxReadingTime is how long a conversation is read or waits at most.
	maxReadingTime = 15 * time.Second
	// returnTime is how long a conversation keeps its place after the last request for it had to be refused. Clients come back within
	// that time.
	returnTime = 4 * time.Second
	// freeReadingBytes is the size up to which a conversation that is read needs no reservation, and readingStep the step in which memory
	// for longer ones is reserved, in bytes.
	freeReadingBytes = 16 << 10
	readingStep      = 16 << 10
)

// ErrNoMemory is returned for a conversation that does not fit beside others.
var ErrNoMemory = errors.New("not enough memory to read the conversation beside others; read it again")

// BusyError is the error of a conversation that waits to be read because the table throttles reads. It wraps store.ErrThrottled.
type BusyError struct {
	Ahead      int           // conversations that are read before it
	RetryAfter time.Duration // until it will probably have been read
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d conversations are read before this one while the table throttles reads; retry in %v", e.Ahead, e.RetryAfter.Round(time.Millisecond))
}

// Unwrap returns store.ErrThrottled.
func (e *BusyError) Unwrap() error { return store.ErrThrottled }

// reading is the reading of one conversation for all requests that need it. It goes on for a time when they have left, since their clients
// come back.
type reading struct {
	id      string
	regions locality.Regions // where its content may be held
	order   uint64           // of arrival
	stop    context.CancelFunc
	done    chan struct{} // closed when the chain or err is set
	chain   []*Turn
	err     error

	// The mutex of the readings guards these.
	callers int
	leftAt  time.Time // when a caller last left
	failure error     // of the last read that failed; nil: none has

	mutex  sync.Mutex // guards memory
	memory *memory.Excess
}

// readings are the conversations that a node reads. It is safe for concurrent use.
type readings struct {
	mutex   sync.Mutex
	byID    map[string]*reading
	arrived uint64
	pace    pace
	// throttling is the time in which the table throttles reads, until no conversation waits any more.
	throttling throttling
}

// readChain returns the turns up to and including the one with the given ID. Requests for the same conversation share one reading. If the
// table throttles reads, it fails with a BusyError: at once if the conversation would not be read before the deadline of ctx.
func (s *TurnStore) readChain(ctx context.Context, id string) ([]*Turn, error) {
	for {
		shared, isNew, err := s.join(ctx, id)
		if err != nil {
			return nil, err
		}
		chain, err := s.await(ctx, shared)
		if isNew || !errors.Is(err, ErrNoTurn) {
			return chain, err
		}
		// The turn may have been written after the other request had the table read.
	}
}

// await waits for a reading, which the caller has joined, and leaves it.
func (s *TurnStore) await(ctx context.Context, shared *reading) ([]*Turn, error) {
	if late := s.lateFor(ctx, shared); late != nil {
		s.leave(shared, true)
		return nil, late
	}
	select {
	case <-shared.done:
		s.leave(shared, false)
		return shared.chain, shared.err
	case <-ctx.Done():
	}
	busy, failure := s.state(shared)
	returns := busy != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) // a caller that was canceled has the conversation from elsewhere, or is gone
	s.leave(shared, returns)
	switch {
	case returns:
		return nil, busy
	case failure != nil:
		return nil, failure
	default:
		return nil, ctx.Err()
	}
}

// join returns the reading of a conversation, and starts it unless it is under way.
func (s *TurnStore) join(ctx context.Context, id string) (shared *reading, isNew bool, err error) {
	regions := locality.ContentRegions(ctx)
	r := &s.readings
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if shared := r.byID[id]; shared != nil && slices.Equal(shared.regions, regions) {
		shared.callers++
		return shared, false, nil
	}
	if len(r.byID) >= maxReadings {
		return nil, false, &BusyError{Ahead: len(r.byID), RetryAfter: r.pace.estimate(len(r.byID))}
	}
	r.arrived++
	shared = &reading{id: id, regions: regions, order: r.arrived, callers: 1, done: make(chan struct{}), memory: memory.NewExcess(s.options.Reserve, freeReadingBytes, readingStep)}
	own, cancel := context.WithTimeout(locality.WithContentRegions(context.Background(), regions), maxReadingTime)
	shared.stop = cancel
	r.byID[id] = shared
	go s.run(own, shared)
	return shared, true, nil
}

// run reads a conversation.
func (s *TurnStore) run(ctx context.Context, shared *reading) {
	defer shared.stop()
	chain, err := s.readTurnsOf(ctx, shared)
	r := &s.readings
	r.mutex.Lock()
	if err != nil && ctx.Err() != nil && shared.failure != nil {
		err = shared.failure
	}
	shared.chain, shared.err = chain, err
	close(shared.done)
	r.remove(shared)
	waiting := len(r.byID)
	r.pace.completed(time.Now(), waiting > 0)
	ended := throttling{}
	if waiting == 0 && r.throttling.reads > 0 {
		ended, r.throttling, r.pace = r.throttling, throttling{}, pace{}
	}
	r.mutex.Unlock()
	ended.logEnd(s.options.Logger)
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	shared.memory.Release()
}

// remove lets no further caller join a reading. The caller holds the mutex.
func (r *readings) remove(shared *reading) {
	if r.byID[shared.id] == shared {
		delete(r.byID, shared.id)
	}
}

// leave ends a caller's interest in a reading. If it was the last one, the reading goes on for returnTime if the caller returns, and is stopped
// otherwise.
func (s *TurnStore) leave(shared *reading, returns bool) {
	r := &s.readings
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shared.callers--
	shared.leftAt = time.Now()
	switch {
	case shared.callers > 0 || shared.isDone():
	case returns:
		time.AfterFunc(returnTime, func() { s.stopUnlessJoined(shared) })
	default:
		r.remove(shared)
		shared.stop()
	}
}

// stopUnlessJoined stops a reading that no caller has returned to.
func (s *TurnStore) stopUnlessJoined(shared *reading) {
	s.readings.mutex.Lock()
	defer s.readings.mutex.Unlock()
	if shared.callers == 0 && time.Since(shared.leftAt) >= returnTime {
		s.readings.remove(shared)
		shared.stop()
	}
}

// isDone reports whether a reading has ended.
func (shared *reading) isDone() bool {
	select {
	case <-shared.done:
		return true
	default:
		return false
	}
}

// lateFor returns a BusyError if a conversation will probably not have been read before the deadline of ctx.
func (s *TurnStore) lateFor(ctx context.Context, shared *reading) *BusyError {
	busy, _ := s.state(shared)
	deadline, bounded := ctx.Deadline()
	if busy == nil || !bounded || busy.RetryAfter <= time.Until(deadline) {
		return nil
	}
	return busy
}

// state returns why a conversation has not been read: that it waits while the table throttles reads, or else the last failure; nil: neither.
func (s *TurnStore) state(shared *reading) (busy *BusyError, failure error) {
	r := &s.readings
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.throttling.lasts(time.Now()) {
		return nil, shared.failure
	}
	ahead := 0
	for _, other := range r.byID {
		if other.order < shared.order {
			ahead++
		}
	}
	return &BusyError{Ahead: ahead, RetryAfter: r.pace.estimate(ahead + 1)}, shared.failure
}

// WaitingFor returns why this node has not read a conversation yet that it was asked for: the table throttles reads. It returns nil if it was
// not asked, or if the conversation does not wait.
func (s *TurnStore) WaitingFor(id string) *BusyError {
	s.readings.mutex.Lock()
	shared := s.readings.byID[id]
	s.readings.mutex.Unlock()
	if shared == nil {
		return nil
	}
	busy, _ := s.state(shared)
	return busy
}

// observe records the outcome of a read. One that was canceled shows nothing.
func (s *TurnStore) observe(ctx context.Context, shared *reading, err error) {
	switch {
	case err == nil:
		s.limiter.answered()
	case ctx.Err() == nil:
		if errors.Is(err, store.ErrThrottled) {
			s.limiter.throttled(time.Now())
		}
		s.noteFailure(shared, err)
	}
}

// noteFailure records that a read has failed.
func (s *TurnStore) noteFailure(shared *reading, err error) {
	r := &s.readings
	r.mutex.Lock()
	defer r.mutex.Unlock()
	shared.failure = err
	if errors.Is(err, store.ErrThrottled) && r.throttling.add(time.Now()) {
		s.options.Logger.WithField("conversations", len(r.byID)).
			Warn("table throttles reads of conversations; reading those first that were asked for first, with fewer reads at a time")
	}
}

// Waiting returns the number of conversations that are read or wait for it, and the number of reads that may be made at the same time.
func (s *TurnStore) Waiting() (conversations, reads int) {
	s.readings.mutex.Lock()
	conversations = len(s.readings.byID)
	s.readings.mutex.Unlock()
	return conversations, s.limiter.limit()
}

// admit reserves memory for turns that were read. It is called concurrently.
func (shared *reading) admit(turns []*Turn) error {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	for _, turn := range turns {
		if !shared.memory.Add(int64(turn.Size())) {
			return ErrNoMemory
		}
	}
	return nil
}
