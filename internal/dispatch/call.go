package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// handleCall runs a call, or joins it when its key is known.
func (d *Dispatcher) handleCall(ctx context.Context, request CallRequest, send func(CallEvent) error) error {
	number := d.shardOf(request.Program)
	l := d.lead(number)
	if l == nil {
		return d.notLeader(number)
	}
	if request.Tenant == "" {
		return fault.New(fault.Invalid, "the call names no tenant", "send the tenant that its key belongs to")
	}
	if request.Arrived.IsZero() {
		request.Arrived = time.Now()
	}
	call, err := l.accept(ctx, request)
	if err != nil {
		return err
	}
	if err := send(CallEvent{Call: call.Number}); err != nil {
		return err
	}
	return l.follow(ctx, request.Program, call, place{request.Offset, request.Attempt, request.Received}, send)
}

// handleFetch joins the stream of a call, whether it runs or is over.
func (d *Dispatcher) handleFetch(ctx context.Context, request FetchRequest, send func(CallEvent) error) error {
	number := d.shardOf(request.Program)
	l := d.lead(number)
	if l == nil {
		return d.notLeader(number)
	}
	var call program.Call
	var problem *fault.Error
	err := l.query(ctx, func(m *program.Machine) { call, problem = find(m, request) })
	if err != nil {
		return err
	}
	if problem != nil {
		return problem
	}
	return l.follow(ctx, request.Program, call, place{request.Offset, request.Attempt, request.Received}, send)
}

func find(m *program.Machine, request FetchRequest) (program.Call, *fault.Error) {
	if _, problem := m.View(request.Program, request.Tenant); problem != nil {
		return program.Call{}, problem
	}
	call, found := m.CallByKey(request.Program, request.Key)
	if request.Key == "" {
		call, found = m.Call(request.Program, request.Call)
	}
	if !found {
		return call, fault.New(fault.NotFound, "the program has no such call", "check its key or number, or send the call")
	}
	return call, nil
}

// follow relays a call's stream to one caller.
func (l *leadership) follow(ctx context.Context, name id.Program, call program.Call, from place, send func(CallEvent) error) error {
	s := l.join(name, call)
	if call.State == program.Started && call.Attempt == from.attempt {
		s.restore(from)
	}
	return s.follow(ctx, from, send)
}

// join returns the stream of a call. An outcome that was recorded before the
// stream was there ends it at once.
func (l *leadership) join(name id.Program, call program.Call) *stream {
	key := streamKey{name, call.Number, call.Key}
	s := l.stream(key)
	l.peek(func(m *program.Machine) { reviewStream(m, key, s) })
	l.forgetIfOver(key, s)
	return s
}

// accept gets a call its place in the program's order, or finds the call that
// its key already has.
func (l *leadership) accept(ctx context.Context, request CallRequest) (program.Call, error) {
	known, _, problem := l.lookUp(request)
	if problem != nil {
		return l.confirmRefusal(ctx, request, problem)
	}
	if known.Number != 0 && !known.MayRunAgain(request.Arrived) {
		return l.joinKnown(request, known)
	}
	r := l.runnerOf(request.Program)
	if !r.enter(ctx) {
		return program.Call{}, ctx.Err()
	}
	defer r.exit()
	known, view, problem := l.lookUp(request)
	if problem != nil {
		return l.confirmRefusal(ctx, request, problem)
	}
	if known.Number != 0 && !known.MayRunAgain(request.Arrived) {
		return l.joinKnown(request, known)
	}
	call, err := l.acceptNew(ctx, r, request, view)
	if err != nil {
		return l.confirmRefusal(ctx, request, err)
	}
	return call, nil
}

// joinKnown lets a request wait for the call that has its key.
func (l *leadership) joinKnown(request CallRequest, known program.Call) (program.Call, error) {
	if bodyHash(request) != known.BodyHash {
		return program.Call{}, program.KeyReused(request.Key)
	}
	l.runnerOf(request.Program).arrived(request)
	l.kick(request.Program)
	return known, nil
}

// confirmRefusal makes sure that a request which is to be answered as not run
// has not been accepted earlier. A leader that has just taken over may not have
// applied its predecessor's last entries when it looked.
func (l *leadership) confirmRefusal(ctx context.Context, request CallRequest, refusal error) (program.Call, error) {
	if fault.From(refusal).Ran != fault.RanNo || l.dispatcher.mutant.unconfirmedRefusal {
		return program.Call{}, refusal
	}
	var known program.Call
	err := l.query(ctx, func(m *program.Machine) {
		if _, problem := m.View(request.Program, request.Tenant); problem == nil {
			known, _ = m.CallByKey(request.Program, request.Key)
		}
	})
	if err != nil {
		return known, fault.From(err).WithRan(fault.RanUnknown)
	}
	if known.Number == 0 || known.MayRunAgain(request.Arrived) {
		return known, refusal
	}
	return l.joinKnown(request, known)
}

// acceptNew checks a new call against the configuration and commits it.
func (l *leadership) acceptNew(ctx context.Context, r *runner, request CallRequest, view program.View) (program.Call, error) {
	command, effective, err := l.dispatcher.acceptCommand(request, view)
	if err != nil {
		return program.Call{}, err
	}
	tenants := l.dispatcher.tenants
	if problem := tenants.admit(effective, l.dispatcher.Nodes()); problem != nil {
		return program.Call{}, problem
	}
	result, err := r.commit(ctx, command, effective, view)
	if err == nil && result.Fault != nil {
		err = result.Fault
	}
	if err != nil {
		tenants.release(request.Tenant)
		return program.Call{}, err
	}
	if view.Turns > 0 && result.Call.Number == view.Turn {
		l.dispatcher.learned.observePause(view.Template, command.Time.Sub(view.Active))
	}
	l.accepted(request, result.Call)
	return result.Call, nil
}

// accepted counts a call until its outcome and has it run in its turn.
func (l *leadership) accepted(request CallRequest, call program.Call) {
	key := program.CallKey{Program: request.Program, Number: call.Number}
	l.dispatcher.tenants.bind(request.Tenant, key)
	l.unbindIfOver(key)
	l.runnerOf(request.Program).arrived(request)
	l.kick(request.Program)
}

// unbindIfOver ends the count of a call whose outcome came before it was counted.
func (l *leadership) unbindIfOver(key program.CallKey) {
	open := false
	l.peek(func(m *program.Machine) {
		call, present := m.Call(key.Program, key.Number)
		open = present && !call.Done()
	})
	if !open {
		l.dispatcher.tenants.unbind(key)
	}
}

// lookUp finds the call of a repeated key in this node's copy. What is found
// there is committed, so it holds even if the leadership has just been lost.
func (l *leadership) lookUp(request CallRequest) (program.Call, program.View, *fault.Error) {
	var call program.Call
	var view program.View
	var problem *fault.Error
	l.peek(func(m *program.Machine) {
		view, problem = m.View(request.Program, request.Tenant)
		if problem == nil {
			call, _ = m.CallByKey(request.Program, request.Key)
		}
	})
	return call, view, problem
}

// acceptCommand checks a new call against the configuration in force.
func (d *Dispatcher) acceptCommand(request CallRequest, view program.View) (*program.Accept, *template.Effective, error) {
	if err := d.Config.Fresh(); err != nil {
		return nil, nil, err
	}
	current := d.Config.Current()
	effective, err := d.Resolve(current, view.Tenant, view.Template, view.Parameters)
	if err != nil {
		return nil, nil, err
	}
	command := &program.Accept{
		Time: time.Now(), Program: request.Program, Tenant: request.Tenant, Key: request.Key,
		Body: bodyHash(request), Number: request.Number, Messages: request.Messages, Model: request.Model, Adapter: request.Adapter,
		MaxTokens: request.MaxTokens, Repeatable: request.Repeatable, Arrived: request.Arrived,
		Limits: d.limits(current, effective),
	}
	if request.Tool != nil {
		return command, effective, checkTool(command, request.Tool, effective)
	}
	return command, effective, d.checkModel(command, current, effective)
}

// bodyHash covers the request as it came, before defaults are filled in.
func bodyHash(request CallRequest) uint64 {
	body := program.Accept{
		Messages: request.Messages, Model: request.Model, Adapter: request.Adapter,
		MaxTokens: request.MaxTokens, Repeatable: request.Repeatable, Tool: toolCall(request.Tool),
	}
	return program.BodyHash(&body)
}

func toolCall(asked *ToolCall) *program.ToolCall {
	if asked == nil {
		return nil
	}
	return &program.ToolCall{Name: asked.Name, Arguments: asked.Arguments, CallID: asked.CallID}
}

func checkTool(command *program.Accept, asked *ToolCall, effective *template.Effective) error {
	tool, found := findTool(effective, asked.Name)
	if !found {
		return fault.Newf(fault.Invalid, "register it in the template or call it yourself", "template %q has no tool %q", effective.Template, asked.Name)
	}
	command.Tool = toolCall(asked)
	command.Repeatable = command.Repeatable && tool.Repeatable
	return nil
}

func findTool(effective *template.Effective, name string) (template.Tool, bool) {
	index := slices.IndexFunc(effective.Tools, func(t template.Tool) bool { return t.Name == name })
	if index < 0 {
		return template.Tool{}, false
	}
	return effective.Tools[index], true
}

// checkModel fills in the defaults of a model call and checks what it may use.
func (d *Dispatcher) checkModel(command *program.Accept, current *template.Configuration, effective *template.Effective) error {
	if len(command.Messages) == 0 {
		return fault.New(fault.Invalid, "the call has no messages", "send the new messages of this turn")
	}
	if command.Model == "" {
		command.Model = effective.Models[0]
	}
	if !d.KnownModel(current, command.Model) {
		return fault.Newf(fault.UnknownModel, "use one of the template's models", "there is no model %q", command.Model)
	}
	if !slices.Contains(effective.Models, command.Model) {
		return fault.Newf(fault.ModelForbidden, "use one of the template's models", "template %q does not allow model %q", effective.Template, command.Model)
	}
	if command.Adapter != "" && !slices.Contains(effective.Adapters, command.Adapter) {
		return fault.Newf(fault.ModelForbidden, "use one of the template's adapters", "template %q does not allow adapter %q", effective.Template, command.Adapter)
	}
	largest := effective.Limits.MaxOutputTokens
	if command.MaxTokens <= 0 || command.MaxTokens > largest {
		command.MaxTokens = largest
	}
	return nil
}
