package outside

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cloverwheel/cloverwheel/internal/httpjson"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// MachinesPath is the machine list: GET ?kind= lists, POST announces.
const MachinesPath = "/v1/machines"

// KindParameter selects the machines of one kind; absent selects all.
const KindParameter = "kind"

// MachineBody is a machine on the wire.
type MachineBody struct {
	ID      string      `json:"id"`
	Kind    MachineKind `json:"kind"`
	Address string      `json:"address"`
	Zone    string      `json:"zone"`
	Region  string      `json:"region,omitempty"`
	Leaving bool        `json:"leaving,omitempty"`
	Gone    bool        `json:"gone,omitempty"`
	Models  []id.Model  `json:"models,omitempty"`
}

// MachinesBody is the answer to a listing.
type MachinesBody struct {
	Machines []MachineBody `json:"machines"`
}

type httpMachines struct{ client *httpjson.Client }

// NewHTTPMachines returns a client of the machine list.
func NewHTTPMachines(options Options) Machines {
	return &httpMachines{client: options.client("machine list")}
}

// List implements Machines.
func (m *httpMachines) List(ctx context.Context, kind MachineKind) ([]Machine, error) {
	query := url.Values{KindParameter: {string(kind)}}
	var body MachinesBody
	if err := m.client.Call(ctx, httpjson.Request{Method: http.MethodGet, Path: MachinesPath, Query: query}, &body); err != nil {
		return nil, err
	}
	machines := make([]Machine, len(body.Machines))
	for i, machine := range body.Machines {
		machines[i] = Machine(machine)
	}
	return machines, nil
}

// Register implements Machines.
func (m *httpMachines) Register(ctx context.Context, machine Machine) error {
	return m.client.Call(ctx, httpjson.Request{Method: http.MethodPost, Path: MachinesPath, Body: MachineBody(machine)}, nil)
}
