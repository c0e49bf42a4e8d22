package history

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

// said is what one place said.
type said[T any] struct {
	value T
	err   error
}

// roundPause is the pause after a round in which all places failed.
const roundPause = 60 * time.Millisecond

// firstPlace asks the places of a turn one after the other, the next when the one
// before has failed, was not accepted or has said nothing for a while. It returns
// the first accepted answer. When all have answered and none was accepted, it
// returns the zero value, and the last error if there was one; if all of them
// failed, it asks again until ctx ends. A place that the table refuses for the number of
// calls ends the round, since the others lie in the same table; the next round begins after a
// growing pause, or not at all if ctx ends before it.
func firstPlace[T any](ctx context.Context, patience time.Duration, ask func(context.Context, int) (T, error), accept func(T) bool) (T, error) {
	return firstPlaceUnless(ctx, patience, func() bool { return false }, ask, accept)
}

// firstPlaceUnless is firstPlace for what may be settled before it begins, or after a pause.
func firstPlaceUnless[T any](ctx context.Context, patience time.Duration, settled func() bool, ask func(context.Context, int) (T, error), accept func(T) bool) (T, error) {
	var none T
	if settled() {
		return none, nil
	}
	var throttled store.Backoff
	var first atomic.Int32 // the place that was refused last lives, and is asked first
	askInTurn := func(ctx context.Context, turn int) (T, error) {
		place := (int(first.Load()) + turn) % places
		value, err := ask(ctx, place)
		if errors.Is(err, store.ErrThrottled) {
			first.Store(int32(place))
		}
		return value, err
	}
	for {
		value, failed, err := oneRound(ctx, patience, askInTurn, accept)
		if errors.Is(err, store.ErrThrottled) {
			if throttled.Wait(ctx) != nil {
				return none, err
			}
			if settled() {
				return none, nil
			}
			continue
		}
		if err == nil || failed < places {
			return value, err
		}
		if wait.For(ctx, roundPause) != nil {
			return none, err
		}
	}
}

// oneRound asks each place once. failed counts those that failed. It ends early when the
// table refuses one for the number of calls.
func oneRound[T any](ctx context.Context, patience time.Duration, ask func(context.Context, int) (T, error), accept func(T) bool) (value T, failed int, failure error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan said[T], places)
	asked := 0
	askNext := func() {
		if asked == places {
			return
		}
		place := asked
		asked++
		go func() {
			value, err := ask(ctx, place)
			answers <- said[T]{value: value, err: err}
		}()
	}
	askNext()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for answered := 0; answered < places; {
		select {
		case <-timer.C:
			askNext()
		case answer := <-answers:
			answered++
			if errors.Is(answer.err, store.ErrThrottled) {
				return value, failed, answer.err
			}
			if answer.err != nil {
				failed++
				failure = answer.err
			} else if accept(answer.value) {
				return answer.value, 0, nil
			}
			askNext()
		}
	}
	return value, failed, failure
}
