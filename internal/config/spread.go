package config

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// pushTimeout bounds the push to one node; each level of the tree below it
	// adds as much again.
	pushTimeout = 400 * time.Millisecond
	// pushRetry is the pause before those that did not acknowledge are tried again.
	pushRetry = 200 * time.Millisecond
)

// runSpread pushes versions that this node had accepted until every live node
// has acknowledged them.
func (s *Service) runSpread(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.spread:
			s.spreadHead(ctx)
		}
	}
}

// spreadHead pushes the version in force, and what came since the last push,
// until all have it, a higher one is there, or ctx ends.
func (s *Service) spreadHead(ctx context.Context) {
	head := s.Current().Version
	missing := targets(s.options.Members())
	for len(missing) > 0 {
		missing = s.push(ctx, s.toPush(), missing)
		missing = stillThere(s.options.Members(), missing)
		if s.Current().Version > head || len(missing) == 0 || timing.Sleep(ctx, pushRetry) != nil {
			break
		}
	}
	if len(missing) == 0 {
		s.metrics.everywhere(head)
	}
}

// pushOverlap is the number of entries pushed, so that nodes which missed a few
// need not pull.
const pushOverlap = 4

// toPush returns a request with the latest entries, without addresses.
func (s *Service) toPush() PushRequest {
	version := s.Current().Version
	request := PushRequest{Version: version}
	for overlap := min(version, pushOverlap); overlap > 0 && request.Entries == nil; overlap-- {
		request.Entries, _ = s.since(version - overlap)
	}
	return request
}

// push sends a request down a tree of the addresses and returns those that did
// not acknowledge.
func (s *Service) push(ctx context.Context, request PushRequest, addresses []peer.Address) []peer.Address {
	request.From = s.self().Address
	var mutex sync.Mutex
	var missing []peer.Address
	var group sync.WaitGroup
	for branch := range slices.Chunk(addresses, max(1, (len(addresses)+fanOut-1)/fanOut)) {
		group.Go(func() {
			failed := s.pushBranch(ctx, request, branch)
			mutex.Lock()
			defer mutex.Unlock()
			missing = append(missing, failed...)
		})
	}
	group.Wait()
	return missing
}

// pushBranch hands a request to the first address, which forwards it to the
// rest. If it does not answer, the rest is split anew, so that a zone full of
// dead nodes costs a few time limits and not one for each node.
func (s *Service) pushBranch(ctx context.Context, request PushRequest, branch []peer.Address) []peer.Address {
	first, rest := branch[0], branch[1:]
	request.Forward = rest
	short, cancel := context.WithTimeout(ctx, pushTimeout*time.Duration(1+levels(len(rest))))
	response, err := peer.Invoke[PushResponse](short, s.options.Transport, first, MethodPush, request)
	cancel()
	if err == nil {
		return response.Missing
	}
	return append(s.push(ctx, request, rest), first)
}

// levels returns the depth of the tree below a node that forwards to count others.
func levels(count int) int {
	depth := 0
	for count > 0 {
		depth++
		count = (count+fanOut-1)/fanOut - 1
	}
	return depth
}

func (s *Service) servePush(ctx context.Context, request PushRequest) (PushResponse, error) {
	s.take(request.Entries)
	if s.Current().Version < request.Version {
		if err := s.pull(ctx, request.From); err != nil {
			return PushResponse{}, err
		}
	}
	return PushResponse{Missing: s.push(ctx, request, request.Forward)}, nil
}

func stillThere(view *member.View, addresses []peer.Address) []peer.Address {
	present := targets(view)
	return slices.DeleteFunc(addresses, func(a peer.Address) bool { return !slices.Contains(present, a) })
}
