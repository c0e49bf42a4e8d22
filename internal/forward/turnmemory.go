package forward

import (
	"errors"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/memory"
)

const (
	// freeTurnBytes is the memory in bytes that a turn's history and its writing may take without a reservation.
	freeTurnBytes = 16 << 10
	// turnMemoryStep is the step in which more is reserved, in bytes.
	turnMemoryStep = 16 << 10
	// storedInputMemory is the memory that a byte of a turn's input takes beside the request's body while the turn is written: as a row,
	// as it is encoded and as it is sent.
	storedInputMemory = 3
	// turnMemoryRetryAfter is the retry delay for clients whose turn there is no memory for.
	turnMemoryRetryAfter = 300 * time.Millisecond
)

// errNoTurnMemory is returned for a turn whose history does not fit beside others.
var errNoTurnMemory = errors.New("not enough memory for the turn's history")

// turnMemory is the memory that is reserved for a turn's history. It is safe for concurrent use.
type turnMemory struct {
	mutex sync.Mutex
	bytes *memory.Excess
	ended bool // nothing is reserved any more
}

func newTurnMemory(reserve memory.Reserve) *turnMemory {
	return &turnMemory{bytes: memory.NewExcess(reserve, freeTurnBytes, turnMemoryStep)}
}

// add reserves memory for further bytes.
func (m *turnMemory) add(bytes int64) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.ended || !m.bytes.Add(bytes) {
		return errNoTurnMemory
	}
	return nil
}

// release frees all of it. A reading that was given up may still ask for more, and gets none.
func (m *turnMemory) release() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ended = true
	m.bytes.Release()
}

// addChain reserves memory for a chain of which nothing was reserved before.
func (m *turnMemory) addChain(chain []*history.Turn) error {
	total := int64(0)
	for _, turn := range chain {
		total += int64(turn.Size())
	}
	return m.add(total)
}

// noTurnMemoryError returns the refusal of a turn that there is no memory for.
func noTurnMemoryError() *fault.Error {
	return fault.New(fault.Overloaded, errNoTurnMemory.Error(), "retry after the delay in Retry-After").WithRetryAfter(turnMemoryRetryAfter)
}
