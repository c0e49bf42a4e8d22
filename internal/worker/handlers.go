package worker

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// register puts the peer methods on the mux.
func (s *Service) register(mux *peer.Mux) {
	peer.HandleStream(mux, MethodSubmit, s.handleSubmit)
	peer.HandleStream(mux, MethodResume, s.handleResume)
	peer.Handle(mux, MethodLookup, s.handleLookup)
	peer.Handle(mux, MethodProbe, s.handleProbe)
	peer.Handle(mux, MethodPause, s.handlePause)
	peer.Handle(mux, MethodEnd, s.handleEnd)
	peer.Handle(mux, MethodCancel, s.handleCancel)
}

// handleSubmit takes a job in and streams its answer. The job runs on when the
// submitter goes away, until it is cancelled.
func (s *Service) handleSubmit(ctx context.Context, job Job, send func(Event) error) error {
	owned, err := s.find(ctx, job.Worker)
	if err != nil {
		return err
	}
	open, err := owned.submit(job)
	if err != nil {
		return err
	}
	return open.follow(ctx, job.Partial.Tokens, send)
}

// handleResume joins a job's stream, of this owner's own memory or the engine's.
func (s *Service) handleResume(ctx context.Context, request ResumeRequest, send func(Event) error) error {
	client, open, err := s.source(ctx, request.Worker, request.Request, request.Direct)
	if err != nil {
		return unknownAt(err)
	}
	if open != nil {
		return open.follow(ctx, request.Offset, send)
	}
	outcome, err := client.Resume(ctx, request.Request, request.Offset, func(chunk engine.Chunk) error {
		return send(Event{Chunk: &chunk})
	})
	if err != nil {
		return unknownAt(err)
	}
	return send(Event{Outcome: &outcome})
}

// source finds where a request can be read: in this owner's memory or at the
// engine, which also knows what became of a request whose stream this owner
// lost. Reading needs no ownership, so a direct question is never refused.
func (s *Service) source(ctx context.Context, worker id.Worker, request id.Request, direct bool) (engine.Client, *stream, error) {
	owned, err := s.find(ctx, worker)
	if err == nil {
		open, known := owned.stream(request)
		if known && open.inDoubt() {
			open = nil
		}
		return owned.client, open, nil
	}
	if !direct {
		return nil, nil, err
	}
	machine, known := s.options.Catalog.find(ctx, worker)
	if !known {
		return nil, nil, err
	}
	return s.options.Dial(machine), nil, nil
}

// unknownAt makes of a failure to ask about a request a failure that does not
// claim that the request never ran.
func unknownAt(err error) error {
	known := fault.From(err)
	if known.Ran == fault.RanNo {
		return known.WithRan(fault.RanUnknown)
	}
	return known
}

func (s *Service) handleLookup(ctx context.Context, request LookupRequest) (engine.RequestStatus, error) {
	client, open, err := s.source(ctx, request.Worker, request.Request, request.Direct)
	if err != nil {
		return engine.RequestStatus{}, unknownAt(err)
	}
	if open != nil {
		return open.status(), nil
	}
	status, err := client.Lookup(ctx, request.Request)
	if err != nil {
		return status, unknownAt(err)
	}
	return status, nil
}

func (s *Service) handleProbe(ctx context.Context, query ProbeRequest) (Estimate, error) {
	owned, err := s.find(ctx, query.Worker)
	if err != nil {
		return Estimate{}, err
	}
	owned.mutex.Lock()
	defer owned.mutex.Unlock()
	if owned.retiring || owned.epoch == 0 {
		return Estimate{}, fault.Newf(fault.NotLeader, "ask the worker's owner", "this node does not own worker %s now", query.Worker)
	}
	estimate := owned.core.Probe(time.Now(), query)
	estimate.Fence = engine.Fence{Epoch: owned.epoch, Instance: owned.instance}
	estimate.Leaving = estimate.Leaving || owned.machine.Leaving
	return estimate, nil
}

func (s *Service) handlePause(ctx context.Context, notice PauseNotice) (Ack, error) {
	return s.tell(ctx, notice.Worker, func(now time.Time, core *Core) []Action { return core.Pause(now, notice) })
}

func (s *Service) handleEnd(ctx context.Context, notice EndNotice) (Ack, error) {
	return s.tell(ctx, notice.Worker, func(now time.Time, core *Core) []Action { return core.EndProgram(now, notice.Program) })
}

func (s *Service) handleCancel(ctx context.Context, request CancelRequest) (Ack, error) {
	owned, err := s.find(ctx, request.Worker)
	if err != nil {
		return Ack{}, err
	}
	if _, ok := owned.stream(request.Request); !ok {
		err := owned.client.Cancel(ctx, request.Request, owned.fence())
		return Ack{OK: err == nil}, err
	}
	owned.with(func(now time.Time, core *Core) []Action { return core.Cancel(now, request.Request) })
	return Ack{OK: true}, nil
}

func (s *Service) tell(ctx context.Context, worker id.Worker, run func(now time.Time, core *Core) []Action) (Ack, error) {
	owned, err := s.find(ctx, worker)
	if err != nil {
		return Ack{}, err
	}
	owned.with(run)
	return Ack{OK: true}, nil
}
