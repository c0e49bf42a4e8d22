package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// InjectedFault is the fault injected into one message. The zero value injects none.
type InjectedFault struct {
	Delay        time.Duration // delays delivery
	Drop         bool          // the request is lost
	DropResponse bool          // the request runs, but its response is lost
	Duplicate    bool          // the request is delivered twice
}

// MemoryNetwork connects the Muxes of many nodes in one process. The function set
// with SetFaultInjector can delay, drop or duplicate each message. No lock is held while it
// runs, so that hundreds of nodes do not contend.
type MemoryNetwork struct {
	nodes  sync.Map // Address → *Mux
	faults atomic.Pointer[faultFunc]
}

type faultFunc func(from, to Address, method string) InjectedFault

// NewMemoryNetwork returns a network without nodes and without faults.
func NewMemoryNetwork() *MemoryNetwork { return &MemoryNetwork{} }

// SetFaultInjector sets the function that decides on the fault of each message; nil injects
// no faults. The function is called concurrently.
func (n *MemoryNetwork) SetFaultInjector(decide func(from, to Address, method string) InjectedFault) {
	if decide == nil {
		n.faults.Store(nil)
		return
	}
	stored := faultFunc(decide)
	n.faults.Store(&stored)
}

// Attach makes mux reachable at address. A nil mux detaches the address, like a crash.
func (n *MemoryNetwork) Attach(address Address, mux *Mux) {
	if mux == nil {
		n.nodes.Delete(address)
		return
	}
	n.nodes.Store(address, mux)
}

// Transport returns a transport that sends messages from the given address.
func (n *MemoryNetwork) Transport(from Address) Transport {
	return &memoryTransport{network: n, from: from}
}

func (n *MemoryNetwork) route(from, to Address, method string) (*Mux, InjectedFault) {
	var verdict InjectedFault
	if decide := n.faults.Load(); decide != nil {
		verdict = (*decide)(from, to, method)
	}
	mux, ok := n.nodes.Load(to)
	if !ok {
		return nil, verdict
	}
	return mux.(*Mux), verdict
}

type memoryTransport struct {
	network *MemoryNetwork
	from    Address
}

// Call implements Transport.
func (t *memoryTransport) Call(ctx context.Context, to Address, method string, request []byte) ([]byte, error) {
	mux, verdict, err := t.deliver(ctx, to, method)
	if err != nil {
		return nil, err
	}
	if verdict.Duplicate {
		_, _ = mux.ServeCall(ctx, method, request)
	}
	answer, err := mux.ServeCall(ctx, method, request)
	if verdict.DropResponse {
		return nil, lostMessage(ctx, to)
	}
	if ctx.Err() != nil {
		return nil, unavailableError(to, fault.RanUnknown)
	}
	return answer, err
}

// Stream implements Transport.
func (t *memoryTransport) Stream(ctx context.Context, to Address, method string, request []byte, receive func([]byte) error) error {
	mux, verdict, err := t.deliver(ctx, to, method)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err = mux.ServeStream(ctx, method, request, func(item []byte) error {
		if current, _ := t.network.route(t.from, to, method); current != mux {
			return unavailableError(to, fault.RanUnknown)
		}
		return receive(item)
	})
	if verdict.DropResponse {
		return lostMessage(ctx, to)
	}
	return err
}

// deliver applies the delay or loss of a request and returns the receiver's Mux.
func (t *memoryTransport) deliver(ctx context.Context, to Address, method string) (*Mux, InjectedFault, error) {
	mux, verdict := t.network.route(t.from, to, method)
	if verdict.Delay > 0 {
		if err := timing.Sleep(ctx, verdict.Delay); err != nil {
			return nil, verdict, unavailableError(to, fault.RanNo)
		}
	}
	if verdict.Drop {
		return nil, verdict, lostMessage(ctx, to)
	}
	if mux == nil {
		return nil, verdict, unavailableError(to, fault.RanNo).WithHint(HintRefused)
	}
	return mux, verdict, nil
}

// lostMessage blocks until ctx ends, as for a caller that receives no response.
func lostMessage(ctx context.Context, to Address) error {
	<-ctx.Done()
	return unavailableError(to, fault.RanUnknown)
}

// HintRefused is the hint of a fault.Unavailable whose cause is a refused
// connection: the remote machine is up, but nothing listens at the address. Local
// failures, such as too many open files, do not carry it.
const HintRefused = "connection refused"

func unavailableError(to Address, ran fault.Ran) *fault.Error {
	return fault.Newf(fault.Unavailable, "try another node", "node at %s is unreachable", to).WithRan(ran)
}
