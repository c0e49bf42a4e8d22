package quota

import (
	"slices"
	"time"
)

// promises are the times at which callers were told to come back. Who is refused later is
// told a later time: all at once would find as little as now.
type promises []time.Time

// maxPromises bounds those that are remembered of a share: with more, what is told them is
// beyond any caller's patience.
const maxPromises = 512

// add refuses a caller. waitAfter is how long it takes until something is free for one who
// comes after so many others.
func (p *promises) add(now time.Time, waitAfter func(queue int) time.Duration) time.Duration {
	*p = slices.DeleteFunc(*p, func(promised time.Time) bool { return !promised.After(now) })
	wait := waitAfter(len(*p))
	if len(*p) < maxPromises {
		*p = append(*p, now.Add(wait))
	}
	return wait
}
