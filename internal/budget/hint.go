package budget

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// KnownRow is a process's view of a row of a program's account. It is only a hint that
// saves the receiver a read: draws are conditional on the row's version, and a budget
// counts as exhausted only once the store has confirmed it. It is sent between nodes with
// gob, so its fields keep their names.
type KnownRow struct {
	Share   int           // index of the share
	Version store.Version // 0: the row does not exist
	Row     row
}

// applyHint takes over another process's view of the row if it is newer. Transactions in
// doubt can only be resolved by a row from the store, so the hint is ignored while there
// are any.
func (s *share) applyHint(hint KnownRow) {
	if len(s.inDoubt) > 0 || s.hasRow() && hint.Version <= s.version {
		return
	}
	s.row, s.version, s.hinted = hint.Row, hint.Version, true
}

// hasRow reports whether the row, or its absence, is known from the store or a hint.
func (s *share) hasRow() bool { return s.confirmed || s.hinted }

// publishRows updates the view of the rows that is sent to other processes. The caller
// holds sharesLock.
func (a *account) publishRows() {
	a.applyHints()
	var rows []KnownRow
	for index, share := range a.shares {
		if share.hasRow() {
			rows = append(rows, KnownRow{Share: index, Version: share.version, Row: share.row})
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.publishedRows = rows
}

// addHints queues rows from another process until applyHints is called.
func (a *account) addHints(rows []KnownRow) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.pendingHints = append(a.pendingHints, rows...)
}

// knownVersions returns, by share, the newest version of the row that this process has
// cached or queued. 0 means that the row is unknown or does not exist.
func (a *account) knownVersions() []store.Version {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	versions := make([]store.Version, shareCount)
	for _, known := range slices.Concat(a.publishedRows, a.pendingHints) {
		if known.Share >= 0 && known.Share < shareCount {
			versions[known.Share] = max(versions[known.Share], known.Version)
		}
	}
	return versions
}

// newerRows returns the rows that are newer than the versions that the requester has.
func newerRows(rows []KnownRow, known []store.Version) (newer []KnownRow) {
	for _, row := range rows {
		if row.Share >= len(known) || row.Version > known[row.Share] || row.Version == 0 {
			newer = append(newer, row)
		}
	}
	return newer
}

// applyHints applies the queued hints to the shares. The caller holds sharesLock.
func (a *account) applyHints() {
	a.mutex.Lock()
	hints := a.pendingHints
	a.pendingHints = nil
	a.mutex.Unlock()
	for _, known := range hints {
		if known.Share >= 0 && known.Share < shareCount {
			a.shares[known.Share].applyHint(known)
		}
	}
}

// shareOrder returns the order in which to draw from the shares: shares known to have
// tokens, then unknown ones, then those known to be exhausted, as only a stopping node
// returns tokens to them. The overdraft share comes last, as in drawOrder, but goes
// before the exhausted ones if it holds more tokens than are missing. The caller holds
// sharesLock.
func (a *account) shareOrder(budget, missing int) []int {
	a.applyHints()
	var known, unknown, exhausted []int
	for _, index := range drawOrder[:len(drawOrder)-1] {
		share := a.shares[index]
		switch {
		case !share.hasRow():
			unknown = append(unknown, index)
		case share.undrawn(a.limit(budget, index)) > 0:
			known = append(known, index)
		default:
			exhausted = append(exhausted, index)
		}
	}
	order := append(known, unknown...)
	overdraft := a.shares[overdraftShare]
	if overdraft.hasRow() && overdraft.undrawn(a.limit(budget, overdraftShare)) > missing {
		return append(append(order, overdraftShare), exhausted...)
	}
	return append(append(order, exhausted...), overdraftShare)
}
