package history

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// placeResponse is the answer of one place.
type placeResponse[T any] struct {
	value T
	err   error
}

// retryPause is the pause after a round in which all places failed.
const retryPause = 60 * time.Millisecond

// firstAccepted asks the places of a turn one after the other and returns the first
// accepted answer. It goes on to the next place when one fails, is not accepted, or does
// not answer within the timeout. If no answer is accepted, it returns the zero value and the
// last error, if any. If all places failed, it first retries until ctx ends. Throttling
// ends the round at once, as all places lie in the same table; the next round follows
// after an exponential backoff, or not at all if ctx ends first.
func firstAccepted[T any](ctx context.Context, timeout time.Duration, ask func(context.Context, int) (T, error), accept func(T) bool) (T, error) {
	return firstAcceptedUnless(ctx, timeout, func() bool { return false }, ask, accept)
}

// firstAcceptedUnless is firstAccepted for an operation that may be settled otherwise. It
// calls settled before the first round and after each backoff for throttling. If settled
// reports true, it stops and returns the zero value without an error.
func firstAcceptedUnless[T any](ctx context.Context, timeout time.Duration, settled func() bool, ask func(context.Context, int) (T, error), accept func(T) bool) (T, error) {
	var none T
	if settled() {
		return none, nil
	}
	var throttled store.Backoff
	var first atomic.Int32 // place to begin with; a throttled place is up, so it goes first in the next round
	askInTurn := func(ctx context.Context, turn int) (T, error) {
		place := (int(first.Load()) + turn) % placeCount
		value, err := ask(ctx, place)
		if errors.Is(err, store.ErrThrottled) {
			first.Store(int32(place))
		}
		return value, err
	}
	for {
		value, failed, err := tryPlaces(ctx, timeout, askInTurn, accept)
		if errors.Is(err, store.ErrThrottled) {
			if throttled.Wait(ctx) != nil {
				return none, err
			}
			if settled() {
				return none, nil
			}
			continue
		}
		if err == nil || failed < placeCount {
			return value, err
		}
		if timing.Sleep(ctx, retryPause) != nil {
			return none, err
		}
	}
}

// tryPlaces asks each place once. failed is the number of places that failed. It returns
// early if the store throttles a call.
func tryPlaces[T any](ctx context.Context, timeout time.Duration, ask func(context.Context, int) (T, error), accept func(T) bool) (value T, failed int, failure error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan placeResponse[T], placeCount)
	asked := 0
	askNext := func() {
		if asked == placeCount {
			return
		}
		place := asked
		asked++
		go func() {
			value, err := ask(ctx, place)
			answers <- placeResponse[T]{value: value, err: err}
		}()
	}
	askNext()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for answered := 0; answered < placeCount; {
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
