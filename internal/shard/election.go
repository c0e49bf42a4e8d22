package shard

import "time"

// preCampaign asks whether the others would promise, without taking a term, so
// that a replica that was cut off does not disturb a working group. One that may
// not campaign only forgets its silent leader.
func (r *Replica) preCampaign(now time.Time) {
	r.resetTimer(now)
	r.leader = ReplicaID{} // or it would go on refusing to promise for its sake
	if !r.mayCampaign() {
		return
	}
	configuration, _ := r.Configuration()
	r.role = PreCandidate
	r.granted = map[ReplicaID]bool{r.self: true}
	if r.won(configuration) {
		r.campaign(now, false)
		return
	}
	r.askVotes(MessagePreVote, r.nextPosition(), false)
}

func (r *Replica) nextPosition() Position {
	return Position{Epoch: r.position.Epoch, Term: r.position.Term + 1}
}

// campaign takes the next term and asks for promises.
func (r *Replica) campaign(now time.Time, force bool) {
	r.resetTimer(now)
	r.position = r.nextPosition()
	r.promised = r.self
	r.role, r.leader = Candidate, ReplicaID{}
	r.granted = map[ReplicaID]bool{r.self: true}
	configuration, _ := r.Configuration()
	if r.won(configuration) {
		r.lead(now)
		return
	}
	r.askVotes(MessageVote, r.position, force)
}

func (r *Replica) askVotes(kind MessageKind, position Position, force bool) {
	configuration, _ := r.Configuration()
	last, lastPosition := r.Last()
	for _, seat := range configuration.Seats {
		if seat.Replica == r.self || !seat.Voter {
			continue
		}
		r.send(Message{
			Kind: kind, To: seat.Replica, Joined: seat.Joined, Position: position, Force: force,
			Previous: last, PreviousPosition: lastPosition,
		})
	}
}

// won reports whether a majority of the voters has granted.
func (r *Replica) won(configuration Configuration) bool {
	granted := 0
	for _, seat := range configuration.Seats {
		if seat.Voter && r.granted[seat.Replica] {
			granted++
		}
	}
	return granted >= configuration.majority()
}

// upToDate reports whether a candidate's log, by its last entry, holds all that
// this replica's log may hold of committed entries. So the winner of a majority
// has the log with the highest last position and, of those, the longest.
func (r *Replica) upToDate(m Message) bool {
	last, lastPosition := r.Last()
	if order := m.PreviousPosition.Compare(lastPosition); order != 0 {
		return order > 0
	}
	return m.Previous >= last
}

// content reports whether the replica has a leader that it heard lately.
func (r *Replica) content(now time.Time) bool {
	if r.role == Leader {
		return r.hearsMajority(now)
	}
	return r.leader != ReplicaID{} && now.Sub(r.heard) < r.options.Timing.Election
}

// noteRemoved tells a campaigner whose seat has been taken away that it is so.
func (r *Replica) noteRemoved(m Message) bool {
	placed := r.log.configurationAt(r.commit)
	if _, ok := placed.configuration.Seat(m.From); ok || placed.index <= m.Own {
		return false
	}
	r.send(Message{Kind: MessageRemoved, To: m.From, Joined: m.Own, Position: r.position})
	return true
}

func (r *Replica) stepPreVote(m Message, now time.Time) {
	if r.noteRemoved(m) {
		return
	}
	r.urged = r.urged || (!r.upToDate(m) && !r.content(now))
	grant := m.Position.Compare(r.position) > 0 && r.upToDate(m) && !r.content(now)
	position := m.Position
	if !grant {
		position = r.position
	}
	r.answer(m, Message{Kind: MessagePreVoted, Position: position, Reject: !grant})
}

func (r *Replica) stepPreVoted(m Message, now time.Time) {
	if r.role == PreCandidate && m.Reject && m.Position.Compare(r.position) > 0 {
		r.follow(m.Position, ReplicaID{}, now)
		return
	}
	if r.role != PreCandidate || m.Position != r.nextPosition() || m.Reject || !r.validAnswer(m) {
		return
	}
	r.granted[m.From] = true
	if configuration, _ := r.Configuration(); r.won(configuration) {
		r.campaign(now, false)
	}
}

func (r *Replica) stepVote(m Message, now time.Time) {
	if !m.Force && r.content(now) {
		return
	}
	if m.Position.Compare(r.position) > 0 {
		r.follow(m.Position, ReplicaID{}, now)
	}
	free := r.promised == ReplicaID{} || r.promised == m.From || r.options.mutant == mutantSkipPromise
	grant := m.Position == r.position && free && r.upToDate(m)
	if grant {
		r.promised = m.From
		r.heard = now
	}
	r.answer(m, Message{Kind: MessageVoted, Position: r.position, Reject: !grant})
}

func (r *Replica) stepVoted(m Message, now time.Time) {
	if m.Position.Compare(r.position) > 0 {
		r.follow(m.Position, ReplicaID{}, now)
		return
	}
	if r.role != Candidate || m.Position != r.position || m.Reject || !r.validAnswer(m) {
		return
	}
	r.granted[m.From] = true
	if configuration, _ := r.Configuration(); r.won(configuration) {
		r.lead(now)
	}
}

// validAnswer reports whether an answer comes from the seat that is known here.
func (r *Replica) validAnswer(m Message) bool {
	configuration, _ := r.Configuration()
	seat, ok := configuration.Seat(m.From)
	return ok && (seat.Joined == m.Own || r.options.mutant == mutantVoteAfterAmnesia)
}

// stepTakeOver campaigns at once because the leader asks for it.
func (r *Replica) stepTakeOver(m Message, now time.Time) {
	if m.Position != r.position || r.role != Follower {
		return
	}
	if r.votes() {
		r.campaign(now, true)
	}
}
