package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// dispatch performs requests side by side.
func (s *Service) dispatch(ctx context.Context, sends []Send) {
	for _, send := range sends {
		if !s.sends.TryAcquire(1) {
			s.failed(ctx, send, silent)
			continue
		}
		go func() {
			defer s.sends.Release(1)
			s.perform(ctx, send)
		}()
	}
}

// outcome is what became of a request.
type outcome uint8

const (
	silent  outcome = iota // no answer, or one of another process
	reached                // answered by the process that was meant
	refused                // nothing listens at the address
)

// outcomeOf tells a connection that the other machine refused from silence and
// from causes on this machine.
func outcomeOf(err error) outcome {
	if fault.From(err).Hint == peer.HintRefused {
		return refused
	}
	return silent
}

// perform sends one request, gives its outcome to the core and returns it.
func (s *Service) perform(ctx context.Context, send Send) outcome {
	limited, cancel := context.WithTimeout(ctx, send.Timeout)
	defer cancel()
	switch send.Kind {
	case SendRelay:
		return s.performRelay(ctx, limited, send)
	case SendSync:
		return s.performSync(ctx, limited, send)
	default:
		return s.performPing(ctx, limited, send)
	}
}

func (s *Service) performPing(ctx, limited context.Context, send Send) outcome {
	send.Message.Riders = s.collect()
	answer, err := peer.Invoke[Message](limited, s.options.Transport, send.To.Address, MethodPing, send.Message)
	if err != nil {
		return s.failed(ctx, send, outcomeOf(err))
	}
	if answer.From == send.To.Node {
		s.deliver(answer.Riders)
	}
	s.mutex.Lock()
	next := s.core.Answered(time.Now(), send, answer)
	s.mutex.Unlock()
	s.dispatch(ctx, next)
	if answer.From != send.To.Node || answer.FromIncarnation != send.To.Incarnation {
		return silent
	}
	return reached
}

func (s *Service) performRelay(ctx, limited context.Context, send Send) outcome {
	answer, err := peer.Invoke[RelayAnswer](limited, s.options.Transport, send.To.Address, MethodRelay, send.Relay)
	if err != nil {
		return s.failed(ctx, send, outcomeOf(err))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.Relayed(time.Now(), send, answer)
	return reached
}

func (s *Service) performSync(ctx, limited context.Context, send Send) outcome {
	answer, err := peer.Invoke[SyncAnswer](limited, s.options.Transport, send.To.Address, MethodSync, send.Sync)
	if err != nil {
		return s.failed(ctx, send, outcomeOf(err))
	}
	s.mutex.Lock()
	next := s.core.Synced(time.Now(), send, answer)
	s.mutex.Unlock()
	s.joinOnce.Do(func() { close(s.joined) })
	s.publishSoon(send)
	s.dispatch(ctx, next)
	return reached
}

// publishSoon shows a joining node the cluster without waiting for a tick.
func (s *Service) publishSoon(send Send) {
	if send.To.Node == "" {
		s.publish()
	}
}

func (s *Service) failed(ctx context.Context, send Send, result outcome) outcome {
	if ctx.Err() != nil {
		return silent // this node stops; its unanswered requests say nothing
	}
	s.mutex.Lock()
	next := s.core.Failed(time.Now(), send, result == refused)
	s.mutex.Unlock()
	s.dispatch(ctx, next)
	return result
}

// seek looks for nodes that are not known yet: at once and often while this
// node is alone, seldom afterwards.
func (s *Service) seek(ctx context.Context) {
	if s.options.Seeds == nil {
		return
	}
	for {
		s.seekOnce(ctx)
		wait := s.timing.SeedInterval/2 + rand.N(s.timing.SeedInterval)
		if len(s.View().Members) == 1 {
			wait = joinRetry/2 + rand.N(joinRetry)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) seekOnce(ctx context.Context) {
	addresses, err := s.options.Seeds(ctx)
	if err != nil {
		s.log.WithError(err).Warn("member_seeds_failed")
		return
	}
	s.mutex.Lock()
	unknown := s.core.Unknown(addresses)
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	sends := s.core.Join(time.Now(), unknown[:min(joinAttempts, len(unknown))])
	s.mutex.Unlock()
	s.dispatch(ctx, sends)
}

// collect asks the riders for what they want to spread.
func (s *Service) collect() []RiderPayload {
	var payloads []RiderPayload
	left := riderLimit
	for _, named := range s.riders {
		payload := named.rider.Collect(left)
		if len(payload) == 0 || len(payload) > left {
			continue
		}
		left -= len(payload)
		payloads = append(payloads, RiderPayload{Name: named.name, Payload: payload})
	}
	return payloads
}

func (s *Service) deliver(payloads []RiderPayload) {
	for _, payload := range payloads {
		for _, named := range s.riders {
			if named.name == payload.Name {
				named.rider.Deliver(payload.Payload)
			}
		}
	}
}

// logChanges writes one line for each member whose state has changed.
func (s *Service) logChanges(before, after *View) {
	known := make(map[string]Member, len(before.Members))
	for _, m := range before.Members {
		known[string(m.Node)] = m
	}
	for _, m := range after.Members {
		last, ok := known[string(m.Node)]
		delete(known, string(m.Node))
		if !ok || last.State != m.State || last.Incarnation != m.Incarnation {
			s.logMember(m).Info("member_" + m.State.String())
		}
	}
	for _, m := range known {
		s.logMember(m).Info("member_" + Dead.String())
	}
}
