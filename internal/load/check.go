package load

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// callKey names one call of one program.
type callKey struct {
	program id.Program
	number  uint64
}

// keyOfRequest takes the attempt off a request's identifier.
func keyOfRequest(request id.Request) (callKey, bool) {
	parts := strings.Split(string(request), "/")
	if len(parts) != 3 {
		return callKey{}, false
	}
	number, err := strconv.ParseUint(parts[1], 10, 64)
	return callKey{program: id.Program(parts[0]), number: number}, err == nil
}

// checkCalls compares what callers were told with what engines truly ran, and
// returns one line for each violation:
//   - calls take the numbers in the program's order,
//   - an answer is whole and is that of its own request; where an attempt went
//     on after what earlier ones had made, each part is that of its attempt,
//   - what was refused as not run has not run,
//   - what may not be repeated has started at most once,
//   - the engines saw each program's whole history and nothing else.
func checkCalls(calls []call, runs []EngineRun, answer textOf) []string {
	byCall := map[callKey][]EngineRun{}
	for _, run := range runs {
		if key, ok := keyOfRequest(run.Request); ok {
			byCall[key] = append(byCall[key], run)
		}
	}
	var violations []string
	for _, c := range calls {
		if problem := checkCall(c, byCall[callKey{c.program, c.number}], answer); problem != "" {
			violations = append(violations, fmt.Sprintf("program=%s call=%d: %s", c.program, c.number, problem))
		}
	}
	return append(violations, checkHistories(calls)...)
}

// checkHistories compares each prompt's length with that of the call before,
// its answer and the messages sent since.
func checkHistories(calls []call) []string {
	answered := map[callKey]call{}
	for _, c := range calls {
		if c.failure == nil {
			answered[callKey{c.program, c.number}] = c
		}
	}
	var violations []string
	for _, c := range calls {
		before, ok := answered[callKey{c.program, c.number - 1}]
		if c.failure != nil || !ok {
			continue
		}
		answer := chat.EstimateTokens(chat.Message{Role: chat.Assistant, Content: before.text})
		if want := before.prompt + answer + c.input; c.prompt != want {
			violations = append(violations, fmt.Sprintf("program=%s call=%d: the prompt had %d tokens, but the history has %d", c.program, c.number, c.prompt, want))
		}
	}
	return violations
}

func checkCall(c call, runs []EngineRun, answer textOf) string {
	starts := 0
	for _, run := range runs {
		starts += run.Starts
	}
	switch {
	case !c.repeatable && starts > 1:
		return fmt.Sprintf("not repeatable, but started %d times", starts)
	case c.failure != nil && c.failure.Ran == fault.RanNo && starts > 0:
		return fmt.Sprintf("refused as not run by %s, but started %d times", c.failure.Code, starts)
	case c.failure != nil:
		return ""
	case c.answered != c.number:
		return fmt.Sprintf("answered as call %d", c.answered)
	case !answeredBy(c, runs, answer):
		return fmt.Sprintf("the answer of %d bytes and %d tokens is that of none of its %d runs", len(c.text), c.tokens, len(runs))
	}
	return ""
}

// textOf is the text that an engine gives to a request, from one token of the
// answer to another.
type textOf func(request id.Request, from, to int) string

// answeredBy reports whether one finished run gave exactly this answer, where it
// was given a part of it together with the runs before.
func answeredBy(c call, runs []EngineRun, answer textOf) bool {
	for _, run := range runs {
		if run.Finished > 0 && run.Tokens == c.tokens && madeBy(c.text, run.Tokens, run, runs, answer) {
			return true
		}
	}
	return false
}

// madeBy reports whether text is that of so many tokens which run made after its
// partial answer, and runs of earlier attempts the partial answer.
func madeBy(text string, tokens int, run EngineRun, runs []EngineRun, answer textOf) bool {
	if tokens < run.Partial || run.Tokens < tokens {
		return false
	}
	before, ended := strings.CutSuffix(text, answer(run.Request, run.Partial, tokens))
	if !ended {
		return false
	}
	if run.Partial == 0 {
		return before == ""
	}
	return slices.ContainsFunc(runs, func(earlier EngineRun) bool {
		return attemptOf(earlier.Request) < attemptOf(run.Request) && madeBy(before, run.Partial, earlier, runs, answer)
	})
}

// attemptOf is the attempt that a request's identifier names.
func attemptOf(request id.Request) int {
	text := string(request)
	attempt, _ := strconv.Atoi(text[strings.LastIndexByte(text, '/')+1:])
	return attempt
}
