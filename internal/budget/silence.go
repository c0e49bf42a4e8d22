package budget

import "time"

// unresponsivePeer is the record of a process that did not answer its last request.
type unresponsivePeer struct {
	since   time.Time // first unanswered request
	retryAt time.Time // the process is not asked before this time
	ended   bool      // connections failed at once: the process has exited, and its tokens are lost
}

// isUnresponsive reports whether a process is in its backoff after an unanswered request.
func (b *Accounts) isUnresponsive(holder Holder) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Now().Before(b.unresponsive[holder.Process].retryAt)
}

// markUnresponsive records that a request to a process failed. timedOut distinguishes a
// timeout from a failed connection.
func (b *Accounts) markUnresponsive(holder Holder, timedOut bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	known, ok := b.unresponsive[holder.Process]
	if !ok {
		known.since = now
	}
	known.retryAt = now.Add(unresponsiveBackoff)
	known.ended = !timedOut
	b.unresponsive[holder.Process] = known
}

// markResponsive records that a process answered.
func (b *Accounts) markResponsive(holder Holder) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.unresponsive, holder.Process)
}

// mayRecover reports whether a process that may hold tokens of the program became
// unresponsive so recently that it may still hand them over.
func (b *Accounts) mayRecover(account *account) bool {
	holders := account.knownHolders()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, holder := range holders {
		known, ok := b.unresponsive[holder.Process]
		if ok && !known.ended && time.Since(known.since) < unresponsiveGrace {
			return true
		}
	}
	return false
}
