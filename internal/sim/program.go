package sim

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/placement"
	"github.com/cloverwheel/cloverwheel/internal/worker"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

const (
	// maxAttempts bounds the attempts that a leader makes of one call.
	maxAttempts = 3
	// clientRetry is how long a caller waits after an error that names no time.
	clientRetry = time.Second
)

// tree is what a root program and its sub-agents share.
type tree struct {
	attained int // tokens of service
	started  time.Time
	deadline time.Time // zero: none
	result   *Program
}

// program is one program under way, both its caller and its leader's state.
type program struct {
	simulation *simulation
	script     *workload.ProgramScript
	tree       *tree
	turn       int // from 0
	prefix     chat.Prefix
	home       id.Worker
	used       []*backend // that ran calls of it
	call       *call
	onEnd      func()
}

// call is one call of a program, over all its attempts.
type call struct {
	program  *program
	number   uint64
	arrived  time.Time
	attempts int
	exclude  []id.Worker
	exported worker.Import // copy of the program's context, found by the last probes
	prefix   chat.Prefix
	fresh    int // segments that no earlier call sent
}

// attempt is one attempt of a call at one worker.
type attempt struct {
	call     *call
	backend  *backend
	request  id.Request
	imported worker.Import
}

func (p *program) sim() *simulation { return p.simulation }

// begin makes the first call.
func (p *program) begin() {
	p.prefix = workload.Extend(nil, p.script.System...)
	p.send()
}

// send makes the call of the present turn: from the caller to the leader.
func (p *program) send() {
	turn := p.script.Turns[p.turn]
	prefix := workload.Extend(p.prefix, turn.Input...)
	fresh := len(turn.Input)
	if p.turn > 0 {
		fresh++ // the answer before is new as a part of a prompt
	}
	p.call = &call{program: p, number: uint64(p.turn + 1), prefix: prefix, fresh: fresh}
	p.resend()
}

// resend sends the present call to the leader.
func (p *program) resend() {
	p.call.exclude = nil
	arrive := p.sim().network.clientTo(p.sim().leaderZone(p.script))
	p.sim().clock.after(arrive, func() {
		p.call.arrived = p.sim().clock.now
		p.call.place()
	})
}

// place probes candidates and sends the call to the best.
func (c *call) place() {
	s := c.program.sim()
	zone := s.leaderZone(c.program.script)
	candidates := s.candidates(c)
	if len(candidates) == 0 {
		s.clock.after(clientRetry, c.place)
		return
	}
	load, _ := s.policy.Place.Probes()
	if !load {
		c.choose(s.unprobed(candidates, zone))
		return
	}
	oneWay := s.network.furthest(zone, candidates)
	s.clock.after(oneWay, func() {
		probed := s.probe(c, candidates, zone)
		s.clock.after(oneWay, func() { c.choose(probed) })
	})
}

// choose takes a candidate and sends the attempt to its owner.
func (c *call) choose(candidates []placement.Candidate) {
	s := c.program.sim()
	s.decisions++
	query := placement.Query{
		Program:  c.program.script.Program,
		Model:    modelName,
		Tokens:   c.prefix.Tokens() + c.turn().MaxTokens,
		Home:     c.program.home,
		Zone:     s.leaderZone(c.program.script),
		Exclude:  c.exclude,
		Sequence: s.decisions,
	}
	decision, err := placement.Choose(query, candidates, s.policy.Place, s.random)
	if err != nil {
		c.refused(fault.From(err))
		return
	}
	c.attempts++
	chosen := s.backend(decision.Worker)
	a := &attempt{call: c, backend: chosen, imported: c.exported}
	a.request = id.NewRequest(c.program.script.Program, c.number, c.attempts)
	s.clock.after(s.network.between(query.Zone, chosen.zone), func() { chosen.enqueue(a) })
}

func (c *call) turn() workload.Turn { return c.program.script.Turns[c.program.turn] }

// profile is what the leader tells of the call.
func (c *call) profile() worker.Profile {
	p := c.program
	return worker.Profile{
		Priority:      p.script.Priority,
		Attained:      p.tree.attained,
		Remaining:     p.sim().history.remaining(p.script.Template, p.tree.attained),
		Turn:          int(c.number),
		Started:       p.tree.started,
		Arrived:       c.arrived,
		Deadline:      p.tree.deadline,
		ExpectedPause: c.hint(),
	}
}

// hint is the caller's expectation of its pause; unknown with sub-agents.
func (c *call) hint() time.Duration {
	if len(c.turn().SubAgents) > 0 {
		return 0
	}
	return c.turn().Hint
}

func (a *attempt) job() worker.Job {
	p := a.call.program
	return worker.Job{
		Worker:     a.backend.name,
		Request:    a.request,
		Program:    p.script.Program,
		Tenant:     p.script.Tenant,
		Model:      modelName,
		Prefix:     a.call.prefix,
		MaxTokens:  a.call.turn().MaxTokens,
		Repeatable: true,
		Profile:    a.call.profile(),
		Import:     a.imported,
	}
}

func (a *attempt) engineRequest(priority int) enginemodel.Request {
	p := a.call.program
	return enginemodel.Request{
		ID:           a.request,
		Program:      p.script.Program,
		Prefix:       a.call.prefix,
		OutputTokens: a.call.turn().OutputTokens,
		Priority:     priority,
		Answer:       a.call.answer(),
		Last:         p.turn == len(p.script.Turns)-1,
		Fresh:        a.call.fresh,
	}
}

// answer is the answer's segment in the next call's prefix.
func (c *call) answer() chat.Segment {
	extended := workload.Extend(c.prefix, c.program.script.Answer(c.program.turn))
	return extended[len(extended)-1]
}

// failed handles an attempt that ended without an answer. A refusal has a
// cause; an attempt without one was lost at the engine.
func (a *attempt) failed(cause *fault.Error) {
	c := a.call
	s := c.program.sim()
	s.clock.after(s.network.between(a.backend.zone, s.leaderZone(c.program.script)), func() {
		if cause != nil && cause.RetryAfter > 0 {
			c.refused(cause)
			return
		}
		s.result.Retries++
		c.exclude = append(c.exclude, a.backend.name)
		if c.attempts%maxAttempts == 0 {
			c.refused(fault.New(fault.EngineFailed, "all attempts failed", "try again"))
			return
		}
		c.place()
	})
}

// refused gives the caller its final answer; the caller comes back later.
func (c *call) refused(cause *fault.Error) {
	s := c.program.sim()
	s.result.Refusals[cause.Code]++
	wait := cause.RetryAfter
	if wait == 0 {
		wait = clientRetry
	}
	jitter := time.Duration(s.random.Float64() * float64(wait) / 2)
	s.clock.after(wait+jitter, c.program.resend)
}

// finished handles the whole answer of an attempt, at the worker's owner.
func (a *attempt) finished(usage chat.Usage) {
	c := a.call
	p := c.program
	s := p.sim()
	s.result.Calls++
	if p.home != "" && p.home != a.backend.name {
		s.result.Moves++
	}
	p.home = a.backend.name
	if !slices.Contains(p.used, a.backend) {
		p.used = append(p.used, a.backend)
	}
	service := usage.PromptTokens - usage.CachedTokens + usage.OutputTokens
	p.tree.attained += service
	p.tree.result.Tokens += usage.OutputTokens
	leader := s.leaderZone(p.script)
	toLeader := s.network.between(a.backend.zone, leader)
	p.prefix = answerPrefix(c.prefix, c.answer())
	notice := worker.PauseNotice{
		Worker:   a.backend.name,
		Program:  p.script.Program,
		Prefix:   p.prefix,
		Expected: c.hint(),
		Priority: p.script.Priority,
	}
	s.clock.after(2*toLeader, func() { a.backend.pause(notice) })
	s.clock.after(toLeader+s.network.clientTo(leader), p.answered)
}

// answered is the caller's side: it runs tools and sub-agents, or is done.
func (p *program) answered() {
	turn := p.script.Turns[p.turn]
	if p.turn == len(p.script.Turns)-1 {
		p.end()
		return
	}
	p.turn++
	left := len(turn.SubAgents)
	next := func() { p.sim().clock.after(turn.Pause, p.send) }
	if left == 0 {
		next()
		return
	}
	for i := range turn.SubAgents {
		agent := p.sim().newProgram(&turn.SubAgents[i], p.tree)
		agent.onEnd = func() {
			if left--; left == 0 {
				next()
			}
		}
		agent.begin()
	}
}

// end tells the owners that the program is gone.
func (p *program) end() {
	s := p.sim()
	leader := s.leaderZone(p.script)
	for _, used := range p.used {
		wait := s.network.clientTo(leader) + s.network.between(leader, used.zone)
		s.clock.after(wait, func() { used.endProgram(p.script.Program) })
	}
	s.forgetImage(p.script.Program)
	p.onEnd()
}

func (b *backend) pause(notice worker.PauseNotice) {
	if !b.ownerDown {
		b.do(b.owner.Pause(b.now(), notice))
		b.pump()
	}
}

func (b *backend) endProgram(program id.Program) {
	if !b.ownerDown {
		b.do(b.owner.EndProgram(b.now(), program))
		b.pump()
	}
}
