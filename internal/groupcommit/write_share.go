package groupcommit

import "time"

const (
	// Each throttled commit multiplies the share by decreaseFactor, down to minWriteShare.
	// Accounts and slots use at most what that leaves.
	decreaseFactor = 0.85
	minWriteShare  = 0.5
	// decreaseInterval is the minimum time between two decreases: commits throttled together count
	// once.
	decreaseInterval = 150 * time.Millisecond
	// increasePerSecond is how fast the share recovers.
	increasePerSecond = 0.4
)

// writeShare is the part of the group-commit rate that the table currently accepts, from 0 to 1.
// It falls multiplicatively when the table throttles commits and recovers linearly. The zero value
// allows the full rate.
type writeShare struct {
	deficit   float64   // 1 minus the share at reducedAt
	reducedAt time.Time // time of the last decrease
}

// at returns the share at now.
func (s *writeShare) at(now time.Time) float64 {
	if s.deficit == 0 {
		return 1
	}
	return min(1, 1-s.deficit+increasePerSecond*now.Sub(s.reducedAt).Seconds())
}

// onThrottled lowers the share after a throttled commit.
func (s *writeShare) onThrottled(now time.Time) {
	if now.Sub(s.reducedAt) < decreaseInterval {
		return
	}
	s.deficit = 1 - max(minWriteShare, decreaseFactor*s.at(now))
	s.reducedAt = now
}
