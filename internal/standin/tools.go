package standin

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
)

const toolService = "tool service"

// The tools that the stand-in offers.
const (
	EchoTool  = "echo"         // answers with its arguments
	PriceTool = "price_lookup" // answers with yesterday's wholesale price of an item
	LevyTool  = "record_levy"  // records a payment; must not be repeated
	FailTool  = "always_fails" // fails without an effect
	lowest    = 20             // price per kilogram in shillings
	priceSpan = 180            // above the lowest
)

// Execution is one run of a tool.
type Execution struct {
	Request   id.Request `json:"request"`
	Name      string     `json:"name"`
	Arguments string     `json:"arguments"`
	Answer    string     `json:"answer"`
}

// MemoryTools is a tool service in memory. It does not recognise repeats, so
// that its record shows every one of them. It implements outside.Tools and
// outside.ToolOutcomes.
type MemoryTools struct {
	Switch
	mutex  sync.Mutex
	record []Execution
}

// NewMemoryTools returns a tool service that has run nothing.
func NewMemoryTools() *MemoryTools { return &MemoryTools{} }

// Record returns all executions in their order.
func (t *MemoryTools) Record() []Execution {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.record)
}

// Invoke implements outside.Tools.
func (t *MemoryTools) Invoke(ctx context.Context, request outside.ToolRequest) (string, error) {
	var answer string
	err := t.write(ctx, toolService, func() error {
		made, err := runTool(request.Name, request.Arguments)
		if err != nil {
			return err
		}
		answer = made
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.record = append(t.record, Execution{
			Request:   request.Request,
			Name:      request.Name,
			Arguments: request.Arguments,
			Answer:    made,
		})
		return nil
	})
	if err != nil {
		return "", err
	}
	return answer, nil
}

// Outcome implements outside.ToolOutcomes.
func (t *MemoryTools) Outcome(ctx context.Context, request outside.ToolRequest) (string, error) {
	var answer string
	err := t.read(ctx, toolService, func() error {
		for _, execution := range t.Record() {
			if execution.Request == request.Request {
				answer = execution.Answer
				return nil
			}
		}
		return fault.Newf(fault.NotFound, "check the request", "request %q is not known", request.Request)
	})
	return answer, err
}

type price struct {
	Item     string `json:"item"`
	Shilling uint64 `json:"shillings_per_kilogram"`
}

type receipt struct {
	Recorded bool   `json:"recorded"`
	Receipt  uint64 `json:"receipt"`
}

func runTool(name, arguments string) (string, error) {
	switch name {
	case EchoTool:
		return arguments, nil
	case PriceTool:
		return priceOf(arguments)
	case LevyTool:
		return encode(receipt{Recorded: true, Receipt: xxhash.Sum64String(arguments) % 1_000_000})
	case FailTool:
		return "", fault.New(fault.ToolFailed, "the tool refused", "correct its arguments")
	}
	return "", fault.Newf(fault.NotFound, "use one of the stand-in's tools", "no tool %q", name)
}

func priceOf(arguments string) (string, error) {
	var asked struct {
		Item string `json:"item"`
	}
	if err := json.Unmarshal([]byte(arguments), &asked); err != nil {
		return "", fault.Newf(fault.ToolFailed, "send JSON with an item", "unreadable arguments: %v", err)
	}
	return encode(price{Item: asked.Item, Shilling: lowest + xxhash.Sum64String(asked.Item)%priceSpan})
}

func encode(value any) (string, error) {
	encoded, err := json.Marshal(value)
	return string(encoded), err
}
