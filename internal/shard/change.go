package shard

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// ChangeKind tells membership changes apart.
type ChangeKind uint8

// The kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1
	PromoteLearner
	RemoveMember
)

// Change is one membership change.
type Change struct {
	Kind ChangeKind
	Seat Seat // of AddLearner, without Joined; otherwise only Replica counts
}

// ProposeChange appends a membership change. Only one may be under way, only
// after the leader has committed an entry of its own term, and a learner is
// promoted only once it holds all that is committed. A leader never removes
// itself: it would hold the longest log and yet not campaign if it failed
// meanwhile. It transfers the leadership first.
func (r *Replica) ProposeChange(change Change, now time.Time) error {
	if r.role != Leader || r.transferTo != (ReplicaID{}) {
		return fault.New(fault.NotLeader, "this replica does not lead the group", "ask the leader")
	}
	placed := r.log.configuration()
	if (placed.index > r.commit || !r.Ready()) && r.options.mutant != mutantTwoChangesAtOnce {
		return fault.New(fault.Conflict, "another membership change is under way", "try again when it is done")
	}
	next, err := r.changed(placed.configuration, change)
	if err != nil {
		return err
	}
	r.appendEntry(Entry{Kind: EntryConfiguration, Configuration: &next}, now)
	return nil
}

// changed returns the configuration after a change.
func (r *Replica) changed(configuration Configuration, change Change) (Configuration, error) {
	seats := slices.Clone(configuration.Seats)
	at := slices.IndexFunc(seats, func(s Seat) bool { return s.Replica == change.Seat.Replica })
	switch {
	case change.Kind == AddLearner && at < 0:
		seat := change.Seat
		seat.Joined, seat.Voter = r.log.last()+1, false
		seats = append(seats, seat)
	case change.Kind == PromoteLearner && at >= 0 && !seats[at].Voter && r.caughtUp(seats[at]):
		seats[at].Voter = true
	case change.Kind == RemoveMember && at >= 0 && change.Seat.Replica != r.self:
		seats = slices.Delete(seats, at, at+1)
	default:
		return Configuration{}, fault.New(fault.Invalid, "the membership change does not fit the group", "look at its members and try again")
	}
	return Configuration{Seats: seats}, nil
}

// caughtUp reports whether a member holds all that is committed.
func (r *Replica) caughtUp(seat Seat) bool {
	p, ok := r.progress[seat.Replica]
	return seat.Replica == r.self || (ok && p.match >= r.commit)
}
