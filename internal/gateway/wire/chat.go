package wire

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// The object names of chat bodies.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
	ObjectList       = "list"
	ObjectModel      = "model"
)

const (
	functionType  = "function"
	textPart      = "text"
	developerRole = "developer"
)

// Message is a chat message as stock clients write it.
type Message struct {
	Role       string     `json:"role,omitempty"`
	Content    *Content   `json:"content,omitempty"`
	ToolCalls  []ToolCall `json:"tool_calls,omitempty"`
	ToolCallID string     `json:"tool_call_id,omitempty"`
	Name       string     `json:"name,omitempty"`
}

// Content is a message's text. It is read from a string, a list of text parts
// or null, and written as a string.
type Content string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	if !bytes.HasPrefix(data, []byte("[")) {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, part := range parts {
		if part.Type != textPart {
			return fault.Newf(fault.Invalid, "send text parts only", "content part of type %q is not supported", part.Type)
		}
		text.WriteString(part.Text)
	}
	*c = Content(text.String())
	return nil
}

// ToolCall is a model's wish to call a tool. Index is set in chunks only.
type ToolCall struct {
	Index    *int     `json:"index,omitempty"`
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Function Function `json:"function"`
}

// Function names a tool and its arguments as JSON text.
type Function struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// History converts a message to the form that programs keep. It fails with
// fault.Invalid on an unknown role.
func (m Message) History() (chat.Message, error) {
	role := chat.Role(m.Role)
	if m.Role == developerRole {
		role = chat.System
	}
	switch role {
	case chat.System, chat.User, chat.Assistant, chat.Tool:
	default:
		return chat.Message{}, fault.Newf(fault.Invalid, "use system, user, assistant or tool", "unknown message role %q", m.Role)
	}
	kept := chat.Message{Role: role, ToolCallID: m.ToolCallID}
	if m.Content != nil {
		kept.Content = string(*m.Content)
	}
	for _, call := range m.ToolCalls {
		kept.ToolCalls = append(kept.ToolCalls, chat.ToolCall{
			ID: call.ID, Name: call.Function.Name, Arguments: call.Function.Arguments,
		})
	}
	return kept, nil
}

// Histories converts messages in order.
func Histories(messages []Message) ([]chat.Message, error) {
	kept := make([]chat.Message, 0, len(messages))
	for _, message := range messages {
		converted, err := message.History()
		if err != nil {
			return nil, err
		}
		kept = append(kept, converted)
	}
	return kept, nil
}

// FromHistory converts a kept message to the wire form.
func FromHistory(m chat.Message) Message {
	content := Content(m.Content)
	return Message{
		Role:       string(m.Role),
		Content:    &content,
		ToolCalls:  FromToolCalls(m.ToolCalls, false),
		ToolCallID: m.ToolCallID,
	}
}

// FromToolCalls converts tool calls; chunks number them.
func FromToolCalls(calls []chat.ToolCall, numbered bool) []ToolCall {
	var converted []ToolCall
	for position, call := range calls {
		toolCall := ToolCall{
			ID: call.ID, Type: functionType, Function: Function{Name: call.Name, Arguments: call.Arguments},
		}
		if numbered {
			toolCall.Index = &position
		}
		converted = append(converted, toolCall)
	}
	return converted
}

// CompletionRequest is the body of POST /v1/chat/completions. Fields that it
// does not name are ignored, because stock clients send many.
type CompletionRequest struct {
	Model               string         `json:"model"`
	Adapter             string         `json:"adapter"`
	Messages            []Message      `json:"messages"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Choices             int            `json:"n"`
	Stream              bool           `json:"stream"`
	StreamOptions       *StreamOptions `json:"stream_options"`
}

// StreamOptions is part of a CompletionRequest.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Completion is the whole answer to a call. Program, Call and Key extend the
// stock shape.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // Unix seconds
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Program string   `json:"program,omitempty"`
	Call    uint64   `json:"call,omitempty"`
	Key     string   `json:"key,omitempty"`
}

// Choice is the one answer of a Completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	Error   *ErrorBody    `json:"error,omitempty"`
}

// ChunkChoice is the change that a Chunk brings.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts the tokens of a call.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of a prompt was found in an engine's cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// FromUsage converts usage to the wire form.
func FromUsage(usage chat.Usage) *Usage {
	return &Usage{
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.OutputTokens,
		TotalTokens:      usage.PromptTokens + usage.OutputTokens,
		PromptDetails:    PromptDetails{CachedTokens: usage.CachedTokens},
	}
}

// ModelList answers GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one entry of a ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
