package server

import (
	"github.com/cloverwheel/cloverwheel/internal/inbound"
	"github.com/cloverwheel/cloverwheel/internal/memory"
)

// clientDescriptorDivisor is the part of the socket descriptors that client connections may use.
// A request in progress needs about as many again for its worker, other nodes and the store.
const clientDescriptorDivisor = 2 // one half

const (
	// clientMemoryDivisor is the part of the process's memory that client connections may use, and clientConnectionBytes what
	// one of them takes with a request in progress: stacks, buffers and the request.
	clientMemoryDivisor   = 4 // one quarter
	clientConnectionBytes = 24 << 10
)

// clientLimit returns the maximum number of client connections of a process; 0: unlimited. descriptors and memoryBytes are its
// limits; 0: unlimited.
func clientLimit(descriptors int, memoryBytes int64) int {
	limit := descriptors / clientDescriptorDivisor
	inMemory := int(memoryBytes / clientMemoryDivisor / clientConnectionBytes)
	if limit == 0 || inMemory > 0 && inMemory < limit {
		return inMemory
	}
	return limit
}

// newClientConnections returns the connections of clients. reserve reserves the memory of their requests, and reserveLong that of long
// ones.
func newClientConnections(options Options, reserve, reserveLong memory.Reserve) *inbound.Connections {
	return inbound.New(inbound.Options{
		Listener:      "clients",
		Limit:         clientLimit(options.Settings.Descriptors, options.Settings.MemoryBytes),
		ReserveMemory: reserve,
		ReserveLong:   reserveLong,
		CountRefused:  func(reason inbound.Reason) { options.Metrics.RefusedEarly("clients", reason) },
		Logger:        options.Logger,
	})
}
