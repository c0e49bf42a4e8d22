package history

import "time"

// pace estimates how long conversations take to be read one after the other.
type pace struct {
	last     time.Time     // when one was read while others waited; zero: none was lately
	interval time.Duration // mean time between two
}

const (
	// paceWeight is the weight of the latest interval in the mean.
	paceWeight = 0.1
	// maxInterval is the longest interval that counts: a longer one shows that none waited.
	maxInterval = time.Second
)

// completed records that a conversation was read, and whether others wait.
func (p *pace) completed(now time.Time, othersWait bool) {
	if since := now.Sub(p.last); !p.last.IsZero() && since < maxInterval {
		if p.interval == 0 {
			p.interval = since
		}
		p.interval += time.Duration(paceWeight * float64(since-p.interval))
	}
	p.last = now
	if !othersWait {
		p.last = time.Time{}
	}
}

// estimate returns how long that many conversations take; zero: unknown.
func (p *pace) estimate(conversations int) time.Duration {
	return time.Duration(conversations) * p.interval
}
