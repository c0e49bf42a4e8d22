// Package history keeps what was said in programs: each kept turn is a row of
// the table with its input, its output and the names of all turns before it, so
// that any node can go on from any turn after any loss of nodes.
package history

import (
	"bytes"
	"container/list"
	"context"
	"encoding/gob"
	"errors"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Table is the table's name for turns.
const Table = "turns"

const (
	// parts spreads turns over the table's parts.
	parts = 64
	// places is how many parts may hold a turn: where a part of the table is
	// down, the turn is kept in the next.
	places = 2
	// placeWait is how long a write waits for one place before it also tries the
	// next, or longer if the table is seen to take more.
	placeWait = 150 * time.Millisecond
	// readWait is how long a read waits for one place before it also asks the next;
	// likewise.
	readWait = 100 * time.Millisecond
	// rowBytes is how much of a turn goes into one row.
	rowBytes = 40 << 10
	// parallelReads bounds the reads of a cold chain.
	parallelReads = 16
)

// ErrNoTurn means that the table has no such turn.
var ErrNoTurn = errors.New("there is no such turn; start a new program")

// Turn is a finished turn. What it says is never changed.
type Turn struct {
	ID        string
	Ancestors []string // from the oldest to the one before this
	Input     []byte
	Output    []byte // the data of its events, each followed by a line feed
	Worker    string // that ran it
	Expires   time.Time
}

func (t *Turn) size() int { return len(t.Input) + len(t.Output) + 64*(len(t.Ancestors)+2) }

// Options of a Keeper.
type Options struct {
	Store      store.Store
	CacheBytes int
	// Region is where this node stands: it remembers nothing that is bound to others.
	Region string
	// Together writes turns together with those of other nodes; nil: nobody does.
	Together Together
}

// Together writes rows of one of the parts that hold turns, by their numbers, together with
// those of other nodes.
type Together interface {
	// Put reports whether the rows are in the table for certain. If not, they may be.
	Put(ctx context.Context, part int, rows []store.Row) (kept bool)
}

// Keeper reads and writes turns.
type Keeper struct {
	options Options
	mutex   sync.Mutex
	cached  map[string]*list.Element
	order   *list.List // newest use first
	bytes   int
}

// New returns a keeper with an empty cache.
func New(options Options) *Keeper {
	return &Keeper{options: options, cached: map[string]*list.Element{}, order: list.New()}
}

// Chain returns the turns up to and including the one named, the oldest first.
// It fails with ErrNoTurn only when the table said so.
func (k *Keeper) Chain(ctx context.Context, id string) ([]*Turn, error) {
	last, err := k.turn(ctx, id)
	if err != nil {
		return nil, err
	}
	chain := make([]*Turn, len(last.Ancestors)+1)
	chain[len(last.Ancestors)] = last
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for index, ancestor := range last.Ancestors {
		if known := k.lookUp(ancestor); known != nil {
			chain[index] = known
			continue
		}
		group.Go(func() error {
			turn, err := k.turn(ctx, ancestor)
			chain[index] = turn
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return chain, nil
}

// Known returns a chain if this node remembers all of it, else nil. No call is made.
func (k *Keeper) Known(id string) []*Turn {
	last := k.lookUp(id)
	if last == nil {
		return nil
	}
	chain := make([]*Turn, 0, len(last.Ancestors)+1)
	for _, ancestor := range last.Ancestors {
		known := k.lookUp(ancestor)
		if known == nil {
			return nil
		}
		chain = append(chain, known)
	}
	return append(chain, last)
}

// Learn remembers a chain that another node has read or written.
func (k *Keeper) Learn(ctx context.Context, chain []*Turn) {
	for _, turn := range chain {
		k.remember(ctx, turn)
	}
}

func (k *Keeper) turn(ctx context.Context, id string) (*Turn, error) {
	if known := k.lookUp(id); known != nil {
		return known, nil
	}
	turn, err := k.read(ctx, id)
	if err != nil {
		return nil, err
	}
	k.remember(ctx, turn)
	return turn, nil
}

// placed is what a place holds of a turn; nil: nothing.
type placed struct {
	place int
	turn  *Turn
}

// read asks the places of a turn, the next one when the one before has no
// answer or no turn. Only if all of them have no turn there is none.
func (k *Keeper) read(ctx context.Context, id string) (*Turn, error) {
	var missing [places]bool
	found, err := firstPlace(ctx, store.PatienceWith(k.options.Store, readWait), func(ctx context.Context, place int) (placed, error) {
		turn, err := k.readPlace(ctx, id, place)
		return placed{place: place, turn: turn}, err
	}, func(found placed) bool {
		missing[found.place] = missing[found.place] || found.turn == nil
		return found.turn != nil
	})
	if found.turn == nil && !slices.Contains(missing[:], false) {
		return nil, ErrNoTurn
	}
	return found.turn, err
}

func (k *Keeper) readPlace(ctx context.Context, id string, place int) (*Turn, error) {
	name := url.PathEscape(id)
	page, err := k.options.Store.Range(ctx, Table, partOf(id, place), name, name+rowsEnd, 0)
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	var whole []byte
	for _, row := range page.Rows {
		_, payload, err := store.CutExpiry(row.Value)
		if err != nil {
			return nil, err
		}
		whole = append(whole, payload...)
	}
	turn := new(Turn)
	err = gob.NewDecoder(bytes.NewReader(whole)).Decode(turn)
	return turn, err
}

// Parts lists the parts that hold turns.
func Parts() []string {
	names := make([]string, parts)
	for part := range names {
		names[part] = partName(uint64(part))
	}
	return names
}

func partName(part uint64) string { return "t" + strconv.FormatUint(part, 10) }

// partOf is the part of a turn's place. A turn's places lie in different parts.
func partOf(id string, place int) string { return partName(partNumber(id, place)) }

func partNumber(id string, place int) uint64 {
	hash := xxhash.Sum64String(id)
	step := 1 + (hash>>32)%(parts-1)
	return (hash + uint64(place)*step) % parts
}

// A turn's rows are named by its escaped name, in which no slash is left; all
// but the first add a slash and their number. They lie before name + rowsEnd.
const (
	rowSlash = "/"
	rowsEnd  = "0" // the byte after the slash
)

func rowName(id string, index int) string {
	if index == 0 {
		return url.PathEscape(id)
	}
	return url.PathEscape(id) + rowSlash + strconv.Itoa(index)
}

// Keep writes a turn and returns once one of its places holds it. The turns of
// its chain are written again first if they would end well before it. Writing a
// turn again does no harm: what was said never changes.
func (k *Keeper) Keep(ctx context.Context, turn *Turn, chain []*Turn, retention time.Duration) error {
	turn.Expires = time.Now().Add(retention)
	group, limited := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for _, earlier := range chain {
		if turn.Expires.Sub(earlier.Expires) > retention/2 {
			group.Go(func() error { return k.renew(limited, earlier, turn.Expires) })
		}
	}
	group.Go(func() error { return k.write(limited, turn) })
	if err := group.Wait(); err != nil {
		return err
	}
	k.remember(ctx, turn)
	return nil
}

// renew keeps a turn until expires and beyond, so that the next turns of its
// chain need not do it again.
func (k *Keeper) renew(ctx context.Context, earlier *Turn, expires time.Time) error {
	renewed := *earlier
	renewed.Expires = expires
	if err := k.write(ctx, &renewed); err != nil {
		return err
	}
	k.replace(&renewed)
	return nil
}

func (k *Keeper) write(ctx context.Context, turn *Turn) error {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(turn); err != nil {
		return err
	}
	together := func() bool {
		return k.options.Together != nil && k.options.Together.Put(ctx, int(partNumber(turn.ID, 0)), turn.transaction(encoded.Bytes(), 0).Put)
	}
	_, err := firstPlaceUnless(ctx, store.PatienceWith(k.options.Store, placeWait), together, func(ctx context.Context, place int) (store.Version, error) {
		return store.CommitUnlessThrottled(ctx, k.options.Store, turn.transaction(encoded.Bytes(), place))
	}, func(store.Version) bool { return true })
	return err
}

// replace puts a renewed turn in the place of the cached one.
func (k *Keeper) replace(turn *Turn) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if element, ok := k.cached[turn.ID]; ok {
		element.Value = turn
	}
}

func (t *Turn) transaction(encoded []byte, place int) store.Transaction {
	part := partOf(t.ID, place)
	var transaction store.Transaction
	for index := 0; len(encoded) > 0; index++ {
		piece := encoded[:min(rowBytes, len(encoded))]
		encoded = encoded[len(piece):]
		key := store.Key{Table: Table, Part: part, Name: rowName(t.ID, index)}
		transaction.Put = append(transaction.Put, store.Row{Key: key, Value: store.WithExpiry(t.Expires, piece)})
	}
	return transaction
}

func (k *Keeper) lookUp(id string) *Turn {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	element, ok := k.cached[id]
	if !ok {
		return nil
	}
	k.order.MoveToFront(element)
	return element.Value.(*Turn)
}

// remember caches a turn, if that may be remembered here, and drops the longest unused
// beyond the cache's size.
func (k *Keeper) remember(ctx context.Context, turn *Turn) {
	if !locality.Content(ctx).Allow(k.options.Region) {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if _, ok := k.cached[turn.ID]; ok {
		return
	}
	k.cached[turn.ID] = k.order.PushFront(turn)
	k.bytes += turn.size()
	for k.bytes > k.options.CacheBytes && k.order.Len() > 1 {
		oldest := k.order.Remove(k.order.Back()).(*Turn)
		delete(k.cached, oldest.ID)
		k.bytes -= oldest.size()
	}
}

// Join writes a chain's turns and the new input as a worker is to get them.
func Join(chain []*Turn, input []byte) []byte {
	if len(chain) == 0 {
		return input
	}
	size := len(input)
	for _, turn := range chain {
		size += len(turn.Input) + len(turn.Output)
	}
	whole := make([]byte, 0, size)
	for _, turn := range chain {
		whole = append(whole, turn.Input...)
		whole = append(whole, turn.Output...)
	}
	return append(whole, input...)
}
