package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// minAskTimeout and maxAskTimeout bound the timeout of a question to a holder; within them it follows the observed
	// response times of that node. A client waits for the answer.
	minAskTimeout = 40 * time.Millisecond
	maxAskTimeout = 250 * time.Millisecond
	// sendTimeout is the timeout of sending records, for which no client waits.
	sendTimeout = 500 * time.Millisecond
	// unsentTTL is how long a record that was not sent may still be sent when a second version appears. It covers the
	// streams that are in progress, and those that broke just before.
	unsentTTL = 10 * time.Second
	// maxUnsent limits the records per service that were not sent; the oldest are dropped.
	maxUnsent = 2_000
	// maxBatch limits the records in one message.
	maxBatch = 500
)

// Entry is the record of one stream. It is sent between nodes with gob, so its fields keep their names.
type Entry struct {
	Stream uint64 // hash of the stream's ID
	Origin Origin
}

// RecordRequest sends records to a holder.
type RecordRequest struct{ Entries []Entry }

// RecordAnswer confirms that a holder has the records.
type RecordAnswer struct{ Recorded int }

// FindRequest asks a holder for the record of a stream.
type FindRequest struct{ Stream uint64 }

// FindAnswer is a holder's answer. Origin is empty if Found is false.
type FindAnswer struct {
	Found  bool
	Origin Origin
	Routes RouteHistory // what the holder knows of the services that share routes
}

// Peers sends messages to other nodes.
type Peers interface {
	RecordStreams(ctx context.Context, holder budget.Holder, request RecordRequest) (RecordAnswer, error)
	FindStream(ctx context.Context, holder budget.Holder, request FindRequest) (FindAnswer, error)
}

// Outcome is how a stream's origin was looked for.
type Outcome string

// Outcomes of Find.
const (
	FoundHere  Outcome = "here"  // this node relayed the stream or holds its record
	FoundAsked Outcome = "asked" // another node has the record
	NotFound   Outcome = "none"  // no node that answered has the record
)

// Options configures a Client. Nodes, Peers, Versions, Services and Location are required.
type Options struct {
	Location locality.Location
	// Nodes returns the other nodes that may hold records.
	Nodes    func() []budget.Holder
	Peers    Peers
	Versions *Versions
	Services *SharedServices
	// ResponseTimes estimates the response times of other nodes; nil: the shortest timeouts are used.
	ResponseTimes timing.TimeoutFunc
	// OnSent is called with the number of records that a holder got, or that none got; may be nil.
	OnSent func(sent, lost int)
	// OnLearned is called when another node's answer told which services share routes; may be nil.
	OnLearned func(RouteHistory)
}

// Client records and finds the origins of streams, for this node and as a holder for others.
type Client struct {
	options Options
	records *records

	mutex  sync.Mutex
	unsent map[string][]unsentEntry // by service, oldest first
}

// unsentEntry is a record that no other node has, since its stream could have one origin only when it began.
type unsentEntry struct {
	Entry
	at time.Time
}

// New returns a client without records.
func New(options Options) *Client {
	if options.OnSent == nil {
		options.OnSent = func(int, int) {}
	}
	if options.OnLearned == nil {
		options.OnLearned = func(RouteHistory) {}
	}
	return &Client{options: options, records: newRecords(time.Now()), unsent: map[string][]unsentEntry{}}
}

// Registered returns the software versions of a service at which streams may begin; restricted is false if all may.
func (c *Client) Registered(service string) (versions []string, restricted bool) {
	return c.options.Versions.Registered(service)
}

// SoleVersion returns the only software version at which streams of a service can have begun; ok is false if there may be several,
// or if streams of the service's routes can have begun at another service.
func (c *Client) SoleVersion(ctx context.Context, service string) (version string, ok bool) {
	if c.options.Services.MayContain(service, time.Now()) {
		return "", false
	}
	return c.options.Versions.SoleVersion(ctx, service)
}

// Record records where a stream began. It does not block.
func (c *Client) Record(stream string, origin Origin) {
	now := time.Now()
	entry := Entry{Stream: hash(stream), Origin: origin}
	c.records.put(entry.Stream, origin, now)
	if !c.severalOrigins(origin.Service, now) {
		c.keepUnsent(entry, now)
		return
	}
	go c.send(append(c.takeUnsent(origin.Service, now), entry))
}

// SendUnsent sends the records of a service that were not sent, if its streams may have several origins now.
func (c *Client) SendUnsent(service string) {
	now := time.Now()
	if !c.severalOrigins(service, now) {
		return
	}
	if entries := c.takeUnsent(service, now); len(entries) > 0 {
		go c.send(entries)
	}
}

// severalOrigins reports whether other nodes may need records to know at which service and version a service's streams began.
func (c *Client) severalOrigins(service string, now time.Time) bool {
	return c.options.Versions.Several(service) || c.options.Services.MayContain(service, now)
}

func (c *Client) keepUnsent(entry Entry, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept := c.unsent[entry.Origin.Service]
	if len(kept) >= maxUnsent {
		kept = append([]unsentEntry(nil), kept[len(kept)/2:]...)
	}
	c.unsent[entry.Origin.Service] = append(kept, unsentEntry{entry, now})
}

// takeUnsent removes the records of a service that were not sent, and returns those of the last unsentTTL.
func (c *Client) takeUnsent(service string, now time.Time) (entries []Entry) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, kept := range c.unsent[service] {
		if now.Sub(kept.at) < unsentTTL {
			entries = append(entries, kept.Entry)
		}
	}
	delete(c.unsent, service)
	return entries
}

// send sends records to their holders. A holder that does not answer is replaced once, by the next in the stream's order.
func (c *Client) send(entries []Entry) {
	others := ByRegion(c.options.Location, c.options.Nodes())
	if len(others) == 0 {
		return
	}
	for holder, batch := range groupByHolder(entries, others[0], 0, copies) {
		go func() {
			if c.sendTo(holder, batch) {
				return
			}
			for next, rest := range groupByHolder(batch, others[0], copies, copies+1) {
				c.sendTo(next, rest)
			}
		}()
	}
}

// groupByHolder groups records by those nodes that come from the first to before the second position in their streams' orders.
func groupByHolder(entries []Entry, nodes []budget.Holder, from, to int) map[budget.Holder][]Entry {
	groups := map[budget.Holder][]Entry{}
	for _, entry := range entries {
		ranked := Rank(entry.Stream, nodes)
		for _, holder := range ranked[min(from, len(ranked)):min(to, len(ranked))] {
			groups[holder] = append(groups[holder], entry)
		}
	}
	return groups
}

// sendTo sends records to one holder and reports whether it has them.
func (c *Client) sendTo(holder budget.Holder, entries []Entry) (sent bool) {
	for len(entries) > 0 {
		batch := entries[:min(maxBatch, len(entries))]
		entries = entries[len(batch):]
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		_, err := c.options.Peers.RecordStreams(ctx, holder, RecordRequest{Entries: batch})
		cancel()
		if err != nil {
			c.options.OnSent(0, len(batch)+len(entries))
			return false
		}
		c.options.OnSent(len(batch), 0)
	}
	return true
}

// Find returns where a stream began. An empty name is never found.
func (c *Client) Find(ctx context.Context, stream string) (Origin, Outcome) {
	if stream == "" {
		return Origin{}, NotFound
	}
	key := hash(stream)
	if origin, ok := c.records.get(key, time.Now()); ok {
		return origin, FoundHere
	}
	holders := c.holdersToAsk(key)
	answers := make(chan FindAnswer, len(holders))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, holder := range holders {
		go func() { answers <- c.ask(ctx, holder, key) }()
	}
	for range holders {
		answer := <-answers
		if answer.Found {
			return answer.Origin, FoundAsked
		}
		if c.options.Services.Learn(answer.Routes, time.Now()) {
			c.options.OnLearned(answer.Routes)
		}
	}
	return Origin{}, NotFound
}

// ask asks one holder for a record. The answer is empty if the holder does not answer in time.
func (c *Client) ask(ctx context.Context, holder budget.Holder, stream uint64) FindAnswer {
	ctx, cancel := context.WithTimeout(ctx, c.options.ResponseTimes.For(holder.Process, minAskTimeout, maxAskTimeout))
	defer cancel()
	answer, err := c.options.Peers.FindStream(ctx, holder, FindRequest{Stream: stream})
	if err != nil {
		return FindAnswer{}
	}
	return answer
}

// holdersToAsk returns the nodes that may hold the record of a stream: some of each region, since a client may come
// back through another one.
func (c *Client) holdersToAsk(stream uint64) (holders []budget.Holder) {
	for _, group := range ByRegion(c.options.Location, c.options.Nodes()) {
		ranked := Rank(stream, group)
		holders = append(holders, ranked[:min(asked, len(ranked))]...)
	}
	return holders
}

// HandleRecord keeps the records of another node.
func (c *Client) HandleRecord(request RecordRequest) RecordAnswer {
	now := time.Now()
	for _, entry := range request.Entries {
		c.records.put(entry.Stream, entry.Origin, now)
	}
	return RecordAnswer{Recorded: len(request.Entries)}
}

// HandleFind answers the question of another node.
func (c *Client) HandleFind(request FindRequest) FindAnswer {
	now := time.Now()
	origin, ok := c.records.get(request.Stream, now)
	return FindAnswer{Found: ok, Origin: origin, Routes: c.options.Services.History(now)}
}
