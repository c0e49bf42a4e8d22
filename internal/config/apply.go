package config

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

const (
	// maxChangeBytes bounds one encoded change, so that a row of the table and a
	// message hold it.
	maxChangeBytes = 512 << 10
	// applyAttempts bounds how often a change is validated again because another
	// one came first.
	applyAttempts = 16
	// unknownAttempts bounds how often a change of unknown outcome is repeated.
	unknownAttempts = 3
	// applyTimeout bounds the work on one change at the leader.
	applyTimeout = 8 * time.Second
)

// Apply has a change accepted, from any node. It fails with fault.Invalid and a
// list of problems, with fault.Conflict (see ConflictOf) when the change lost a
// race, and with fault.Unavailable; after RanUnknown, repeating it with the same
// ChangeID tells what became of it.
func (s *Service) Apply(ctx context.Context, request ApplyRequest) (ApplyResult, error) {
	if request.ChangeID == "" {
		request.ChangeID = uuid.NewString()
	}
	return atLeader[ApplyResult](ctx, s, MethodApply, request)
}

// Rollback has a new version accepted that looks like an old one.
func (s *Service) Rollback(ctx context.Context, request RollbackRequest) (ApplyResult, error) {
	if request.ChangeID == "" {
		request.ChangeID = uuid.NewString()
	}
	return atLeader[ApplyResult](ctx, s, MethodRestore, request)
}

// atLeader sends an idempotent request to the leader of shard 0, and again while
// its outcome is unknown.
func atLeader[Response, Request any](ctx context.Context, s *Service, method string, request Request) (Response, error) {
	var unknown bool
	for attempt := 1; ; attempt++ {
		response, err := askLeader[Response](ctx, s, method, request)
		if err == nil {
			return response, nil
		}
		typed := fault.From(err)
		settled := typed.Ran == fault.RanNo && typed.Code != fault.Unavailable && typed.Code != fault.NotLeader
		if settled {
			return response, typed
		}
		unknown = unknown || typed.Ran == fault.RanUnknown
		if !unknown || attempt == unknownAttempts || ctx.Err() != nil {
			return response, outcome(typed, unknown)
		}
	}
}

func askLeader[Response, Request any](ctx context.Context, s *Service, method string, request Request) (Response, error) {
	var response Response
	var refusal error
	err := s.options.Locator.Do(ctx, HeadShard, func(ctx context.Context, address peer.Address) error {
		var err error
		response, err = peer.Invoke[Response](ctx, s.options.Transport, address, method, request)
		if err != nil && fault.From(err).RetryAfter > 0 {
			// The leader has decided; the operator comes back later and is not
			// held here by further attempts.
			refusal, err = err, nil
		}
		return err
	})
	if err == nil {
		err = refusal
	}
	return response, err
}

func outcome(err *fault.Error, unknown bool) error {
	if unknown {
		return fault.New(fault.Unavailable, "the change may have been accepted: "+err.Message, "repeat it with the same change id").
			WithRan(fault.RanUnknown).WithRetryAfter(retryAfter)
	}
	return err
}

func (s *Service) serveApply(ctx context.Context, request ApplyRequest) (ApplyResult, error) {
	result, err := s.accept(ctx, request.ChangeID, request.DryRun, func(present past) (Entry, error) {
		return plan(present, request)
	})
	s.metrics.applied(err)
	return result, err
}

func (s *Service) serveRollback(ctx context.Context, request RollbackRequest) (ApplyResult, error) {
	result, err := s.accept(ctx, request.ChangeID, request.DryRun, func(present past) (Entry, error) {
		change, kept := present.rollback(request.To, request.Objects)
		if !kept {
			return Entry{}, fault.Newf(fault.NotFound, "choose one from the history", "version %d is not kept", request.To)
		}
		return plan(present, ApplyRequest{ChangeID: request.ChangeID, Base: request.Base, Change: change, Author: request.Author, Message: request.Message})
	})
	s.metrics.applied(err)
	return result, err
}

// plan checks a change against the head and returns the entry that would make
// the next version.
func plan(present past, request ApplyRequest) (Entry, error) {
	head := present.head
	if request.Initial && head.Version != 0 {
		return Entry{}, fault.Newf(fault.Conflict, "apply changes instead", "the cluster already has configuration version %d", head.Version)
	}
	if request.Change.Empty() {
		return Entry{}, fault.New(fault.Invalid, "the change is empty", "name a template or tenant that differs from the present version")
	}
	if conflicting := present.conflicting(request.Base, request.Change); len(conflicting) > 0 {
		return Entry{}, conflict(head, request, conflicting)
	}
	if problems := head.ValidateChange(request.Change); len(problems) > 0 {
		hint, _ := json.Marshal(problems)
		return Entry{}, fault.New(fault.Invalid, problems[0].Field+": "+problems[0].What, problems[0].Remedy).WithHint(string(hint))
	}
	entry := Entry{Version: head.Version + 1, ChangeID: request.ChangeID, Author: request.Author, Message: request.Message, Change: request.Change}
	encoded, err := peer.Encode(entry)
	if err != nil {
		return Entry{}, err
	}
	if len(encoded) > maxChangeBytes {
		return Entry{}, fault.Newf(fault.TooLarge, "split it into several", "the change is %d bytes, more than %d", len(encoded), maxChangeBytes)
	}
	return entry, nil
}

func conflict(head *template.Configuration, request ApplyRequest, conflicting []string) error {
	wanted := head.With(head.Version+1, request.Change)
	hint := ConflictHint{Present: head.Version, Differs: differences(head, wanted, request.Change)}
	hint.Differs = slices.DeleteFunc(hint.Differs, func(d FieldDiff) bool { return !slices.Contains(conflicting, d.Object) })
	encoded, _ := json.Marshal(hint)
	return fault.Newf(fault.Conflict, "look at the difference and apply the change on the present version",
		"%s changed after the change's base; the present version is %d", conflicting[0], head.Version).WithHint(string(encoded))
}

// accept runs one change through shard 0 and the table. Only one is worked on
// at a time, so that the table sees versions in order.
func (s *Service) accept(ctx context.Context, changeID string, dryRun bool, plan func(past) (Entry, error)) (ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if dryRun {
		return s.dryRun(ctx, plan)
	}
	if err := s.lockApplying(ctx); err != nil {
		return ApplyResult{}, err
	}
	defer s.unlockApplying()
	for range applyAttempts {
		if left, err := s.settle(ctx); err != nil {
			return ApplyResult{}, settleFault(err, left == changeID)
		}
		result, tryAgain, err := s.acceptOnce(ctx, changeID, plan)
		if !tryAgain {
			return result, err
		}
	}
	return ApplyResult{}, fault.New(fault.Unavailable, "other changes came first", "try again").WithRetryAfter(retryAfter)
}

// settleFault says that a change has not run because of the one before it, or,
// if it is itself the one that is left half way, that this is not known.
func settleFault(err error, ours bool) error {
	ran := fault.RanNo
	if ours {
		ran = fault.RanUnknown
	}
	return fault.From(err).WithRan(ran).WithRetryAfter(retryAfter)
}

func (s *Service) lockApplying(ctx context.Context) error {
	select {
	case s.applying <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "another change is being accepted", "try again").WithRetryAfter(retryAfter)
	}
}

func (s *Service) unlockApplying() { <-s.applying }

// acceptOnce prepares a change on the present head and carries it through. It
// asks to try again when the head has moved meanwhile.
func (s *Service) acceptOnce(ctx context.Context, changeID string, plan func(past) (Entry, error)) (result ApplyResult, tryAgain bool, err error) {
	present, err := s.pastAtHead(ctx)
	if err != nil {
		return result, false, err
	}
	if record, ok := present.accepted(changeID); ok {
		return ApplyResult{Version: record.Entry.Version, ChangeID: changeID, Differs: recordDiff(record), Repetition: true}, false, nil
	}
	entry, err := plan(present)
	if err != nil {
		return result, false, err
	}
	before := present.head
	if ready, err := s.tableReady(ctx, before.Version); !ready {
		return result, err == nil, err
	}
	entry.Made = time.Now()
	prepared, err := s.propose(ctx, Command{Prepare: &entry})
	if err != nil {
		return result, false, err
	}
	if prepared.Verdict != Done {
		return result, true, nil
	}
	if err := s.complete(ctx, &entry); err != nil {
		return result, false, err
	}
	after := before.With(entry.Version, entry.Change)
	return ApplyResult{Version: entry.Version, ChangeID: changeID, Differs: differences(before, after, entry.Change)}, false, nil
}

// tableReady refuses a change while it surely has not run, when the table does
// not answer now or is behind. Where the table is ahead, its entries are adopted
// and the change is planned again.
func (s *Service) tableReady(ctx context.Context, head uint64) (bool, error) {
	row, err := s.table.head(ctx)
	switch {
	case err != nil:
		return false, err
	case row.Version < head:
		return false, fault.Newf(fault.Unavailable, "restore the row "+headKey+" of the table", "the table is at version %d and shard 0 at %d", row.Version, head).
			WithRetryAfter(retryAfter)
	case row.Version > head:
		return false, s.adopt(ctx, head, row)
	}
	return true, nil
}

// complete carries a prepared entry into the table, puts it in force and starts
// to spread it. A prepared entry may be completed by another leader at any time,
// so no failure says that it has not run.
func (s *Service) complete(ctx context.Context, entry *Entry) error {
	if s.options.mutant != acceptWithoutTable {
		if err := s.table.commit(ctx, entry); err != nil {
			return s.takenOver(err)
		}
	}
	accepted, err := s.propose(ctx, Command{Accept: &Acceptance{Version: entry.Version, ChangeID: entry.ChangeID}})
	if err != nil {
		return s.takenOver(err)
	}
	if accepted.Verdict != Done {
		return s.takenOver(fault.New(fault.Conflict, "another leader accepted a change at this version", "look at the history"))
	}
	s.inForceHere(accepted.Head, *entry)
	return nil
}

// takenOver says that the fate of a prepared change is not known here.
func (s *Service) takenOver(cause error) *fault.Error {
	if s.options.mutant == refuseTakenOver && fault.Is(cause, fault.Conflict) {
		return fault.From(cause)
	}
	return fault.Newf(fault.Unavailable, "repeat it with the same change id", "the change is prepared and not known to be accepted (%v)", cause).
		WithRan(fault.RanUnknown).WithRetryAfter(retryAfter)
}

// inForceHere takes in a version that this leader saw accepted.
func (s *Service) inForceHere(head *template.Configuration, entry Entry) {
	if !s.take([]Entry{entry}) {
		s.takeWhole(head)
	}
	s.metrics.accepted(entry)
	select {
	case s.spread <- struct{}{}:
	default:
	}
}

func (s *Service) propose(ctx context.Context, command Command) (Result, error) {
	encoded, err := s.options.Envelope(command)
	if err != nil {
		return Result{}, err
	}
	applied, err := s.options.Proposer.Propose(ctx, HeadShard, encoded)
	if err != nil {
		return Result{}, err
	}
	return applied.(Result), nil
}

func (s *Service) dryRun(ctx context.Context, plan func(past) (Entry, error)) (ApplyResult, error) {
	present, err := s.pastAtHead(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	entry, err := plan(present)
	if err != nil {
		return ApplyResult{}, err
	}
	next := present.head.With(entry.Version, entry.Change)
	return ApplyResult{Version: entry.Version, ChangeID: entry.ChangeID, Differs: differences(present.head, next, entry.Change), DryRun: true}, nil
}
