package program

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
)

func (m *Machine) accept(a *Accept) Result {
	r, problem := m.find(a.Program, a.Tenant)
	if problem != nil {
		return Result{Fault: problem}
	}
	if known := r.byKey(a.Key); known != nil && !m.mayRunAgain(r, a, known) {
		return m.acceptAgain(a, r, known)
	}
	if earlier, refused := r.Refusals[a.Key]; refused && !a.Arrived.After(earlier.Arrived) && !m.mutant.forgetRefusals {
		return Result{Fault: earlier.Fault, Program: r.view()}
	}
	if r.Ended || r.Closing != nil {
		return Result{Fault: endedFault(r), Program: r.view()}
	}
	r.Limits = a.Limits
	if problem := r.pastDeadline(m.Now); problem != nil {
		return m.endWith(r, problem)
	}
	number, problem := r.place(a)
	if problem != nil {
		return Result{Fault: problem, Program: r.view()}
	}
	if problem := r.checkLimits(a, number); problem != nil {
		return m.close(r, problem)
	}
	call := m.add(r, a, number)
	return Result{Program: r.view(), Call: *call}
}

// acceptAgain answers a repeated key with the call that holds it.
func (m *Machine) acceptAgain(a *Accept, r *record, call *Call) Result {
	sameNumber := a.Number == 0 || a.Number == call.Number
	if !sameNumber || a.Body != call.BodyHash {
		return Result{Fault: KeyReused(a.Key), Program: r.view()}
	}
	return Result{Program: r.view(), Call: *call, Existing: true}
}

// mayRunAgain reports whether a is a new request with the key of a call that
// failed, may be repeated and left its number to the next.
func (m *Machine) mayRunAgain(r *record, a *Accept, known *Call) bool {
	if r.Failures[a.Key] == nil || a.Body != known.BodyHash {
		return false
	}
	return known.MayRunAgain(a.Arrived) || m.mutant.rerunFailed
}

// MayRunAgain reports whether a request that arrived then may run a failed call
// again under its key. Copies of requests that were answered by the failure may not.
func (c *Call) MayRunAgain(arrived time.Time) bool {
	return c.State == Failed && c.Vacated && c.Repeatable && arrived.After(c.Arrived)
}

// KeyReused is the answer to a key that was used for another request.
func KeyReused(key string) *fault.Error {
	return fault.Newf(fault.KeyReused, "use a fresh key for each new request", "key %q was used with another body", key)
}

// place returns the number that a new call takes.
func (r *record) place(a *Accept) (uint64, *fault.Error) {
	if a.Key == "" {
		return 0, fault.New(fault.Invalid, "the call has no idempotency key", "send one, fresh for each request")
	}
	if a.Number == 0 {
		return r.last() + 1, nil
	}
	if a.Number < r.Turn || r.Calls[a.Number] != nil {
		return 0, fault.Newf(fault.Invalid, "use the next free number or leave it out",
			"call %d of this program has another key", a.Number)
	}
	if limit := r.maxTurns(); limit > 0 && a.Number > uint64(limit) && a.Number > r.last()+1 {
		return 0, fault.Newf(fault.LimitReached, "number calls from 1 without gaps", "call %d exceeds the limit of %d turns", a.Number, limit)
	}
	return a.Number, nil
}

// checkLimits returns why the call would take the program over a limit.
func (r *record) checkLimits(a *Accept, number uint64) *fault.Error {
	if limit := r.maxTurns(); limit > 0 && number+uint64(len(r.Failures)) > uint64(limit) {
		return fault.Newf(fault.LimitReached, "create a new program or raise the template's turns", "the program has had its %d turns", limit)
	}
	tokens := r.Tokens + r.waitingTokens() + estimate(a.Messages)
	if limit := r.Limits.Tokens; limit > 0 && tokens >= limit {
		return tokenLimit(limit)
	}
	return nil
}

func tokenLimit(limit int) *fault.Error {
	return fault.Newf(fault.LimitReached, "create a new program or raise the template's tokens", "the history reaches the limit of %d tokens", limit)
}

func estimate(messages []chat.Message) int {
	total := 0
	for _, message := range messages {
		total += chat.EstimateTokens(message)
	}
	return total
}

// add puts a new call into the order.
func (m *Machine) add(r *record, a *Accept, number uint64) *Call {
	call := &Call{
		Number: number, Key: a.Key, BodyHash: a.Body, State: Accepted,
		Messages: a.Messages, Tokens: estimate(a.Messages), Model: a.Model, Adapter: a.Adapter,
		MaxTokens: a.MaxTokens, Repeatable: a.Repeatable, Tool: a.Tool, Arrived: a.Arrived,
	}
	r.Calls[number] = call
	r.open[number] = call
	r.Keys[a.Key] = number
	if failed := r.Failures[a.Key]; failed != nil {
		delete(r.Failures, a.Key)
		m.grow(r, -failed.size())
	}
	if _, refused := r.Refusals[a.Key]; refused {
		delete(r.Refusals, a.Key)
		m.grow(r, -refusalOverhead)
	}
	m.grow(r, call.size())
	m.touch(r)
	return call
}

// touch notes that r and the programs above it are not idle.
func (m *Machine) touch(r *record) {
	for r != nil {
		r.Active = m.Now
		r = m.Programs[r.Parent]
	}
}

// BodyHash covers what must be equal when an idempotency key is repeated. It is
// taken of the request as the caller sent it, before defaults are filled in.
func BodyHash(a *Accept) uint64 {
	digest := xxhash.New()
	prefix := chat.Prefix(nil).Extend(a.Messages...)
	if len(prefix) > 0 {
		writeNumber(digest, prefix[len(prefix)-1].Hash)
	}
	writeNumber(digest, uint64(len(a.Messages)))
	writeText(digest, string(a.Model))
	writeText(digest, string(a.Adapter))
	writeNumber(digest, uint64(a.MaxTokens))
	if a.Repeatable {
		writeNumber(digest, 1)
	}
	if a.Tool != nil {
		writeText(digest, a.Tool.Name)
		writeText(digest, a.Tool.Arguments)
		writeText(digest, a.Tool.CallID)
	}
	return digest.Sum64()
}

func writeNumber(digest *xxhash.Digest, number uint64) {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], number)
	_, _ = digest.Write(encoded[:])
}

func writeText(digest *xxhash.Digest, text string) {
	writeNumber(digest, uint64(len(text)))
	_, _ = digest.WriteString(text)
}
