package standin

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Reasons why a generation ends.
const (
	finishStop      = "stop"
	finishLength    = "length"
	finishToolCalls = "tool_calls"
	finishCancelled = "cancelled"
)

// callTool recognises a user's wish for a tool call: call tool NAME {json}.
var callTool = regexp.MustCompile(`call tool (\S+) (\{.*\})`)

// answerWith recognises a user's wish for a length: answer with N tokens.
var answerWith = regexp.MustCompile(`answer with (\d+) tokens`)

// plan is what an engine will answer to a request.
type plan struct {
	tokens  int // of the whole answer
	reason  string
	tool    []chat.ToolCall
	partial engine.Partial // made by earlier attempts; part of the answer
}

// planAnswer decides the answer from the last message, if a user wrote it: a
// tool call or a number of tokens on demand. Otherwise the answer has all the
// tokens that the request allows. A partial answer is gone on with.
func planAnswer(request engine.GenerateRequest) plan {
	planned := planWhole(request)
	planned.partial = request.Partial
	if planned.tool != nil {
		planned.tokens += request.Partial.Tokens
	}
	planned.tokens = max(planned.tokens, request.Partial.Tokens)
	return planned
}

func planWhole(request engine.GenerateRequest) plan {
	planned := plan{tokens: max(request.MaxTokens, 1), reason: finishLength}
	if len(request.Messages) == 0 {
		return planned
	}
	last := request.Messages[len(request.Messages)-1]
	if last.Role != chat.User {
		return planned
	}
	if match := callTool.FindStringSubmatch(last.Content); match != nil {
		return planToolCall(request.Request, match[1], match[2])
	}
	if match := answerWith.FindStringSubmatch(last.Content); match != nil {
		wanted, err := strconv.Atoi(match[1])
		if err == nil && wanted > 0 && wanted < planned.tokens {
			return plan{tokens: wanted, reason: finishStop}
		}
	}
	return planned
}

func planToolCall(request id.Request, name, arguments string) plan {
	call := chat.ToolCall{
		ID:        "call_" + strconv.FormatUint(xxhash.Sum64String(string(request)), 16),
		Name:      name,
		Arguments: arguments,
	}
	calls := []chat.ToolCall{call}
	return plan{
		tokens: chat.EstimateTokens(chat.Message{ToolCalls: calls}),
		reason: finishToolCalls,
		tool:   calls,
	}
}

// message returns the answer when it has been made up to tokens.
func (p plan) message(request id.Request, tokens int) chat.Message {
	if p.tool == nil {
		return chat.Message{Role: chat.Assistant, Content: p.text(request, 0, tokens)}
	}
	if tokens < p.tokens {
		return chat.Message{Role: chat.Assistant, Content: p.partial.Text}
	}
	return chat.Message{Role: chat.Assistant, Content: p.partial.Text, ToolCalls: p.tool}
}

// text returns the part of the answer from one token to another.
func (p plan) text(request id.Request, from, to int) string {
	given := p.partial.Text[p.partialByte(from):p.partialByte(to)]
	if p.tool != nil {
		return given
	}
	return given + AnswerText(request, max(from, p.partial.Tokens), to)
}

// partialByte is where a token begins in the partial answer; beyond it, its end.
// All tokens of stand-ins are equally long.
func (p plan) partialByte(token int) int {
	if token >= p.partial.Tokens {
		return len(p.partial.Text)
	}
	return min(token*(lettersPerToken+1), len(p.partial.Text))
}

const (
	lettersPerToken = 3
	alphabet        = "aeioubdfgklmnprs" // sixteen, so that four bits choose one
	bitsPerLetter   = 4
	goldenRatio     = 0x9e3779b97f4a7c15
)

// AnswerText is the filler that the stand-in engine generates for a request,
// from one token to another. Each token is three letters and a space, so that
// chat.EstimateTokens counts it as one, and the text tells requests apart.
func AnswerText(request id.Request, from, to int) string {
	seed := xxhash.Sum64String(string(request))
	var text strings.Builder
	text.Grow((lettersPerToken + 1) * max(to-from, 0))
	for token := from; token < to; token++ {
		bits := mix(seed + uint64(token)*goldenRatio)
		for range lettersPerToken {
			text.WriteByte(alphabet[bits%uint64(len(alphabet))])
			bits >>= bitsPerLetter
		}
		text.WriteByte(' ')
	}
	return text.String()
}

// mix spreads a number's bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	return x ^ x>>31
}
