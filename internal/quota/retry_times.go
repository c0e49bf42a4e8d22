package quota

import (
	"slices"
	"time"
)

// retryTimes are the times at which refused callers may retry. Each further caller is
// given a later time, so that they don't all retry at once.
type retryTimes []time.Time

// maxRetryTimes bounds the remembered times of a share. With more, the delays would exceed
// clients' timeouts.
const maxRetryTimes = 512

// add returns the retry delay for one more refused caller and records it. waitAfter returns the
// time until a permit is free for a caller behind queue others.
func (r *retryTimes) add(now time.Time, waitAfter func(queue int) time.Duration) time.Duration {
	*r = slices.DeleteFunc(*r, func(retry time.Time) bool { return !retry.After(now) })
	wait := waitAfter(len(*r))
	if len(*r) < maxRetryTimes {
		*r = append(*r, now.Add(wait))
	}
	return wait
}
