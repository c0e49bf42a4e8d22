package server

import (
	"context"
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// meteredTransport counts messages to other nodes by distance. It implements peer.Transport.
type meteredTransport struct {
	peer.Transport
	location locality.Location
	count    func(distance locality.Distance, sent, received int)
	// owners lists the slot owners, whose zones are looked up for addresses not recorded yet;
	// nil: none.
	owners func() []budget.Holder

	zones sync.Map // zone names by peer.Address
}

// recordZone records the zone of the process at an address. The first record is kept.
func (m *meteredTransport) recordZone(process string, address peer.Address) {
	m.zones.LoadOrStore(address, locality.ZoneOf(process))
}

// Call implements peer.Transport.
func (m *meteredTransport) Call(ctx context.Context, to peer.Address, method string, request []byte) ([]byte, error) {
	answer, err := m.Transport.Call(ctx, to, method, request)
	m.count(m.distance(to), len(request), len(answer))
	return answer, err
}

// distance returns the distance to the node at an address. An unknown address has an empty zone,
// which counts as another region if regions are configured.
func (m *meteredTransport) distance(address peer.Address) locality.Distance {
	if zone, ok := m.zones.Load(address); ok {
		return m.location.DistanceTo(zone.(string))
	}
	if m.owners != nil {
		for _, owner := range m.owners() {
			m.recordZone(owner.Process, peer.Address(owner.Address))
		}
	}
	zone, _ := m.zones.Load(address)
	known, _ := zone.(string)
	return m.location.DistanceTo(known)
}
