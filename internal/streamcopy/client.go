package streamcopy

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/streamorigin"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// copyCount is the number of other nodes that get each event.
	copyCount = 2
	// readCount is the number of nodes of a region that are asked for copies: one more than copyCount, since one of those may have been
	// replaced, or may be the node that asks.
	readCount = copyCount + 1
	// minReadTimeout and maxReadTimeout bound how long a node may take to answer; within them, its usual response times decide. A client
	// waits for the answer.
	minReadTimeout = 40 * time.Millisecond
	maxReadTimeout = 250 * time.Millisecond
)

// Outcome is what came of looking for the copies of a turn.
type Outcome string

// Outcomes of Find.
const (
	Found     Outcome = "found"
	NotFound  Outcome = "none"      // no node that answered has a copy that reaches as far as the client says
	Ambiguous Outcome = "ambiguous" // there are several that differ, and the client may have got any of them
)

// Options configures a Client. Nodes and Peers are required.
type Options struct {
	Location locality.Location
	// Nodes returns the other nodes that may hold copies.
	Nodes func() []budget.Holder
	Peers Peers
	// ResponseTimes estimates the response times of other nodes; nil: the shortest timeouts are used.
	ResponseTimes timing.TimeoutFunc
	// MaxBytes bounds the copies that this node holds, in bytes; the oldest are dropped.
	MaxBytes int
	// OnEvent is called for each event with whether another node had it when it was sent to the client; may be nil.
	OnEvent func(copied bool)
}

// Client sends events to other nodes, finds the copies of turns, and holds copies for other nodes.
type Client struct {
	options Options
	copies  *copies
}

// New returns a client without copies.
func New(options Options) *Client {
	if options.OnEvent == nil {
		options.OnEvent = func(bool) {}
	}
	return &Client{options: options, copies: newCopies(options.MaxBytes)}
}

// Begin returns the recording of an attempt, which has the events that its client had already. Content goes to nodes in the regions that ctx
// allows only.
func (c *Client) Begin(ctx context.Context, attempt Attempt) *Recording {
	regions := locality.ContentRegions(ctx)
	recording := &Recording{client: c, regions: regions, attempt: attempt, progress: make(chan struct{})}
	groups := c.allowedNodes(regions)
	if len(groups) == 0 {
		return recording
	}
	ranked := streamorigin.Rank(hash(attempt.Turn), groups[0])
	for _, holder := range ranked[:min(copyCount, len(ranked))] {
		recording.replicas = append(recording.replicas, &replica{holder: holder})
	}
	recording.spare = ranked[len(recording.replicas):min(readCount, len(ranked))]
	return recording
}

// Find returns what the client of a turn got up to and including an event. stream is the ID of the request that brought the first event;
// empty: unknown. Only nodes in the regions that ctx allows are asked.
func (c *Client) Find(ctx context.Context, turn, stream, lastEventID string) (Attempt, Outcome) {
	request := ReadRequest{Turn: turn, Stream: stream, LastEventID: lastEventID}
	var holders []budget.Holder
	for _, group := range c.allowedNodes(locality.ContentRegions(ctx)) {
		ranked := streamorigin.Rank(hash(turn), group)
		holders = append(holders, ranked[:min(readCount, len(ranked))]...)
	}
	answers := make(chan []Attempt, len(holders))
	for _, holder := range holders {
		go func() { answers <- c.read(ctx, holder, request) }()
	}
	attempts := c.copies.read(request, time.Now())
	for range holders {
		attempts = append(attempts, <-answers...)
	}
	return choose(attempts, lastEventID)
}

// read asks one node for its copies; none if it does not answer in time.
func (c *Client) read(ctx context.Context, holder budget.Holder, request ReadRequest) []Attempt {
	ctx, cancel := context.WithTimeout(ctx, c.options.ResponseTimes.For(holder.Process, minReadTimeout, maxReadTimeout))
	defer cancel()
	answer, err := c.options.Peers.ReadStream(ctx, holder, request)
	if err != nil {
		return nil
	}
	return answer.Attempts
}

// allowedNodes returns the other nodes in these regions by region, those of the node's own one first.
func (c *Client) allowedNodes(regions locality.Regions) (groups [][]budget.Holder) {
	for _, group := range streamorigin.ByRegion(c.options.Location, c.options.Nodes()) {
		if regions.Allow(c.options.Location.Zones.Region(group[0].Zone())) {
			groups = append(groups, group)
		}
	}
	return groups
}

// HandleAppend extends a copy for another node.
func (c *Client) HandleAppend(request AppendRequest) AppendAnswer {
	return AppendAnswer{Events: c.copies.extend(request, time.Now())}
}

// HandleRead answers the question of another node.
func (c *Client) HandleRead(request ReadRequest) ReadAnswer {
	return ReadAnswer{Attempts: c.copies.read(request, time.Now())}
}

// hash returns the number by which the nodes that hold a turn's copies are chosen.
func hash(turn string) uint64 { return xxhash.Sum64String(turn) }
