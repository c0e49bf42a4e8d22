package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/google/uuid"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
)

// CreateProgram creates a program. The key makes it repeatable; empty: a new one.
func (c *Client) CreateProgram(ctx context.Context, body wire.CreateProgram, key string) (wire.Program, error) {
	request, err := jsonSend(http.MethodPost, "/v1/programs", body)
	if err != nil {
		return wire.Program{}, err
	}
	if key == "" {
		key = uuid.NewString()
	}
	request = request.with(wire.HeaderKey, key)
	created, err := read[wire.Program](ctx, c, request)
	if err != nil && fault.From(err).Ran == fault.RanUnknown && ctx.Err() == nil {
		c.current.Add(1)
		return read[wire.Program](ctx, c, request) // the key finds the first one's program
	}
	return created, err
}

// Program reads a program.
func (c *Client) Program(ctx context.Context, program string) (wire.Program, error) {
	return read[wire.Program](ctx, c, send{method: http.MethodGet, path: programPath(program)})
}

// EndProgram ends a program and its sub-agents.
func (c *Client) EndProgram(ctx context.Context, program string) (wire.Program, error) {
	return read[wire.Program](ctx, c, send{method: http.MethodDelete, path: programPath(program)})
}

func programPath(program string) string { return "/v1/programs/" + url.PathEscape(program) }

func callsPath(program string) string { return programPath(program) + "/calls" }

// Models lists the models that the tenant may use.
func (c *Client) Models(ctx context.Context) (wire.ModelList, error) {
	return read[wire.ModelList](ctx, c, send{method: http.MethodGet, path: "/v1/models"})
}

// Call makes a call and waits for its whole answer. A call whose connection
// broke is looked up by its key, and sent again only if it is repeatable and
// the cluster knows no call of that key.
func (c *Client) Call(ctx context.Context, program string, call wire.Call) (wire.Completion, error) {
	call.Stream = false
	if call.Key == "" {
		call.Key = uuid.NewString()
	}
	request, err := jsonSend(http.MethodPost, callsPath(program), call)
	if err != nil {
		return wire.Completion{}, err
	}
	for tries := 1; ; tries++ {
		answer, err := read[wire.Completion](ctx, c, request)
		if !c.mayHaveRun(ctx, err) {
			return answer, err
		}
		answer, found := c.FetchByKey(ctx, program, call.Key)
		if !mayResend(call, found) || tries >= c.options.Attempts {
			return answer, lostCall(call, firstUnlessFound(err, found), found)
		}
	}
}

// mayHaveRun reports whether err leaves open whether the request ran, and goes
// on to another node if so.
func (c *Client) mayHaveRun(ctx context.Context, err error) bool {
	if !fault.Is(err, fault.Unavailable) || fault.From(err).Ran != fault.RanUnknown || ctx.Err() != nil {
		return false
	}
	c.current.Add(1)
	return true
}

// mayResend reports whether the lookup of a call allows sending it again.
func mayResend(call wire.Call, found error) bool {
	repeatable := call.Repeatable == nil || *call.Repeatable
	return repeatable && fault.Is(found, fault.NotFound)
}

// firstUnlessFound keeps the error of the call itself where the lookup only
// says that there is no such call: that call may still be on its way.
func firstUnlessFound(first, found error) error {
	if fault.Is(found, fault.NotFound) {
		return first
	}
	return found
}

// lostCall is the final error of a call that no lookup found. One that must not
// be sent again may still be on its way, so its outcome is unknown.
func lostCall(call wire.Call, err, found error) error {
	if !fault.Is(found, fault.NotFound) || call.Repeatable == nil || *call.Repeatable {
		return err
	}
	return fault.Newf(fault.OutcomeUnknown, "check the effect before you send it again with a fresh key",
		"nobody can say whether the call ran (%s)", fault.From(err).Message).WithRan(fault.RanUnknown)
}

// FetchByKey reads the whole answer of a past or running call.
func (c *Client) FetchByKey(ctx context.Context, program, key string) (wire.Completion, error) {
	return read[wire.Completion](ctx, c, send{method: http.MethodGet, path: callsPath(program), query: url.Values{"key": {key}}})
}

// FetchByNumber reads the whole answer of a past or running call.
func (c *Client) FetchByNumber(ctx context.Context, program string, number uint64) (wire.Completion, error) {
	return read[wire.Completion](ctx, c, send{method: http.MethodGet, path: callsPath(program) + "/" + strconv.FormatUint(number, 10)})
}
