// Package chat holds the messages of a program's history in the
// chat-completions shape, and the prefix segments that name cached context.
package chat

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Role says who wrote a message.
type Role string

// The roles of the chat-completions interface.
const (
	System    Role = "system"
	User      Role = "user"
	Assistant Role = "assistant"
	Tool      Role = "tool"
)

// ToolCall is a model's wish to call a tool.
type ToolCall struct {
	ID        string `json:"id"`
	Name      string `json:"name"`
	Arguments string `json:"arguments"` // JSON
}

// Message is one entry of a history.
type Message struct {
	Role       Role       `json:"role"`
	Content    string     `json:"content"`
	ToolCalls  []ToolCall `json:"tool_calls,omitempty"`
	ToolCallID string     `json:"tool_call_id,omitempty"` // of a tool's answer
}

// bytesPerToken is the estimate used before an engine has counted.
const bytesPerToken = 4

// messageOverheadTokens covers role and separators.
const messageOverheadTokens = 4

// EstimateTokens estimates a message's length in tokens.
func EstimateTokens(m Message) int {
	size := len(m.Content)
	for _, call := range m.ToolCalls {
		size += len(call.Name) + len(call.Arguments)
	}
	return messageOverheadTokens + (size+bytesPerToken-1)/bytesPerToken
}

// Usage counts tokens of one call.
type Usage struct {
	PromptTokens int
	CachedTokens int // of the prompt, found in the engine's prefix cache
	OutputTokens int
}

// Segment is one message's span of context. Hash chains over all segments
// before it, so equal hashes mean equal prefixes.
type Segment struct {
	Hash   uint64
	Tokens int
}

// Prefix is a history as segments, oldest first.
type Prefix []Segment

// Tokens sums the lengths of all segments.
func (p Prefix) Tokens() int {
	total := 0
	for _, segment := range p {
		total += segment.Tokens
	}
	return total
}

// Extend appends the segments of messages to p.
func (p Prefix) Extend(messages ...Message) Prefix {
	extended := p[:len(p):len(p)]
	var parent uint64
	if len(p) > 0 {
		parent = p[len(p)-1].Hash
	}
	for _, message := range messages {
		parent = chainHash(parent, message)
		extended = append(extended, Segment{Hash: parent, Tokens: EstimateTokens(message)})
	}
	return extended
}

func chainHash(parent uint64, m Message) uint64 {
	digest := xxhash.New()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], parent)
	writeField(digest, string(number[:]))
	writeField(digest, string(m.Role))
	writeField(digest, m.Content)
	writeField(digest, m.ToolCallID)
	for _, call := range m.ToolCalls {
		writeField(digest, call.ID)
		writeField(digest, call.Name)
		writeField(digest, call.Arguments)
	}
	return digest.Sum64()
}

// writeField writes a length before the bytes, so that fields cannot run together.
func writeField(digest *xxhash.Digest, field string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(field)
}
