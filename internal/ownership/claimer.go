package ownership

import (
	"context"
	"math/rand/v2"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

// MethodClaim is the peer method of a worker's shard's leader: Claim → Record.
const MethodClaim = "ownership.claim"

// Options hold what a Claimer needs.
type Options struct {
	Node      id.Node
	Shards    uint32
	Proposer  shard.Proposer
	Locator   shard.Locator
	Transport peer.Transport
	Mux       *peer.Mux
	// Envelope makes an encoded claim a command of the shard's composite machine;
	// nil: the claim is the command.
	Envelope func(claim []byte) []byte
}

// Claimer claims epochs at the leaders of the workers' shards, and serves the
// claims at the shards that this node leads.
type Claimer struct{ options Options }

// New returns a Claimer and registers its handler on the Mux.
func New(options Options) *Claimer {
	if options.Envelope == nil {
		options.Envelope = func(claim []byte) []byte { return claim }
	}
	c := &Claimer{options: options}
	peer.Handle(options.Mux, MethodClaim, c.handle)
	return c
}

// Claim returns an epoch for the worker that is higher than above and than all
// claimed before.
func (c *Claimer) Claim(ctx context.Context, worker id.Worker, above uint64) (uint64, error) {
	claim := Claim{Worker: worker, Node: c.options.Node, Nonce: rand.Uint64(), Above: above}
	var record Record
	err := c.options.Locator.Do(ctx, c.shardOf(worker), func(ctx context.Context, address peer.Address) error {
		var err error
		record, err = peer.Invoke[Record](ctx, c.options.Transport, address, MethodClaim, claim)
		return err
	})
	return record.Epoch, err
}

func (c *Claimer) shardOf(worker id.Worker) id.Shard {
	return id.ShardOfWorker(worker, c.options.Shards)
}

func (c *Claimer) handle(ctx context.Context, claim Claim) (Record, error) {
	command, err := Encode(claim)
	if err != nil {
		return Record{}, err
	}
	result, err := c.options.Proposer.Propose(ctx, c.shardOf(claim.Worker), c.options.Envelope(command))
	if err != nil {
		return Record{}, err
	}
	switch result := result.(type) {
	case Record:
		return result, nil
	case *fault.Error:
		return Record{}, result
	}
	return Record{}, fault.Newf(fault.Internal, "report it with the log lines around it", "a claim returned %T", result)
}
