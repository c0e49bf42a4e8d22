package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// maxKeyLength bounds an idempotency key, in bytes.
const maxKeyLength = 255

// endedByCaller is the reason kept with a program that its caller ended.
const endedByCaller = "ended by caller"

// creationSpace is the name space of program identifiers made from keys.
var creationSpace = uuid.NewSHA1(uuid.NameSpaceOID, []byte("cloverwheel program creation"))

func programOf(r *http.Request) id.Program { return id.Program(mux.Vars(r)["program"]) }

// createProgram answers POST /v1/programs.
func (g *Gateway) createProgram(w http.ResponseWriter, r *http.Request) {
	var body wire.CreateProgram
	if err := g.readJSON(w, r, &body, strict); err != nil {
		g.fail(w, r, err)
		return
	}
	request, err := createRequest(tenantOf(r.Context()), body, r.Header.Get(wire.HeaderKey))
	if err == nil {
		err = g.checkFresh()
	}
	if err != nil {
		g.fail(w, r, err)
		return
	}
	noteProgram(r.Context(), request.Program)
	// A created program must not depend on its creator's connection.
	created, err := invoke[dispatch.Program](context.WithoutCancel(r.Context()), g.forward, request.Program, dispatch.MethodCreate, request)
	if err == nil {
		err = checkSameCreation(request, created)
	}
	if err != nil {
		g.fail(w, r, err)
		return
	}
	writeJSON(w, http.StatusCreated, wire.FromProgram(created))
}

func createRequest(tenant id.Tenant, body wire.CreateProgram, key string) (dispatch.CreateRequest, error) {
	if body.Template == "" {
		return dispatch.CreateRequest{}, fault.New(fault.Invalid, "no template given", "name one in template")
	}
	if err := checkKey(key); err != nil {
		return dispatch.CreateRequest{}, err
	}
	request := dispatch.CreateRequest{
		Program:    newProgram(tenant, id.Program(body.Parent), key),
		Tenant:     tenant,
		Template:   id.Template(body.Template),
		Parameters: body.Parameters,
		Parent:     id.Program(body.Parent),
	}
	if body.Deadline != nil {
		request.Deadline = *body.Deadline
	}
	if body.Limits != nil {
		request.MaxTurns = body.Limits.Turns
		request.Idle = seconds(body.Limits.IdleSeconds)
	}
	return request, nil
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

func checkKey(key string) error {
	if len(key) > maxKeyLength {
		return fault.Newf(fault.Invalid, "shorten it", "the idempotency key is over %d bytes", maxKeyLength)
	}
	return nil
}

// newProgram chooses an identifier. With a key it is always the same one for
// this tenant and parent, so a repeated creation finds the first program.
func newProgram(tenant id.Tenant, parent id.Program, key string) id.Program {
	if key == "" && parent == "" {
		return id.NewProgram()
	}
	if key == "" {
		return id.NewSubAgent(parent)
	}
	named := uuid.NewSHA1(creationSpace, []byte(strings.Join([]string{string(tenant), string(parent), key}, "\x00")))
	if parent == "" {
		return id.Program("p-" + named.String())
	}
	return parent + "." + id.Program(named.String())
}

// checkSameCreation refuses a key that was used to create something else.
func checkSameCreation(request dispatch.CreateRequest, created dispatch.Program) error {
	if created.Template == request.Template && created.Parent == request.Parent {
		return nil
	}
	return fault.New(fault.KeyReused, "this Idempotency-Key created another program", "use a new key for a new program")
}

// showProgram answers GET /v1/programs/{program}.
func (g *Gateway) showProgram(w http.ResponseWriter, r *http.Request) {
	program := programOf(r)
	noteProgram(r.Context(), program)
	shown, err := g.show(r.Context(), program, tenantOf(r.Context()))
	if err != nil {
		g.fail(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, wire.FromProgram(shown))
}

func (g *Gateway) show(ctx context.Context, program id.Program, tenant id.Tenant) (dispatch.Program, error) {
	return invoke[dispatch.Program](ctx, g.forward, program, dispatch.MethodShow, dispatch.ShowRequest{Program: program, Tenant: tenant})
}

// endProgram answers DELETE /v1/programs/{program}.
func (g *Gateway) endProgram(w http.ResponseWriter, r *http.Request) {
	g.end(w, r, dispatch.EndRequest{Program: programOf(r), Tenant: tenantOf(r.Context()), Reason: endedByCaller})
}

func (g *Gateway) end(w http.ResponseWriter, r *http.Request, request dispatch.EndRequest) {
	noteProgram(r.Context(), request.Program)
	ended, err := invoke[dispatch.Program](context.WithoutCancel(r.Context()), g.forward, request.Program, dispatch.MethodEnd, request)
	if err != nil {
		g.fail(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, wire.FromProgram(ended))
}
