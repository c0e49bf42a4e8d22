package standin

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// EngineFaults says what an engine does wrong, besides Faults, which apply to
// each exchange. The zero value is a healthy engine.
type EngineFaults struct {
	Slow  float64       `json:"slow"`  // how many times slower; zero: normal
	Stall time.Duration `json:"stall"` // of the whole batch, once, in nanoseconds
	// Dead breaks all connections and forgets everything but the model. The
	// engine comes back, empty, when it is switched off.
	Dead bool `json:"dead"`
	// BreakStreamAt breaks the next stream that has come to so many tokens; the
	// request goes on.
	BreakStreamAt int `json:"break_stream_at"`
	// LoseOutcomes is how many streams break after the work was done, before
	// the outcome is sent; negative: all.
	LoseOutcomes int  `json:"lose_outcomes"`
	AnswerTwice  bool `json:"answer_twice"` // every chunk and outcome
}

// SetEngineFaults replaces the engine's own faults.
func (e *Engine) SetEngineFaults(faults EngineFaults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.advance()
	if faults.Dead && !e.faults.Dead {
		e.die(now)
	}
	speed := 1.0
	if faults.Slow > 0 {
		speed = 1 / faults.Slow
	}
	e.model.SetSpeed(now, speed)
	if faults.Stall > 0 {
		e.model.Stall(now, e.virtual(time.Now().Add(faults.Stall)))
		faults.Stall = 0
	}
	e.faults = faults
	e.wakeUp()
}

// GetEngineFaults returns the engine's own faults in force.
func (e *Engine) GetEngineFaults() EngineFaults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

// die forgets all requests, the cache and the highest epoch.
func (e *Engine) die(now time.Time) {
	e.model.Reset(now)
	for _, j := range e.jobs {
		if j.state == engine.RequestRunning {
			e.end(j, engine.RequestUnknown, "", nil)
		}
	}
	clear(e.jobs)
	e.ended = nil
	e.epoch, e.forgotten = 0, 0
	e.deaths++
	e.takeReport()
	e.takeReport()
}

func (e *Engine) takeBreak(tokens int) bool {
	if e.faults.BreakStreamAt == 0 || tokens < e.faults.BreakStreamAt {
		return false
	}
	e.faults.BreakStreamAt = 0
	return true
}

func (e *Engine) takeOutcomeLoss() bool {
	if e.faults.LoseOutcomes == 0 {
		return false
	}
	if e.faults.LoseOutcomes > 0 {
		e.faults.LoseOutcomes--
	}
	return true
}

// Run is what really happened with one request at an engine.
type Run struct {
	Request id.Request `json:"request"`
	Program id.Program `json:"program"`
	// Starts counts how often it was started; more than one means that the
	// engine had forgotten it.
	Starts   int    `json:"starts"`
	Finished int    `json:"finished"` // how often it came to its end
	Reason   string `json:"reason"`   // of the last end; empty while running or after a death
	// Partial is how many tokens of the answer the last run was given.
	Partial int        `json:"partial"`
	Usage   chat.Usage `json:"usage"` // of the last run
}

// EngineRecord is what an engine really ran, over all its deaths.
type EngineRecord struct {
	Runs   []Run          `json:"runs"` // in order of their first start
	Orders []engine.Order `json:"orders"`
	// Account is what was computed and wasted. An engine does not know which
	// call is a program's last, so the context of ended programs counts as waste.
	Account enginemodel.Account `json:"account"`
}

// Record returns what the engine really ran.
func (e *Engine) Record() EngineRecord {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	runs := make([]Run, len(e.order))
	for i, request := range e.order {
		runs[i] = *e.record[request]
		if j := e.jobs[request]; j != nil && j.state == engine.RequestRunning {
			runs[i].Usage = j.usage
			runs[i].Usage.OutputTokens = j.tokens
		}
	}
	return EngineRecord{Runs: runs, Orders: append([]engine.Order{}, e.orders...), Account: e.model.Account()}
}

func (e *Engine) started(request engine.GenerateRequest) {
	run := e.record[request.Request]
	if run == nil {
		run = &Run{Request: request.Request, Program: request.Program}
		e.record[request.Request] = run
		e.order = append(e.order, request.Request)
	}
	run.Starts++
	run.Partial = request.Partial.Tokens
	run.Reason = ""
	run.Usage = chat.Usage{}
}

func (e *Engine) settled(j *job, reason string) {
	run := e.record[j.request]
	run.Usage = j.usage
	run.Reason = reason
	if j.state == engine.RequestFinished && reason != finishCancelled {
		run.Finished++
	}
}
