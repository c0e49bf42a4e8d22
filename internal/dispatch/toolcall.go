package dispatch

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// defaultToolTimeout applies where a template gives a tool none.
const defaultToolTimeout = 30 * time.Second

// runTool calls a tool that the template registers. It is called once, unless
// both the tool and the call may be repeated.
func (r *runner) runTool(ctx context.Context, call program.Call, effective *template.Effective) bool {
	tool, found := findTool(effective, call.Tool.Name)
	if call.State == program.Started {
		if !call.Repeatable {
			return r.fail(call, lost(errNoOutcome), r.neverSent(call), 0)
		}
	} else if !found {
		return r.fail(call, fault.Newf(fault.Invalid, "call it yourself", "the template no longer has the tool %q", call.Tool.Name), false, 0)
	}
	attempts := 1
	if call.Repeatable {
		attempts = max(1, effective.Limits.Attempts)
	}
	var problem *fault.Error
	for ctx.Err() == nil {
		if call.State == program.Started && call.Attempt >= attempts {
			if problem == nil {
				problem = lost(errNoOutcome)
			}
			return r.fail(call, problem, false, 0)
		}
		started, ok := r.startTool(ctx, call)
		if !ok {
			return false
		}
		call = started
		answer, failed := r.invokeTool(ctx, call, tool)
		if failed == nil {
			return r.finishTool(call, answer)
		}
		problem = failed
	}
	return ctx.Err() == context.DeadlineExceeded
}

// neverSent reports whether this leadership started the attempt without
// sending it.
func (r *runner) neverSent(call program.Call) bool {
	request := id.NewRequest(r.program, call.Number, call.Attempt)
	return call.Position == r.leadership.position && !r.wasSent(request)
}

func (r *runner) startTool(ctx context.Context, call program.Call) (program.Call, bool) {
	result, err := r.leadership.propose(ctx, program.Command{Start: &program.Start{
		Time: time.Now(), Program: r.program, Call: call.Number,
		Attempt: call.Attempt + 1, Position: r.leadership.position,
	}})
	if err != nil || result.Work == nil {
		return call, false
	}
	return result.Call, true
}

// invokeTool waits for the tool no longer than its deadline, even if the client
// does not keep to it.
func (r *runner) invokeTool(ctx context.Context, call program.Call, tool template.Tool) (string, *fault.Error) {
	timeout := tool.Timeout
	if timeout <= 0 {
		timeout = defaultToolTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := outside.ToolRequest{
		URL: tool.URL, Request: id.NewRequest(r.program, call.Number, call.Attempt),
		Name: tool.Name, Arguments: call.Tool.Arguments, Deadline: time.Now().Add(timeout),
	}
	r.markSent(request.Request)
	type reply struct {
		answer string
		err    error
	}
	replies := make(chan reply, 1)
	go func() {
		answer, err := r.leadership.dispatcher.Tools.Invoke(ctx, request)
		replies <- reply{answer, err}
	}()
	select {
	case got := <-replies:
		if got.err == nil {
			return got.answer, nil
		}
		if ctx.Err() == nil {
			return "", toolFault(got.err, tool.Name)
		}
	case <-ctx.Done():
	}
	return "", fault.Newf(fault.ToolTimeout, "check the tool service, or raise the tool's timeout in the template",
		"tool %q did not answer within %s", tool.Name, timeout).WithRan(fault.RanUnknown)
}

// toolFault types the error of a tool; the tool may have had its effect.
func toolFault(err error, name string) *fault.Error {
	problem := fault.From(err)
	if problem.Code == fault.ToolFailed || problem.Code == fault.ToolTimeout {
		return problem
	}
	return fault.Newf(fault.ToolFailed, "check the tool service", "tool %q failed: %s", name, problem.Message).WithRan(fault.RanUnknown)
}

func (r *runner) finishTool(call program.Call, answer string) bool {
	r.log(call).WithField("tool", call.Tool.Name).Info("tool answered")
	return r.conclude(program.Command{Finish: &program.Finish{
		Time: time.Now(), Program: r.program, Call: call.Number, Attempt: call.Attempt,
		Message:      chat.Message{Role: chat.Tool, Content: answer, ToolCallID: call.Tool.CallID},
		FinishReason: "stop", Position: r.leadership.position,
	}})
}
