package budget

import "time"

// silence is what is known of a process that did not answer.
type silence struct {
	since time.Time // when it first did not
	until time.Time // before which it is not asked again
	gone  bool      // it takes no connections: it has ended, and what it held is lost
}

// isSilent reports whether a process is not to be asked now.
func (b *Book) isSilent(holder Holder) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Now().Before(b.silent[holder.Process].until)
}

// noteSilent notes that a process did not answer: in time, or at all.
func (b *Book) noteSilent(holder Holder, waited bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	known, ok := b.silent[holder.Process]
	if !ok {
		known.since = now
	}
	known.until = now.Add(silentFor)
	known.gone = !waited
	b.silent[holder.Process] = known
}

// noteHeard notes that a process has answered.
func (b *Book) noteHeard(holder Holder) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.silent, holder.Process)
}

// mayComeBack reports whether a process that may hold tokens of the program has
// been silent for so short a time that it may still hand them over.
func (b *Book) mayComeBack(account *account) bool {
	holders := account.known()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, holder := range holders {
		known, ok := b.silent[holder.Process]
		if ok && !known.gone && time.Since(known.since) < forgetSilence {
			return true
		}
	}
	return false
}
