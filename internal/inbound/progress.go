package inbound

import "time"

// expectedRate is the rate, in bytes per second, at which a client is expected to send a request and to take an answer. A slower one is behind, and gives way
// to others when room is short; nothing else follows.
const expectedRate = 64 << 10

// progress measures how far a peer is behind expectedRate. Bytes that arrive early give no credit for a later pause.
type progress struct {
	behind time.Duration // at the time of since
	since  time.Time
}

// startProgress returns the progress of a peer that begins now.
func startProgress(now time.Time) progress { return progress{since: now} }

// received records bytes that have arrived or were taken.
func (p *progress) received(count int, now time.Time) {
	const perByte = time.Second / expectedRate
	p.behind = max(0, p.lateness(now)-time.Duration(count)*perByte)
	p.since = now
}

// lateness returns how far the peer is behind.
func (p *progress) lateness(now time.Time) time.Duration { return p.behind + now.Sub(p.since) }
