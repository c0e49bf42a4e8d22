package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/client"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/timing"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

// runner plays the scripts of one seed at one target.
type runner struct {
	options *Options
	clients map[id.Tenant][]*client.Client
	measure *measure
	run     string        // makes the programs' keys differ between runs
	places  chan struct{} // of programs under way

	mutex sync.Mutex
	calls []call
}

// call is what the runner knows of one call when it has ended.
type call struct {
	program    id.Program
	number     uint64 // that it was sent with
	answered   uint64 // number that the answer carried
	repeatable bool
	text       string // of the answer
	tokens     int    // of the answer, by its usage
	prompt     int    // tokens of the whole history before the answer, by its usage
	input      int    // tokens of the messages sent
	began      time.Time
	ended      time.Time
	failure    *fault.Error
}

// play runs all scripts and returns their calls.
func (r *runner) play(ctx context.Context, scripts []workload.ProgramScript, actions []Action) []call {
	ctx, cancel := context.WithTimeout(ctx, r.options.MaxDuration)
	defer cancel()
	var programs sync.WaitGroup
	began := time.Now()
	acting, stopActing := context.WithCancel(ctx)
	defer stopActing()
	moments := make(chan []moment, 1)
	go func() { moments <- r.act(acting, began, actions) }()
	for i := range scripts {
		if timing.Sleep(ctx, time.Until(began.Add(r.scaled(scripts[i].Arrival)))) != nil || !r.enter(ctx) {
			break
		}
		programs.Add(1)
		go func() {
			defer programs.Done()
			defer func() { <-r.places }()
			r.playRoot(ctx, &scripts[i])
		}()
	}
	programs.Wait()
	stopActing()
	r.measure.recover(<-moments, r.calls)
	return r.calls
}

func (r *runner) enter(ctx context.Context) bool {
	select {
	case r.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / r.options.Speed)
}

// playRoot runs a program and its sub-agents and measures its latency.
func (r *runner) playRoot(ctx context.Context, script *workload.ProgramScript) {
	r.measure.started()
	began, err := r.playProgram(ctx, script, "")
	r.measure.ended(time.Since(began), err, script.Misbehaving)
}

// playProgram creates a program, makes its calls and ends it. It returns when
// the first call was sent.
func (r *runner) playProgram(ctx context.Context, script *workload.ProgramScript, parent string) (began time.Time, err error) {
	began = time.Now()
	tenant := r.clientOf(script)
	body := wire.CreateProgram{Template: string(script.Template), Parent: parent}
	if script.Deadline > 0 {
		deadline := began.Add(r.scaled(script.Deadline))
		body.Deadline = &deadline
	}
	created, err := tenant.CreateProgram(ctx, body, r.run+"/"+string(script.Program))
	if err != nil {
		return began, err
	}
	began = time.Now()
	defer func() {
		if _, endErr := tenant.EndProgram(context.WithoutCancel(ctx), created.ID); err == nil {
			err = endErr
		}
	}()
	for turn := range script.Turns {
		if err := r.playTurn(ctx, tenant, script, created.ID, turn); err != nil {
			return began, err
		}
		if err := r.playBetween(ctx, &script.Turns[turn], created.ID); err != nil {
			return began, err
		}
	}
	return began, nil
}

// clientOf chooses a node by the program, the same in every run.
func (r *runner) clientOf(script *workload.ProgramScript) *client.Client {
	clients := r.clients[script.Tenant]
	return clients[xxhash.Sum64String(string(script.Program))%uint64(len(clients))]
}

// playBetween runs a turn's sub-agents and then waits as its tools would.
func (r *runner) playBetween(ctx context.Context, turn *workload.Turn, parent string) error {
	failures := make(chan error, len(turn.SubAgents))
	for i := range turn.SubAgents {
		go func() {
			_, err := r.playProgram(ctx, &turn.SubAgents[i], parent)
			failures <- err
		}()
	}
	var first error
	for range turn.SubAgents {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	if first == nil && timing.Sleep(ctx, r.scaled(turn.Pause)) != nil {
		first = context.Cause(ctx)
	}
	return first
}

// playTurn makes one call and measures its stream.
func (r *runner) playTurn(ctx context.Context, tenant *client.Client, script *workload.ProgramScript, program string, turn int) error {
	request := r.request(script, program, turn)
	timer := r.measure.call()
	answer, err := tenant.Stream(ctx, program, request, timer.piece)
	restarted := fault.Is(err, fault.EngineFailed) && fault.From(err).Ran == fault.RanYes
	if restarted {
		answer, err = fetchWhole(ctx, tenant, program, answer)
	}
	timer.done(err, answer.Resumes, restarted)
	r.note(id.Program(program), request, answer, err, timer.began)
	return err
}

// fetchWhole reads the stored answer of a call that was made again with another
// text after a part had been streamed.
func fetchWhole(ctx context.Context, tenant *client.Client, program string, streamed client.Streamed) (client.Streamed, error) {
	whole, err := tenant.FetchByKey(ctx, program, streamed.Key)
	if err != nil || len(whole.Choices) == 0 || whole.Usage == nil {
		return streamed, err
	}
	streamed.Call, streamed.Usage, streamed.Text = whole.Call, *whole.Usage, ""
	if content := whole.Choices[0].Message.Content; content != nil {
		streamed.Text = string(*content)
	}
	return streamed, nil
}

func (r *runner) request(script *workload.ProgramScript, program string, turn int) wire.Call {
	step := script.Turns[turn]
	texts := step.Input
	if turn == 0 {
		texts = append(append([]workload.Text{}, script.System...), texts...)
	}
	request := wire.Call{
		Key:    fmt.Sprintf("%s/%s/%d", r.run, script.Program, turn+1),
		Number: uint64(turn + 1),
		Model:  string(r.options.Models[script.Template]),
		// The stand-in engines fill what is allowed, so this sets the length.
		MaxTokens:            step.OutputTokens,
		ExpectedPauseSeconds: r.scaled(step.Hint).Seconds(),
	}
	for _, message := range workload.Messages(texts) {
		request.Messages = append(request.Messages, wire.FromHistory(message))
	}
	if r.nonRepeatable(program, turn) {
		once := false
		request.Repeatable = &once
	}
	return request
}

// nonRepeatable draws from a hash, so that no random source is shared.
func (r *runner) nonRepeatable(program string, turn int) bool {
	const steps = 1 << 16
	drawn := xxhash.Sum64String(fmt.Sprintf("%s/%d", program, turn)) % steps
	return float64(drawn) < r.options.NonRepeatable*steps
}

func (r *runner) note(program id.Program, request wire.Call, answer client.Streamed, err error, began time.Time) {
	noted := call{
		program: program, number: request.Number, answered: answer.Call,
		repeatable: request.Repeatable == nil, text: answer.Text, tokens: answer.Usage.CompletionTokens,
		prompt: answer.Usage.PromptTokens, input: inputTokens(request),
		began: began, ended: time.Now(),
	}
	if err != nil {
		noted.failure = fault.From(err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = append(r.calls, noted)
}

func inputTokens(request wire.Call) int {
	total := 0
	for _, message := range request.Messages {
		if kept, err := message.History(); err == nil {
			total += chat.EstimateTokens(kept)
		}
	}
	return total
}

// report tells about the progress until stop is called.
func (r *runner) report(target string, seed uint64) (stop func()) {
	if r.options.Progress == nil {
		return func() {}
	}
	finished := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.options.Progress(r.measure.progress(target, seed))
			case <-finished:
				r.options.Progress(r.measure.progress(target, seed))
				return
			}
		}
	}()
	return func() {
		close(finished)
		<-done
	}
}
