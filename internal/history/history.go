// Package history stores the finished turns of programs, so that any node can continue a
// program from any turn, even after all nodes were lost. A turn is stored with its input,
// its output and the IDs of all turns before it.
package history

import (
	"container/list"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/memory"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Table is the store table that holds the turns.
const Table = "turns"

const (
	// writePlaceTimeout is the minimum time that a write waits for one place before it
	// also tries the next. It is extended if the store is observed to be slower.
	writePlaceTimeout = 150 * time.Millisecond
	// readPlaceTimeout is the same for a read.
	readPlaceTimeout = 100 * time.Millisecond
	// maxParallelCalls limits the parallel reads or writes for one chain.
	maxParallelCalls = 16
)

// ErrNoTurn means that the store has no turn of that ID.
var ErrNoTurn = errors.New("turn not found; start a new program")

// Turn is a finished turn. Except for Expires, it is immutable once written. It is
// sent between nodes with gob, so its fields keep their names.
type Turn struct {
	ID        string
	Ancestors []string // IDs of the earlier turns, oldest first
	Input     []byte
	Output    []byte // data of the output events, each followed by a line feed
	Worker    string // worker that ran the turn
	Expires   time.Time
}

// Options configures a TurnStore.
type Options struct {
	Store      store.Store
	CacheBytes int // limit for the cached turns; the newest one is cached even if it is larger
	// Region is the region of this node. Turns that are restricted to other regions are
	// not cached.
	Region string
	// Reserve reserves memory for conversations while they are read, and for the earlier turns that a turn's rows hold while these are written;
	// without it they hold none. nil: no limit.
	Reserve memory.Reserve
	// Logger gets a line when the table begins to throttle reads, and one when no conversation waits any more; nil: nothing is logged.
	Logger log.Interface
	// BatchWriter batches the first write of a turn with those of other nodes. Nil: no
	// batching.
	BatchWriter BatchWriter
}

// BatchWriter writes turns in batches with those of other nodes.
type BatchWriter interface {
	// Put writes rows to the partition with that number, one of those that hold turns. It
	// reports whether the rows are certain to be in the store; if not, they may be.
	Put(ctx context.Context, part int, rows []store.Row) (stored bool)
}

// TurnStore reads and writes turns and caches them.
type TurnStore struct {
	options     Options
	mutex       sync.Mutex
	cache       map[string]*list.Element
	lru         *list.List // most recently used first
	cachedBytes int

	limiter  *readLimiter
	readings readings
}

// New returns a TurnStore with an empty cache.
func New(options Options) *TurnStore {
	if options.Logger == nil {
		options.Logger = &log.Logger{Handler: discard.New()}
	}
	return &TurnStore{
		options: options, cache: map[string]*list.Element{}, lru: list.New(),
		limiter: newReadLimiter(), readings: readings{byID: map[string]*reading{}},
	}
}

// Chain returns the turns up to and including the one with the given ID, oldest first. It
// fails with ErrNoTurn only if the store confirmed that a turn does not exist.
func (s *TurnStore) Chain(ctx context.Context, id string) ([]*Turn, error) {
	return s.AdmittedChain(ctx, id, func(int64) error { return nil })
}

// placeResult is the content of one place: a turn and earlier ones, oldest first; empty if it does not have the turn.
type placeResult struct {
	place int
	turns []*Turn
}

// read reads a turn, and the earlier ones that its rows hold, from its places. It returns ErrNoTurn only if all places answered
// that they do not have it.
func (s *TurnStore) read(ctx context.Context, shared *reading, id string) ([]*Turn, error) {
	var missing [placeCount]bool
	found, err := firstAccepted(ctx, store.HedgeDelayAtLeast(s.options.Store, readPlaceTimeout), func(ctx context.Context, place int) (placeResult, error) {
		turns, err := s.readPlace(ctx, id, place)
		s.observe(ctx, shared, err)
		return placeResult{place: place, turns: turns}, err
	}, func(found placeResult) bool {
		missing[found.place] = missing[found.place] || len(found.turns) == 0
		return len(found.turns) > 0
	})
	if len(found.turns) == 0 && !slices.Contains(missing[:], false) {
		return nil, ErrNoTurn
	}
	return found.turns, err
}

// Write sets the expiry of a turn, writes the turn and returns once it is stored in one of its
// places. The turn and its chain are kept for retention from now: a turn of the chain is written
// again with the new expiry if it would expire more than half of the retention earlier, and all
// are kept for as much longer. Repeated writes are harmless because the content of a turn never
// changes.
func (s *TurnStore) Write(ctx context.Context, turn *Turn, chain []*Turn, retention time.Duration) error {
	maxLag := retention / 2 // by which a turn of the chain may expire earlier
	turn.Expires = time.Now().Add(retention + maxLag)
	group, limited := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for index, earlier := range chain {
		if turn.Expires.Sub(earlier.Expires) > maxLag {
			group.Go(func() error { return s.renew(limited, earlier, chain[:index], turn.Expires) })
		}
	}
	group.Go(func() error { return s.write(limited, turn, chain) })
	if err := group.Wait(); err != nil {
		return err
	}
	s.cacheTurn(ctx, turn.compact())
	return nil
}

// renew extends the expiry of a turn, given the turns before it. The caller does so only once much of the retention
// has passed, so that most turns need not renew their chain.
func (s *TurnStore) renew(ctx context.Context, earlier *Turn, before []*Turn, expires time.Time) error {
	renewed := *earlier
	renewed.Expires = expires
	if err := s.write(ctx, &renewed, before); err != nil {
		return err
	}
	s.replaceCached(&renewed)
	return nil
}

// storedBlockMemory is the memory that a byte of a block takes while it is written: encoded, as a row and as it is sent.
const storedBlockMemory = 4

// reserveBlock returns a block if there is memory to write it, else none, and a function that releases the memory.
func (s *TurnStore) reserveBlock(block []*Turn) ([]*Turn, func()) {
	bytes := 0
	for _, turn := range block {
		bytes += len(turn.Input) + len(turn.Output)
	}
	if s.options.Reserve == nil || bytes == 0 {
		return block, func() {}
	}
	release, ok := s.options.Reserve(storedBlockMemory * int64(bytes))
	if !ok {
		return nil, func() {}
	}
	return block, release
}

// write writes a turn, with a block of the turns before it.
func (s *TurnStore) write(ctx context.Context, turn *Turn, before []*Turn) error {
	block, release := s.reserveBlock(turn.blockOf(before))
	defer release()
	encoded, err := turn.encode(block)
	if err != nil {
		return err
	}
	writeBatched := func() bool {
		return s.options.BatchWriter != nil && s.options.BatchWriter.Put(ctx, int(partNumber(turn.ID, 0)), turn.putTransaction(encoded, 0).Put)
	}
	_, err = firstAcceptedUnless(ctx, store.HedgeDelayAtLeast(s.options.Store, writePlaceTimeout), writeBatched, func(ctx context.Context, place int) (store.Version, error) {
		return store.CommitUnlessThrottled(ctx, s.options.Store, turn.putTransaction(encoded, place))
	}, func(store.Version) bool { return true })
	return err
}

// InputParts returns a worker's input in parts, which are not copied: the inputs and outputs of the chain, followed by the new
// input.
func InputParts(chain []*Turn, input []byte) [][]byte {
	parts := make([][]byte, 0, 2*len(chain)+1)
	for _, turn := range chain {
		parts = append(parts, turn.Input, turn.Output)
	}
	return append(parts, input)
}
