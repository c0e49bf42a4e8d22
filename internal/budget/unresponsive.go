package budget

import "time"

// unresponsivePeer is the record of a process that did not answer its last request.
type unresponsivePeer struct {
	since   time.Time // first unanswered request
	retryAt time.Time // the process is not asked before this time
	exited  bool      // connections failed at once: the process has exited, and its tokens are lost
}

// isUnresponsive reports whether a process is in its backoff after an unanswered request.
func (a *Accounts) isUnresponsive(holder Holder) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return time.Now().Before(a.unresponsive[holder.Process].retryAt)
}

// markUnresponsive records that a request to a process failed. timedOut distinguishes a
// timeout from a failed connection.
func (a *Accounts) markUnresponsive(holder Holder, timedOut bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	known, ok := a.unresponsive[holder.Process]
	if !ok {
		known.since = now
	}
	known.retryAt = now.Add(unresponsiveBackoff)
	known.exited = !timedOut
	a.unresponsive[holder.Process] = known
}

// markResponsive records that a process answered.
func (a *Accounts) markResponsive(holder Holder) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.unresponsive, holder.Process)
}

// mayRecover reports whether a process that may hold tokens of the program became
// unresponsive so recently that it may still hand them over.
func (a *Accounts) mayRecover(account *account) bool {
	holders := account.knownHolders()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, holder := range holders {
		known, ok := a.unresponsive[holder.Process]
		if ok && !known.exited && time.Since(known.since) < unresponsiveGrace {
			return true
		}
	}
	return false
}
