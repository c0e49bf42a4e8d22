package dispatch

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// defaultListLimit bounds a list whose request names no limit.
const defaultListLimit = 1000

func (d *Dispatcher) handleCreate(ctx context.Context, request CreateRequest) (Program, error) {
	number := d.shardOf(request.Program)
	l := d.lead(number)
	if l == nil {
		return Program{}, d.notLeader(number)
	}
	if known, ok := l.existing(request); ok {
		return known, nil
	}
	result, err := l.create(ctx, request)
	if err != nil {
		return l.confirmNotCreated(ctx, request, err)
	}
	if !result.Existing {
		d.metrics.programs.WithLabelValues("created").Inc()
		d.Log.WithField("program", request.Program).WithField("tenant", request.Tenant).
			WithField("template", request.Template).WithField("shard", number).Info("program created")
	}
	return publicView(result.Program), nil
}

// create commits a program.
func (l *leadership) create(ctx context.Context, request CreateRequest) (program.Result, error) {
	d := l.dispatcher
	if err := d.Config.Fresh(); err != nil {
		return program.Result{}, err
	}
	if err := l.checkMemory(); err != nil {
		return program.Result{}, err
	}
	command, err := d.createCommand(request)
	if err != nil {
		return program.Result{}, err
	}
	result, err := l.propose(ctx, program.Command{Create: command})
	if err == nil && result.Fault != nil {
		return result, result.Fault
	}
	return result, err
}

// existing answers a repeated create without another commit.
func (l *leadership) existing(request CreateRequest) (known Program, found bool) {
	l.peek(func(m *program.Machine) { known, found = same(m, request) })
	return known, found
}

// same finds the program that an earlier, equal request created.
func same(m *program.Machine, request CreateRequest) (Program, bool) {
	view, problem := m.View(request.Program, request.Tenant)
	found := problem == nil && view.Tenant == request.Tenant &&
		view.Template == request.Template && view.Parent == request.Parent
	return publicView(view), found
}

// confirmNotCreated makes sure that a refused program was not created earlier,
// by an entry that this node has not yet applied.
func (l *leadership) confirmNotCreated(ctx context.Context, request CreateRequest, refusal error) (Program, error) {
	if fault.From(refusal).Ran != fault.RanNo {
		return Program{}, refusal
	}
	var known Program
	found := false
	err := l.query(ctx, func(m *program.Machine) { known, found = same(m, request) })
	if err != nil {
		return Program{}, fault.From(err).WithRan(fault.RanUnknown)
	}
	if found {
		return known, nil
	}
	return Program{}, refusal
}

// checkMemory refuses new programs when memory has run short: of the shard, or
// of this node for what the object store does not take.
func (l *leadership) checkMemory() error {
	if err := l.dispatcher.checkUnflushed(); err != nil {
		return err
	}
	limit := l.dispatcher.MemoryLimit
	if limit <= 0 {
		return nil
	}
	held := 0
	l.peek(func(m *program.Machine) { held = m.Bytes() })
	if held < limit {
		return nil
	}
	problem := fault.Newf(fault.Overloaded, "try again later or end programs that are done",
		"the programs of shard %d hold %d of %d bytes", l.shard, held, limit)
	return problem.WithRetryAfter(memoryRetryAfter)
}

func (d *Dispatcher) checkUnflushed() error {
	if d.Unflushed == nil || d.UnflushedLimit <= 0 {
		return nil
	}
	waiting := d.Unflushed()
	if waiting < d.UnflushedLimit {
		return nil
	}
	problem := fault.Newf(fault.Overloaded, "bring the object store back, or try another node later",
		"%d bytes wait for the object store, of %d allowed", waiting, d.UnflushedLimit)
	return problem.WithRetryAfter(memoryRetryAfter)
}

// memoryRetryAfter is when a caller that was refused for memory comes back.
const memoryRetryAfter = 5 * time.Second

func (d *Dispatcher) createCommand(request CreateRequest) (*program.Create, error) {
	if request.Tenant == "" || request.Program == "" {
		return nil, fault.New(fault.Invalid, "a program needs a tenant and an identifier", "send both")
	}
	current := d.Config.Current()
	effective, err := d.Resolve(current, request.Tenant, request.Template, request.Parameters)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	deadline := request.Deadline
	latest := now.Add(effective.Limits.Deadline)
	if effective.Limits.Deadline > 0 && (deadline.IsZero() || latest.Before(deadline)) {
		deadline = latest
	}
	return &program.Create{
		Time: now, Program: request.Program, Tenant: request.Tenant, Template: request.Template,
		Parameters: request.Parameters, Parent: request.Parent, Deadline: deadline,
		MaxTurns: request.MaxTurns, Idle: request.Idle, SystemPrompt: effective.SystemPrompt,
		Limits: d.limits(current, effective),
	}, nil
}

// limits are those of a program under the configuration in force.
func (d *Dispatcher) limits(current *template.Configuration, e *template.Effective) program.Limits {
	return program.Limits{
		Turns: e.Limits.Turns, Tokens: e.Limits.Tokens, Idle: e.Limits.Idle,
		SubAgents: e.Limits.SubAgents, Retention: d.Retention(current, e.Template),
	}
}

func (d *Dispatcher) handleShow(ctx context.Context, request ShowRequest) (Program, error) {
	number := d.shardOf(request.Program)
	l := d.lead(number)
	if l == nil {
		return Program{}, d.notLeader(number)
	}
	var view program.View
	var problem *fault.Error
	err := l.query(ctx, func(m *program.Machine) { view, problem = m.View(request.Program, request.Tenant) })
	if err != nil {
		return Program{}, err
	}
	if problem != nil {
		return Program{}, problem
	}
	return publicView(view), nil
}

func (d *Dispatcher) handleEnd(ctx context.Context, request EndRequest) (Program, error) {
	number := d.shardOf(request.Program)
	l := d.lead(number)
	if l == nil {
		return Program{}, d.notLeader(number)
	}
	reason := request.Reason
	if reason == "" {
		reason = "asked for"
	}
	command := program.Command{End: &program.End{Time: time.Now(), Program: request.Program, Tenant: request.Tenant, Reason: reason}}
	result, err := l.propose(ctx, command)
	if err != nil {
		return Program{}, err
	}
	if result.Fault != nil {
		return Program{}, result.Fault
	}
	return publicView(result.Program), nil
}

func (d *Dispatcher) handleList(_ context.Context, request ListRequest) (ProgramList, error) {
	limit := request.Limit
	if limit <= 0 {
		limit = defaultListLimit
	}
	var list ProgramList
	for _, l := range d.led() {
		l.peek(func(m *program.Machine) {
			for _, view := range m.List(request.Tenant, limit-len(list.Programs)) {
				list.Programs = append(list.Programs, publicView(view))
			}
		})
		if len(list.Programs) >= limit {
			break
		}
	}
	return list, nil
}

func publicView(v program.View) Program {
	return Program{
		Program: v.Program, Tenant: v.Tenant, Template: v.Template, Parent: v.Parent,
		Created: v.Created, Deadline: v.Deadline, Turns: v.Turns, Tokens: v.Tokens,
		Ended: v.Ended, Reason: v.Reason, Fault: v.Fault,
	}
}
