package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// Faults says what a stand-in does wrong. The zero value is a healthy service.
type Faults struct {
	Down bool `json:"down"` // refuses everything as not run
	Hang bool `json:"hang"` // answers nothing while set, and then goes on
	// Delay comes before the effect of every operation, in nanoseconds.
	Delay time.Duration `json:"delay"`
	// LateEffect lets an operation that its caller gave up on during Delay take
	// effect all the same.
	LateEffect bool `json:"late_effect"`
	// LoseAnswers is how many answers to writes are lost after they took effect;
	// negative: all.
	LoseAnswers int `json:"lose_answers"`
	// PerSecond limits the rate of operations; zero: no limit.
	PerSecond float64 `json:"per_second"`
	Burst     int     `json:"burst"` // with PerSecond; zero: one
}

// Switch holds the faults of one stand-in and applies them to its operations.
// The zero value is ready to use.
type Switch struct {
	mutex   sync.Mutex
	faults  Faults
	limiter *rate.Limiter
	changed chan struct{} // closed at the next SetFaults
	hanging int
}

// SetFaults replaces the faults. Operations that hang look again.
func (s *Switch) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.limiter = nil
	if faults.PerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(faults.PerSecond), max(faults.Burst, 1))
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Faults returns the faults in force.
func (s *Switch) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// write runs an operation that changes something under the faults in force.
// service names the stand-in.
func (s *Switch) write(ctx context.Context, service string, operation func() error) error {
	if err := s.read(ctx, service, operation); err != nil {
		return err
	}
	if s.takeLoss() {
		return lostAnswer(service)
	}
	return nil
}

// read runs an operation that changes nothing. Its answer is never lost.
func (s *Switch) read(ctx context.Context, service string, operation func() error) error {
	if err := s.waitWhileHung(ctx, service); err != nil {
		return err
	}
	if err := s.refuse(service); err != nil {
		return err
	}
	if err := s.delay(ctx, service, operation); err != nil {
		return err
	}
	return operation()
}

func (s *Switch) waitWhileHung(ctx context.Context, service string) error {
	for {
		changed := s.hung()
		if changed == nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.countHanging(-1)
		if ctx.Err() != nil {
			return lostAnswer(service)
		}
	}
}

// Hanging returns how many operations wait for the end of Hang.
func (s *Switch) Hanging() int { return s.countHanging(0) }

func (s *Switch) countHanging(change int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hanging += change
	return s.hanging
}

// hung returns nil unless the stand-in hangs, and else counts the operation as
// hanging; the channel closes at the next SetFaults.
func (s *Switch) hung() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.faults.Hang {
		return nil
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	s.hanging++
	return s.changed
}

func (s *Switch) refuse(service string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return fault.Newf(fault.Unavailable, "try again later", "the %s is down", service)
	}
	if s.limiter == nil {
		return nil
	}
	reservation := s.limiter.Reserve()
	wait := reservation.Delay()
	if wait == 0 {
		return nil
	}
	reservation.Cancel()
	return fault.Newf(fault.RateLimited, "wait and try again", "the %s limits its rate", service).WithRetryAfter(wait)
}

// delay waits before the effect. A caller that gives up meanwhile cannot know
// whether the operation ran; under LateEffect it will.
func (s *Switch) delay(ctx context.Context, service string, operation func() error) error {
	faults := s.Faults()
	if faults.Delay == 0 {
		return nil
	}
	timer := time.NewTimer(faults.Delay)
	defer timer.Stop()
	due := time.Now().Add(faults.Delay)
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
	}
	if faults.LateEffect {
		time.AfterFunc(time.Until(due), func() { _ = operation() })
	}
	return lostAnswer(service)
}

func (s *Switch) takeLoss() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	return true
}

// lostAnswer is what a caller sees when the answer does not arrive. The HTTP
// servers break the connection instead of sending it.
func lostAnswer(service string) error {
	return fault.Newf(fault.Unavailable, "read back what happened", "the %s gave no answer", service).
		WithRan(fault.RanUnknown)
}

// lost reports whether err stands for an answer that must not arrive.
func lost(err error) bool {
	return fault.Is(err, fault.Unavailable) && fault.From(err).Ran == fault.RanUnknown
}
