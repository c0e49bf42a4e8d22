package budget

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// KnownRow is a row of a program's account as a process last knew it. It spares another process
// the reading of the row, and decides nothing: what that draws is conditional on the row's version,
// and a budget is spent by the table's own word alone.
type KnownRow struct {
	Share   int // which of the account's rows
	Version store.Version
	Row     row
}

// hint takes over what another process knows of the row, if that is newer. Transactions of unknown
// effect are told by the table's row alone.
func (s *share) hint(told KnownRow) {
	if len(s.unsure) > 0 || s.informed() && told.Version <= s.version {
		return
	}
	s.known, s.version, s.hinted = told.Row, told.Version, true
}

// informed reports whether anything is known of the row.
func (s *share) informed() bool { return s.seen || s.hinted }

// publish shows other processes what is known of the rows. The caller holds the turn.
func (a *account) publish() {
	a.takeHints()
	var rows []KnownRow
	for index, share := range a.shares {
		if share.informed() {
			rows = append(rows, KnownRow{Share: index, Version: share.version, Row: share.known})
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.rows = rows
}

// noteTold keeps what another process knows of the rows, until the turn's holder takes it over.
func (a *account) noteTold(rows []KnownRow) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.told = append(a.told, rows...)
}

// versions are those of the rows as this process knows them or was told; 0: unknown, or no row.
func (a *account) versions() []store.Version {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	versions := make([]store.Version, shares)
	for _, known := range slices.Concat(a.rows, a.told) {
		if known.Share >= 0 && known.Share < shares {
			versions[known.Share] = max(versions[known.Share], known.Version)
		}
	}
	return versions
}

// newer are the rows that an asker does not know, or in an older version.
func newer(rows []KnownRow, known []store.Version) (told []KnownRow) {
	for _, row := range rows {
		if row.Share >= len(known) || row.Version > known[row.Share] || row.Version == 0 {
			told = append(told, row)
		}
	}
	return told
}

// takeHints takes over what other processes have told. The caller holds the turn.
func (a *account) takeHints() {
	a.mutex.Lock()
	told := a.told
	a.told = nil
	a.mutex.Unlock()
	for _, known := range told {
		if known.Share >= 0 && known.Share < shares {
			a.shares[known.Share].hint(known)
		}
	}
}

// order is the order in which a turn that lacks tokens draws from the shares: first those of which
// it is known that some are left, last those that are known to be used up, to which only a node that
// stops gives tokens back. The elastic share comes after the others, as in drawOrder, except for
// used up ones where it holds more than lacks. The caller holds the turn.
func (a *account) order(budget, lacking int) []int {
	a.takeHints()
	var known, unknown, used []int
	for _, index := range drawOrder[:len(drawOrder)-1] {
		share := a.shares[index]
		switch {
		case !share.informed():
			unknown = append(unknown, index)
		case share.left(a.limit(budget, index)) > 0:
			known = append(known, index)
		default:
			used = append(used, index)
		}
	}
	order := append(known, unknown...)
	elastic := a.shares[elasticShare]
	if elastic.informed() && elastic.left(a.limit(budget, elasticShare)) > lacking {
		return append(append(order, elasticShare), used...)
	}
	return append(append(order, used...), elasticShare)
}
