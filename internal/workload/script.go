package workload

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// ProgramScript is everything that one program will do.
type ProgramScript struct {
	Program  id.Program
	Tenant   id.Tenant
	Template id.Template
	Priority int
	// Arrival is when the program starts, after the start of the run. It is
	// zero for sub-agents, which start when their parent's turn has ended.
	Arrival time.Duration
	// Deadline is how long after its start the program must have ended; zero
	// means that it has no deadline.
	Deadline    time.Duration
	Zone        string // of its caller
	Misbehaving bool
	// System is what precedes the first turn: texts shared between programs.
	System []Text
	Turns  []Turn
}

// Turn is one call of a program.
type Turn struct {
	Input        []Text // new messages
	OutputTokens int    // that the model will generate
	MaxTokens    int    // that the caller allows
	// Pause is how long the program's tools take between the answer and the
	// next call; zero after the last turn.
	Pause time.Duration
	// Hint is the caller's expectation of Pause; zero means that it gives none.
	Hint time.Duration
	// SubAgents start when the answer is there; the next call follows Pause
	// after the last of them has ended.
	SubAgents []ProgramScript
}

// Text is a message whose content follows from a seed, so that a script stays
// small. Equal seeds and lengths mean equal contents.
type Text struct {
	Role   chat.Role
	Tokens int // as chat.EstimateTokens counts, at least MinimumTokens
	Seed   uint64
}

// MinimumTokens is the length of the shortest Text.
const MinimumTokens = 5

// bytesPerToken and overheadTokens are those of chat.EstimateTokens.
const (
	bytesPerToken  = 4
	overheadTokens = 4
)

// words fill messages.
var words = []string{"mango", "crate", "stall", "price", "levy", "cellar", "grape", "press", "river", "ledger", "kilo", "bunch"}

// Message builds the message, of exactly Tokens as chat.EstimateTokens counts.
func (t Text) Message() chat.Message {
	size := (t.Tokens - overheadTokens) * bytesPerToken
	var content strings.Builder
	content.Grow(size + bytesPerToken*4)
	state := t.Seed
	for content.Len() < size {
		state = state*6364136223846793005 + 1442695040888963407
		content.WriteString(words[(state>>33)%uint64(len(words))])
		content.WriteByte(' ')
	}
	return chat.Message{Role: t.Role, Content: content.String()[:size]}
}

// Messages builds the messages of several texts.
func Messages(texts []Text) []chat.Message {
	messages := make([]chat.Message, 0, len(texts))
	for _, text := range texts {
		messages = append(messages, text.Message())
	}
	return messages
}

// Extend appends the segments of texts to prefix without building messages.
// The hashes chain as those of chat.Prefix do, but are not the same numbers.
func Extend(prefix chat.Prefix, texts ...Text) chat.Prefix {
	extended := prefix[:len(prefix):len(prefix)]
	var parent uint64
	if len(prefix) > 0 {
		parent = prefix[len(prefix)-1].Hash
	}
	for _, text := range texts {
		parent = mix(parent, text.Seed, uint64(text.Tokens))
		extended = append(extended, chat.Segment{Hash: parent, Tokens: text.Tokens})
	}
	return extended
}

// Answer is the text that a simulated model gives to a turn of a program.
func (p *ProgramScript) Answer(turn int) Text {
	seed := mix(xxhash.Sum64String(string(p.Program)), uint64(turn), 0)
	return Text{Role: chat.Assistant, Tokens: max(p.Turns[turn].OutputTokens, MinimumTokens), Seed: seed}
}

func mix(numbers ...uint64) uint64 {
	var buffer [8]byte
	digest := xxhash.New()
	for _, number := range numbers {
		for i := range buffer {
			buffer[i] = byte(number >> (8 * i))
		}
		_, _ = digest.Write(buffer[:])
	}
	return digest.Sum64()
}
