// Package outside holds the narrow interfaces to the services that the
// operators' platform provides, and one HTTP client for each of them.
package outside

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Row is one row of the table service.
type Row struct {
	Key     string
	Version uint64 // rises by one with every write; 0 means absent
	Value   []byte
	Change  string // identifier of the write that made this version
}

// Table is the transactional table service. It is rate-limited, may be slow or
// down, and may lose an answer after the write took effect.
type Table interface {
	// Get reads a row; a missing row has version 0 and no error.
	Get(ctx context.Context, key string) (Row, error)
	// CompareAndSet writes value if the row is still at version. change
	// identifies the write, so that a lost answer is settled by reading the row
	// back. It fails with fault.Conflict when the version has moved on, and with
	// fault.Unavailable and RanUnknown when the answer was lost.
	CompareAndSet(ctx context.Context, key string, version uint64, value []byte, change string) (Row, error)
	// List returns the rows whose keys start with prefix.
	List(ctx context.Context, prefix string) ([]Row, error)
}

// Objects is the rate-limited object store.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get fails with fault.NotFound when there is no such object.
	Get(ctx context.Context, key string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, key string) error
}

// MachineKind tells nodes from workers in the machine list.
type MachineKind string

// The kinds of machines.
const (
	KindNode   MachineKind = "node"
	KindWorker MachineKind = "worker"
)

// Machine is one entry of the platform's lagging machine list.
type Machine struct {
	ID      string
	Kind    MachineKind
	Address string // host:port: internal listener of a node, HTTP endpoint of a worker
	Zone    string
	Region  string
	Leaving bool
	Gone    bool       // the platform has retired it for good
	Models  []id.Model // that a worker can serve
}

// Machines is the platform's list of live and leaving machines. It lags, so it
// is a hint and never proof of death, except for Gone.
type Machines interface {
	List(ctx context.Context, kind MachineKind) ([]Machine, error)
	// Register announces a machine; it is repeated as a heartbeat.
	Register(ctx context.Context, machine Machine) error
}

// ToolRequest is one call of a registered tool service.
type ToolRequest struct {
	URL       string
	Request   id.Request // lets the service recognise a repeat
	Name      string
	Arguments string // JSON
	Deadline  time.Time
}

// Tools calls tool services.
type Tools interface {
	Invoke(ctx context.Context, request ToolRequest) (answer string, err error)
}
