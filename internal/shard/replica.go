package shard

import (
	"math/rand/v2"
	"time"
)

// mutant weakens one rule of the protocol, so that tests can show that they
// would notice. The zero value weakens none.
type mutant uint8

const (
	mutantNone mutant = iota
	mutantSkipPromise
	mutantAcceptStaleTerm
	mutantVoteAfterAmnesia
	mutantTwoChangesAtOnce
	mutantCommitEarlierTerm
)

// ReplicaOptions starts a Replica.
type ReplicaOptions struct {
	Self   ReplicaID
	Epoch  uint64       // of the group
	Joined uint64       // of the own seat
	Start  SnapshotMeta // what the machine's state holds already
	// Position and Promised carry over what this process promised before its
	// seat was last taken away.
	Position Position
	Promised ReplicaID
	Timing   Timing
	Random   *rand.Rand
	Now      time.Time
	// MessageBytes limits the entries of one append message; zero means the default.
	MessageBytes int
	mutant       mutant
}

// Replica is one member of a group: a pure state machine without I/O or clock.
// It is not safe for concurrent use. After each call, Take returns what is to
// be done.
type Replica struct {
	options  ReplicaOptions
	self     ReplicaID
	position Position  // highest promised or seen
	promised ReplicaID // candidate that position was promised to
	log      entryLog
	commit   uint64
	emitted  uint64 // highest index given out as committed

	role    Role
	leader  ReplicaID // zero: unknown
	heard   time.Time // of the leader, or start of the campaign
	wait    time.Duration
	granted map[ReplicaID]bool
	urged   bool // a learner whose log a voter's campaign failed at

	progress   map[ReplicaID]*progress // of the other members, while leading
	termStart  uint64                  // index of the first entry of the own term
	reads      []pendingRead
	readToken  uint64
	readRound  uint64
	transferTo ReplicaID
	transferBy time.Time

	output Output
}

// NewReplica returns a follower.
func NewReplica(options ReplicaOptions) *Replica {
	setDefault(&options.MessageBytes, defaultMessageBytes)
	r := &Replica{
		options:  options,
		self:     options.Self,
		position: options.Position,
		promised: options.Promised,
		log:      newEntryLog(options.Start),
		commit:   options.Start.Index,
		emitted:  options.Start.Index,
	}
	if r.position.Epoch < options.Epoch {
		r.position, r.promised = Position{Epoch: options.Epoch}, ReplicaID{}
	}
	r.resetTimer(options.Now)
	return r
}

// Take returns and clears the pending output.
func (r *Replica) Take() Output {
	output := r.output
	r.output = Output{}
	return output
}

// Role returns what the replica does now.
func (r *Replica) Role() Role { return r.role }

// Position returns the highest position that the replica has promised or seen.
func (r *Replica) Position() Position { return r.position }

// Promised returns the candidate that the position was promised to.
func (r *Replica) Promised() ReplicaID { return r.promised }

// Leader returns the leader that the replica follows; zero means unknown.
func (r *Replica) Leader() ReplicaID { return r.leader }

// Last returns the index and position of the last entry.
func (r *Replica) Last() (uint64, Position) { return r.log.last(), r.log.lastPosition() }

// Commit returns the highest index known to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// Joined returns the index of the entry that gave the replica its seat.
func (r *Replica) Joined() uint64 { return r.options.Joined }

// Configuration returns the newest configuration of the log and its index.
func (r *Replica) Configuration() (Configuration, uint64) {
	placed := r.log.configuration()
	return placed.configuration, placed.index
}

// Ready reports whether the replica leads and knows all that is committed.
func (r *Replica) Ready() bool { return r.role == Leader && r.commit >= r.termStart }

// Meta describes the state after the entries given out so far.
func (r *Replica) Meta() SnapshotMeta {
	position, _ := r.log.positionAt(r.emitted)
	placed := r.log.configurationAt(r.emitted)
	return SnapshotMeta{r.emitted, position, placed.configuration, placed.index}
}

// Tail returns the entries after index, or false when some are compacted.
func (r *Replica) Tail(index uint64) ([]Entry, bool) {
	if index < r.log.base || index > r.log.last() {
		return nil, false
	}
	return append([]Entry(nil), r.log.entries[index-r.log.base:]...), true
}

// LogBytes estimates the memory of the entries held.
func (r *Replica) LogBytes() int { return r.log.bytes }

// Compact drops the entries up to index, which must have been given out.
func (r *Replica) Compact(index uint64) { r.log.compact(min(index, r.emitted)) }

// HeardLeader notes that the leader of position is alive, as a beat says.
func (r *Replica) HeardLeader(now time.Time) { r.heard = now }

// HeardMember notes that a member still follows this leader.
func (r *Replica) HeardMember(member ReplicaID, at time.Time) {
	if p, ok := r.progress[member]; ok && at.After(p.heard) {
		p.heard = at
	}
}

// Tick lets time pass.
func (r *Replica) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now.Sub(r.heard) >= r.wait || r.alone() {
		r.preCampaign(now)
	}
}

// votes reports whether the replica has a vote by the newest configuration that
// it knows. A seat that it had earlier and lost, which it may read of while it
// catches up, is not its own.
func (r *Replica) votes() bool {
	configuration, _ := r.Configuration()
	seat, ok := configuration.Seat(r.self)
	return ok && seat.Voter && seat.Joined == r.options.Joined
}

// mayCampaign reports whether the replica may ask for promises: a voter always,
// a learner only when a campaign failed at its better log. It wins by the
// promises of the voters that it knows, its own does not count.
func (r *Replica) mayCampaign() bool {
	if r.votes() {
		return true
	}
	configuration, _ := r.Configuration()
	seat, ok := configuration.Seat(r.self)
	return r.urged && ok && seat.Joined == r.options.Joined
}

// alone reports whether the replica is the only voter.
func (r *Replica) alone() bool {
	configuration, _ := r.Configuration()
	return r.votes() && configuration.Voters() == 1
}

// Step takes in a message of another member.
func (r *Replica) Step(m Message, now time.Time) {
	if m.To != r.self || m.Position.Epoch != r.options.Epoch {
		return
	}
	switch m.Kind {
	case MessageAppend, MessageOffer, MessageTakeOver, MessagePreVote, MessageVote:
		if m.Joined != r.options.Joined && r.options.mutant != mutantVoteAfterAmnesia {
			return
		}
	case MessageRemoved:
		r.stepRemoved(m)
		return
	}
	switch m.Kind {
	case MessagePreVote:
		r.stepPreVote(m, now)
	case MessageVote:
		r.stepVote(m, now)
	case MessagePreVoted:
		r.stepPreVoted(m, now)
	case MessageVoted:
		r.stepVoted(m, now)
	case MessageAppend:
		r.stepAppend(m, now)
	case MessageAppended, MessageInstalled:
		r.stepAppended(m, now)
	case MessageTakeOver:
		r.stepTakeOver(m, now)
	case MessageOffer:
		r.stepOffer(m, now)
	}
}

// follow makes the replica a follower at position. leader may be unknown.
func (r *Replica) follow(position Position, leader ReplicaID, now time.Time) {
	if position.Compare(r.position) > 0 {
		r.position, r.promised = position, ReplicaID{}
	}
	if r.role == Leader {
		r.dropReads()
	}
	r.role, r.leader = Follower, leader
	r.progress, r.granted, r.transferTo = nil, nil, ReplicaID{}
	r.urged = r.urged && leader == ReplicaID{}
	r.resetTimer(now)
}

// resetTimer starts a new, randomly long wait for a leader.
func (r *Replica) resetTimer(now time.Time) {
	r.heard = now
	r.wait = r.options.Timing.Election
	if r.options.Random != nil && r.wait > 0 {
		r.wait += time.Duration(r.options.Random.Int64N(int64(r.wait)))
	}
}

func (r *Replica) send(m Message) {
	m.From, m.Own = r.self, r.options.Joined
	r.output.Messages = append(r.output.Messages, m)
}

// answer sends m back to the sender of request.
func (r *Replica) answer(request, m Message) {
	m.To = request.From
	r.send(m)
}

// stepAppend takes entries from the leader of a position.
func (r *Replica) stepAppend(m Message, now time.Time) {
	if m.Position.Compare(r.position) < 0 && r.options.mutant != mutantAcceptStaleTerm {
		r.answer(m, Message{Kind: MessageAppended, Position: r.position, Reject: true, Previous: m.Previous, Match: r.commit})
		return
	}
	r.hearLeader(m, now)
	if m.Previous < r.commit {
		m = skipCommitted(m, r.commit, r.log)
	}
	if position, ok := r.log.positionAt(m.Previous); !ok || position != m.PreviousPosition {
		hint := r.commit
		if !ok && m.Previous > r.log.last() {
			hint = r.log.last()
		}
		r.answer(m, Message{Kind: MessageAppended, Position: r.position, Reject: true, Previous: m.Previous, Match: hint, Read: m.Read})
		return
	}
	r.takeEntries(m)
	match := m.Previous + uint64(len(m.Entries))
	r.advance(min(m.Commit, match))
	r.answer(m, Message{Kind: MessageAppended, Position: m.Position, Match: match, Read: m.Read})
}

// hearLeader follows the sender of an append or offer.
func (r *Replica) hearLeader(m Message, now time.Time) {
	if m.Position.Compare(r.position) > 0 || r.role != Follower || r.leader != m.From {
		r.follow(m.Position, m.From, now)
	}
	r.heard = now
}

// skipCommitted cuts off the entries that the receiver has committed already,
// which are the same at the leader.
func skipCommitted(m Message, commit uint64, log entryLog) Message {
	skip := min(commit-m.Previous, uint64(len(m.Entries)))
	if skip < commit-m.Previous {
		m.Entries = nil
	} else {
		m.Entries = m.Entries[skip:]
	}
	m.Previous = commit
	m.PreviousPosition, _ = log.positionAt(commit)
	return m
}

// takeEntries appends what is missing, and drops what contradicts the leader.
func (r *Replica) takeEntries(m Message) {
	for i, entry := range m.Entries {
		index := m.Previous + 1 + uint64(i)
		if position, ok := r.log.positionAt(index); ok {
			if position == entry.Position {
				continue
			}
			r.log.truncate(index - 1)
		}
		r.log.append(entry)
	}
}

// advance commits up to index and gives the entries out.
func (r *Replica) advance(index uint64) {
	if index <= r.commit {
		return
	}
	r.commit = index
	for r.emitted < r.commit {
		r.emitted++
		r.output.Committed = append(r.output.Committed, Applied{r.emitted, r.log.at(r.emitted)})
	}
}

// stepOffer notes that the leader lives; the host fetches the snapshot.
func (r *Replica) stepOffer(m Message, now time.Time) {
	if m.Position.Compare(r.position) >= 0 {
		r.hearLeader(m, now)
	}
}

// Install replaces the log by a snapshot that the leader of position gave. It
// returns false when the replica has as much already; otherwise the caller
// restores the machine's state.
func (r *Replica) Install(meta SnapshotMeta, offer Message, now time.Time) bool {
	if offer.Position.Compare(r.position) < 0 || offer.Position.Epoch != r.options.Epoch || offer.Joined != r.options.Joined {
		return false
	}
	r.hearLeader(offer, now)
	position, held := r.log.positionAt(meta.Index)
	agrees := held && position == meta.Position
	installed := meta.Index > r.commit && !agrees
	switch {
	case agrees: // the entries after it may be acknowledged and must stay
		r.advance(meta.Index)
	case installed:
		r.log = newEntryLog(meta)
		r.commit, r.emitted = meta.Index, meta.Index
	}
	r.answer(offer, Message{Kind: MessageInstalled, Position: r.position, Match: r.commit})
	return installed
}

// stepRemoved believes a member that has committed a configuration without this
// seat: a seat, once taken away, never comes back.
func (r *Replica) stepRemoved(m Message) {
	if m.Joined == r.options.Joined {
		r.output.Removed = true
	}
}
