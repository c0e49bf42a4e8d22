package shard

import (
	"slices"
	"time"
)

// maxOutstanding limits the entries sent ahead of their acknowledgement.
const maxOutstanding = 4096

// progress is what a leader knows of another member.
type progress struct {
	joined     uint64
	match      uint64 // highest index acknowledged
	next       uint64 // next index to send
	probing    bool   // next is a guess: send one message and wait
	sent       time.Time
	heard      time.Time
	sentCommit uint64 // commit index last told
	read       uint64 // highest read round confirmed
}

// pendingRead waits for a majority to confirm the leadership.
type pendingRead struct {
	token, round, index uint64
}

// lead begins the leadership of the current position.
func (r *Replica) lead(now time.Time) {
	r.role, r.leader, r.granted = Leader, r.self, nil
	r.progress = map[ReplicaID]*progress{}
	r.reads, r.readRound, r.transferTo = nil, 0, ReplicaID{}
	r.syncProgress(now)
	r.termStart = r.log.last() + 1
	r.appendEntry(Entry{Kind: EntryEmpty}, now)
}

// syncProgress keeps one progress for each other seat.
func (r *Replica) syncProgress(now time.Time) {
	configuration, _ := r.Configuration()
	for replica, p := range r.progress {
		if seat, ok := configuration.Seat(replica); !ok || seat.Joined != p.joined {
			delete(r.progress, replica)
		}
	}
	for _, seat := range configuration.Seats {
		if _, ok := r.progress[seat.Replica]; !ok && seat.Replica != r.self {
			r.progress[seat.Replica] = &progress{joined: seat.Joined, next: r.log.last() + 1, probing: true, heard: now}
		}
	}
}

// appendEntry adds an entry of the own position and sends it on.
func (r *Replica) appendEntry(entry Entry, now time.Time) uint64 {
	entry.Position = r.position
	r.log.append(entry)
	if entry.Kind == EntryConfiguration {
		r.syncProgress(now)
	}
	r.commitMajority()
	r.sendAll(now)
	return r.log.last()
}

// Propose appends a command. It returns false when the replica does not lead or
// is handing its leadership over.
func (r *Replica) Propose(command []byte, now time.Time) (uint64, Position, bool) {
	if r.role != Leader || r.transferTo != (ReplicaID{}) {
		return 0, Position{}, false
	}
	return r.appendEntry(Entry{Kind: EntryCommand, Data: command}, now), r.position, true
}

func (r *Replica) sendAll(now time.Time) {
	configuration, _ := r.Configuration()
	for _, seat := range configuration.Seats {
		if p, ok := r.progress[seat.Replica]; ok {
			r.sendEntries(seat, p, now)
		}
	}
}

// sendEntries sends what a member lacks, as far as the window allows.
func (r *Replica) sendEntries(seat Seat, p *progress, now time.Time) {
	for p.next <= r.log.last() && p.next-p.match <= maxOutstanding {
		if p.probing && p.sent.Add(r.options.Timing.Resend).After(now) {
			return
		}
		if !r.sendAppend(seat, p, now) || p.probing {
			return
		}
	}
}

// sendAppend sends one message from p.next on, possibly without entries. It
// offers a snapshot instead when the entries are compacted away.
func (r *Replica) sendAppend(seat Seat, p *progress, now time.Time) bool {
	p.sent = now
	previous := p.next - 1
	position, ok := r.log.positionAt(previous)
	if !ok {
		r.send(Message{Kind: MessageOffer, To: seat.Replica, Joined: seat.Joined, Position: r.position, Match: r.emitted})
		return false
	}
	entries := r.log.from(p.next, r.options.MessageBytes)
	r.send(Message{
		Kind: MessageAppend, To: seat.Replica, Joined: seat.Joined, Position: r.position,
		Previous: previous, PreviousPosition: position, Entries: entries, Commit: r.commit, Read: r.readRound,
	})
	if !p.probing {
		p.next += uint64(len(entries))
	}
	p.sentCommit = r.commit
	return true
}

// stepAppended takes a member's acknowledgement or refusal.
func (r *Replica) stepAppended(m Message, now time.Time) {
	if m.Position.Compare(r.position) > 0 {
		r.follow(m.Position, ReplicaID{}, now)
		return
	}
	p, ok := r.progress[m.From]
	if r.role != Leader || m.Position != r.position || !ok || (p.joined != m.Own && r.options.mutant != mutantVoteAfterAmnesia) {
		return
	}
	p.heard = now
	p.read = max(p.read, m.Read)
	r.confirmReads(now)
	configuration, _ := r.Configuration()
	seat, _ := configuration.Seat(m.From)
	if m.Reject {
		r.stepBack(seat, p, m, now)
		return
	}
	p.match = max(p.match, m.Match)
	p.next = max(p.next, p.match+1)
	p.probing = false
	r.commitMajority()
	if r.role == Leader {
		r.sendEntries(seat, p, now)
		r.finishTransfer(now)
	}
}

// stepBack looks for the place where a member's log agrees with the leader's.
func (r *Replica) stepBack(seat Seat, p *progress, m Message, now time.Time) {
	if m.Previous <= p.match || m.Previous >= p.next {
		return
	}
	p.next = max(p.match, min(m.Match, m.Previous-1)) + 1
	p.probing = true
	r.sendAppend(seat, p, now)
}

// commitMajority commits what a majority of the voters holds. Entries of
// earlier positions count only under one of the own.
func (r *Replica) commitMajority() {
	configuration, _ := r.Configuration()
	var matches []uint64
	for _, seat := range configuration.Seats {
		if !seat.Voter {
			continue
		}
		if seat.Replica == r.self {
			matches = append(matches, r.log.last())
		} else {
			matches = append(matches, r.progress[seat.Replica].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-configuration.majority()]
	position, _ := r.log.positionAt(index)
	if index <= r.commit || (position != r.position && r.options.mutant != mutantCommitEarlierTerm) {
		return
	}
	before := r.commit
	r.advance(index)
	r.afterCommit(before)
}

// afterCommit tells the members that a committed configuration removes.
func (r *Replica) afterCommit(before uint64) {
	placed := r.log.configuration()
	if placed.index <= before || placed.index > r.commit {
		return
	}
	previous := r.log.configurationAt(placed.index - 1)
	for _, seat := range previous.configuration.Seats {
		if _, ok := placed.configuration.Seat(seat.Replica); !ok && seat.Replica != r.self {
			r.send(Message{Kind: MessageRemoved, To: seat.Replica, Joined: seat.Joined, Position: r.position})
		}
	}
}

// hearsMajority reports whether a majority of the voters answered lately.
func (r *Replica) hearsMajority(now time.Time) bool {
	configuration, _ := r.Configuration()
	heard := 0
	for _, seat := range configuration.Seats {
		p, ok := r.progress[seat.Replica]
		if seat.Voter && (!ok || now.Sub(p.heard) < r.options.Timing.Election) {
			heard++
		}
	}
	return heard >= configuration.majority()
}

// tickLeader repeats what was not answered, and steps down when cut off.
func (r *Replica) tickLeader(now time.Time) {
	if !r.hearsMajority(now) {
		r.follow(r.position, ReplicaID{}, now)
		return
	}
	if r.transferTo != (ReplicaID{}) && now.After(r.transferBy) {
		r.transferTo = ReplicaID{}
	}
	configuration, _ := r.Configuration()
	for _, seat := range configuration.Seats {
		if p, ok := r.progress[seat.Replica]; ok {
			r.repair(seat, p, now)
		}
	}
}

// repair sends a member again what it has not acknowledged, the commit index
// that it has not heard, and a read round that waits.
func (r *Replica) repair(seat Seat, p *progress, now time.Time) {
	if p.sent.Add(r.options.Timing.Resend).After(now) {
		if p.sentCommit < r.commit && !p.probing {
			r.sendAppend(seat, p, now)
		}
		return
	}
	behind := p.match < r.log.last()
	if behind {
		p.next, p.probing = p.match+1, true
	}
	if behind || p.sentCommit < r.commit || (len(r.reads) > 0 && p.read < r.readRound) {
		r.sendAppend(seat, p, now)
	}
}

// Read asks for a confirmation of the leadership. The token comes back in
// Output.Reads or Output.Dropped. It returns false while the replica does not
// lead or does not yet know all that is committed.
func (r *Replica) Read(now time.Time) (uint64, bool) {
	if !r.Ready() {
		return 0, false
	}
	r.readToken++
	running := len(r.reads) > 0 && !r.roundDone(r.readRound)
	round := r.readRound + 1
	r.reads = append(r.reads, pendingRead{token: r.readToken, round: round, index: r.commit})
	if !running {
		r.startRound(now)
	}
	return r.readToken, true
}

// startRound asks all voters to confirm the reads that wait.
func (r *Replica) startRound(now time.Time) {
	r.readRound++
	configuration, _ := r.Configuration()
	for _, seat := range configuration.Seats {
		if p, ok := r.progress[seat.Replica]; ok && seat.Voter {
			r.sendAppend(seat, p, now)
		}
	}
	r.confirmReads(now)
}

func (r *Replica) roundDone(round uint64) bool {
	configuration, _ := r.Configuration()
	confirmed := 0
	for _, seat := range configuration.Seats {
		p, ok := r.progress[seat.Replica]
		if seat.Voter && (!ok || p.read >= round) {
			confirmed++
		}
	}
	return confirmed >= configuration.majority()
}

// confirmReads gives out the reads of finished rounds and starts the next one.
func (r *Replica) confirmReads(now time.Time) {
	var waiting []pendingRead
	for _, read := range r.reads {
		if read.round <= r.readRound && r.roundDone(read.round) {
			r.output.Reads = append(r.output.Reads, read.token)
		} else {
			waiting = append(waiting, read)
		}
	}
	changed := len(waiting) < len(r.reads)
	r.reads = waiting
	if changed && len(waiting) > 0 && waiting[0].round > r.readRound {
		r.startRound(now)
	}
}

func (r *Replica) dropReads() {
	for _, read := range r.reads {
		r.output.Dropped = append(r.output.Dropped, read.token)
	}
	r.reads = nil
}

// Transfer hands the leadership to a voter, once all that is in the log is
// committed and the voter has it. New commands are refused meanwhile.
func (r *Replica) Transfer(to ReplicaID, now time.Time) bool {
	configuration, _ := r.Configuration()
	seat, ok := configuration.Seat(to)
	if r.role != Leader || !ok || !seat.Voter || to == r.self || r.transferTo != (ReplicaID{}) {
		return false
	}
	r.transferTo, r.transferBy = to, now.Add(r.options.Timing.Election)
	r.finishTransfer(now)
	return true
}

func (r *Replica) finishTransfer(now time.Time) {
	p, ok := r.progress[r.transferTo]
	if !ok || r.commit < r.log.last() || p.match < r.log.last() {
		return
	}
	r.send(Message{Kind: MessageTakeOver, To: r.transferTo, Joined: p.joined, Position: r.position})
}
