package standin

import (
	"context"
	"io"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/cloverwheel/cloverwheel/internal/httpjson"
	"github.com/cloverwheel/cloverwheel/internal/outside"
)

// Administrative endpoints besides FaultsPath.
const (
	RecordPath  = "/admin/record"  // GET: what a tool service or an engine really ran
	MachinePath = "/admin/machine" // POST MachineCommand: at the machine list
	ToolsPath   = "/v1/tools"      // the URL to register for the stand-in's tools
)

// MachineCommand changes what the machine list says of a machine.
type MachineCommand struct {
	ID      string `json:"id"`
	Leaving bool   `json:"leaving"`
	Gone    bool   `json:"gone"` // for good
}

// TableHandler serves a table over HTTP.
func TableHandler(table *MemoryTable) http.Handler {
	router := mux.NewRouter()
	handleFaults(router, &table.Switch)
	router.HandleFunc(outside.TablePath, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if query.Has(outside.KeyParameter) {
			row, err := table.Get(r.Context(), query.Get(outside.KeyParameter))
			answer(w, outside.RowBody(row), err)
			return
		}
		rows, err := table.List(r.Context(), query.Get(outside.PrefixParameter))
		body := outside.RowsBody{Rows: make([]outside.RowBody, len(rows))}
		for i, row := range rows {
			body.Rows[i] = outside.RowBody(row)
		}
		answer(w, body, err)
	}).Methods(http.MethodGet)
	router.HandleFunc(outside.TablePath, post(func(ctx context.Context, write outside.RowBody) (any, error) {
		row, err := table.CompareAndSet(ctx, write.Key, write.Version, write.Value, write.Change)
		return outside.RowBody(row), err
	})).Methods(http.MethodPut)
	return router
}

// ObjectsHandler serves an object store over HTTP.
func ObjectsHandler(objects *MemoryObjects) http.Handler {
	router := mux.NewRouter()
	handleFaults(router, &objects.Switch)
	router.HandleFunc(outside.ObjectPath, func(w http.ResponseWriter, r *http.Request) {
		key := r.URL.Query().Get(outside.KeyParameter)
		switch r.Method {
		case http.MethodGet:
			value, err := objects.Get(r.Context(), key)
			if err != nil {
				answer(w, nil, err)
				return
			}
			_, _ = w.Write(value)
		case http.MethodPut:
			value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
			if err == nil {
				err = objects.Put(r.Context(), key, value)
			}
			answer(w, empty{}, err)
		case http.MethodDelete:
			answer(w, empty{}, objects.Delete(r.Context(), key))
		}
	}).Methods(http.MethodGet, http.MethodPut, http.MethodDelete)
	router.HandleFunc(outside.ObjectListPath, func(w http.ResponseWriter, r *http.Request) {
		keys, err := objects.List(r.Context(), r.URL.Query().Get(outside.PrefixParameter))
		answer(w, outside.KeysBody{Keys: keys}, err)
	}).Methods(http.MethodGet)
	return router
}

// MachinesHandler serves a machine list over HTTP.
func MachinesHandler(machines *MemoryMachines) http.Handler {
	router := mux.NewRouter()
	handleFaults(router, &machines.Switch)
	router.HandleFunc(outside.MachinesPath, func(w http.ResponseWriter, r *http.Request) {
		kind := outside.MachineKind(r.URL.Query().Get(outside.KindParameter))
		listed, err := machines.List(r.Context(), kind)
		body := outside.MachinesBody{Machines: make([]outside.MachineBody, len(listed))}
		for i, machine := range listed {
			body.Machines[i] = outside.MachineBody(machine)
		}
		answer(w, body, err)
	}).Methods(http.MethodGet)
	router.HandleFunc(outside.MachinesPath, post(func(ctx context.Context, machine outside.MachineBody) (any, error) {
		return empty{}, machines.Register(ctx, outside.Machine(machine))
	})).Methods(http.MethodPost)
	router.HandleFunc(MachinePath, post(func(_ context.Context, command MachineCommand) (any, error) {
		if command.Gone {
			return empty{}, machines.SetGone(command.ID)
		}
		return empty{}, machines.SetLeaving(command.ID, command.Leaving)
	})).Methods(http.MethodPost)
	return router
}

// ToolsHandler serves a tool service over HTTP.
func ToolsHandler(tools *MemoryTools) http.Handler {
	router := mux.NewRouter()
	handleFaults(router, &tools.Switch)
	router.HandleFunc(ToolsPath, post(func(ctx context.Context, body outside.ToolBody) (any, error) {
		made, err := tools.Invoke(ctx, outside.ToolRequest{Request: body.Request, Name: body.Name, Arguments: body.Arguments})
		return outside.ToolAnswerBody{Answer: made}, err
	})).Methods(http.MethodPost)
	router.HandleFunc(ToolsPath, func(w http.ResponseWriter, r *http.Request) {
		var asked outside.ToolRequest
		asked.Request = requestParameter(r)
		made, err := tools.Outcome(r.Context(), asked)
		answer(w, outside.ToolAnswerBody{Answer: made}, err)
	}).Methods(http.MethodGet)
	router.HandleFunc(RecordPath, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, tools.Record())
	}).Methods(http.MethodGet)
	return router
}
