package simcluster

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
)

// link is a process's way to another that is not a node.
type link struct {
	network  *network
	from, to string
}

// ask returns what question answers at the other end.
func ask[T any](ctx context.Context, l link, question func(context.Context) (T, error)) (T, error) {
	answers := make(chan T, 1)
	err := l.network.exchange(ctx, l.from, l.to, func(ctx context.Context) error {
		answer, err := question(ctx)
		answers <- answer
		return err
	})
	var answer T
	select {
	case answer = <-answers:
	default:
	}
	return answer, err
}

func (l link) tell(ctx context.Context, order func(context.Context) error) error {
	return l.network.exchange(ctx, l.from, l.to, order)
}

// tableLink is a node's way to the table.
type tableLink struct {
	link
	table outside.Table
}

// Get implements outside.Table.
func (t tableLink) Get(ctx context.Context, key string) (outside.Row, error) {
	return ask(ctx, t.link, func(ctx context.Context) (outside.Row, error) { return t.table.Get(ctx, key) })
}

// CompareAndSet implements outside.Table.
func (t tableLink) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, change string) (outside.Row, error) {
	return ask(ctx, t.link, func(ctx context.Context) (outside.Row, error) {
		return t.table.CompareAndSet(ctx, key, version, value, change)
	})
}

// List implements outside.Table.
func (t tableLink) List(ctx context.Context, prefix string) ([]outside.Row, error) {
	return ask(ctx, t.link, func(ctx context.Context) ([]outside.Row, error) { return t.table.List(ctx, prefix) })
}

// objectsLink is a node's way to the object store.
type objectsLink struct {
	link
	objects outside.Objects
}

// Put implements outside.Objects.
func (o objectsLink) Put(ctx context.Context, key string, value []byte) error {
	return o.tell(ctx, func(ctx context.Context) error { return o.objects.Put(ctx, key, value) })
}

// Get implements outside.Objects.
func (o objectsLink) Get(ctx context.Context, key string) ([]byte, error) {
	return ask(ctx, o.link, func(ctx context.Context) ([]byte, error) { return o.objects.Get(ctx, key) })
}

// List implements outside.Objects.
func (o objectsLink) List(ctx context.Context, prefix string) ([]string, error) {
	return ask(ctx, o.link, func(ctx context.Context) ([]string, error) { return o.objects.List(ctx, prefix) })
}

// Delete implements outside.Objects.
func (o objectsLink) Delete(ctx context.Context, key string) error {
	return o.tell(ctx, func(ctx context.Context) error { return o.objects.Delete(ctx, key) })
}

// machinesLink is a node's way to the machine list.
type machinesLink struct {
	link
	machines outside.Machines
}

// List implements outside.Machines.
func (m machinesLink) List(ctx context.Context, kind outside.MachineKind) ([]outside.Machine, error) {
	return ask(ctx, m.link, func(ctx context.Context) ([]outside.Machine, error) { return m.machines.List(ctx, kind) })
}

// Register implements outside.Machines.
func (m machinesLink) Register(ctx context.Context, machine outside.Machine) error {
	return m.tell(ctx, func(ctx context.Context) error { return m.machines.Register(ctx, machine) })
}

// engineLink is a node's way to an engine.
type engineLink struct {
	link
	engine engine.Client
}

// Generate implements engine.Client.
func (e engineLink) Generate(ctx context.Context, request engine.GenerateRequest, receive func(engine.Chunk) error) (engine.Outcome, error) {
	return ask(ctx, e.link, func(arrived context.Context) (engine.Outcome, error) {
		return e.engine.Generate(arrived, request, e.receive(ctx, arrived, receive))
	})
}

// Resume implements engine.Client.
func (e engineLink) Resume(ctx context.Context, request id.Request, offset int, receive func(engine.Chunk) error) (engine.Outcome, error) {
	return ask(ctx, e.link, func(arrived context.Context) (engine.Outcome, error) {
		return e.engine.Resume(arrived, request, offset, e.receive(ctx, arrived, receive))
	})
}

// receive passes chunks on while the link is open and the receiver is there.
func (e engineLink) receive(waiting, arrived context.Context, receive func(engine.Chunk) error) func(engine.Chunk) error {
	return func(chunk engine.Chunk) error {
		if waiting.Err() != nil || e.network.pass(arrived, e.to, e.from) != nil {
			return unreachable(e.to, fault.RanUnknown)
		}
		return receive(chunk)
	}
}

// Lookup implements engine.Client.
func (e engineLink) Lookup(ctx context.Context, request id.Request) (engine.RequestStatus, error) {
	return ask(ctx, e.link, func(ctx context.Context) (engine.RequestStatus, error) { return e.engine.Lookup(ctx, request) })
}

// Cancel implements engine.Client.
func (e engineLink) Cancel(ctx context.Context, request id.Request, fence engine.Fence) error {
	return e.tell(ctx, func(ctx context.Context) error { return e.engine.Cancel(ctx, request, fence) })
}

// Hold implements engine.Client.
func (e engineLink) Hold(ctx context.Context, hold engine.Hold) error {
	return e.tell(ctx, func(ctx context.Context) error { return e.engine.Hold(ctx, hold) })
}

// Release implements engine.Client.
func (e engineLink) Release(ctx context.Context, program id.Program, fence engine.Fence) error {
	return e.tell(ctx, func(ctx context.Context) error { return e.engine.Release(ctx, program, fence) })
}

// Export implements engine.Client.
func (e engineLink) Export(ctx context.Context, program id.Program, segment uint64, fence engine.Fence) (string, error) {
	return ask(ctx, e.link, func(ctx context.Context) (string, error) { return e.engine.Export(ctx, program, segment, fence) })
}

// Import implements engine.Client.
func (e engineLink) Import(ctx context.Context, key string, fence engine.Fence) error {
	return e.tell(ctx, func(ctx context.Context) error { return e.engine.Import(ctx, key, fence) })
}

// Drop implements engine.Client.
func (e engineLink) Drop(ctx context.Context, segment uint64, fence engine.Fence) error {
	return e.tell(ctx, func(ctx context.Context) error { return e.engine.Drop(ctx, segment, fence) })
}

// Order implements engine.Client.
func (e engineLink) Order(ctx context.Context, order engine.Order) error {
	return e.tell(ctx, func(ctx context.Context) error { return e.engine.Order(ctx, order) })
}

// Events implements engine.Client.
func (e engineLink) Events(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	return ask(ctx, e.link, func(ctx context.Context) ([]engine.CacheEvent, error) { return e.engine.Events(ctx, after) })
}

// Load implements engine.Client.
func (e engineLink) Load(ctx context.Context) (engine.LoadReport, error) {
	return ask(ctx, e.link, e.engine.Load)
}
