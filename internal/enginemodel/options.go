package enginemodel

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Options describe an engine. Zero fields take the values of DefaultOptions.
type Options struct {
	// MemoryTokens is the KV memory, shared by sequences and the prefix cache.
	MemoryTokens int
	// MaxSequences bounds the batch.
	MaxSequences int
	// StepBase is the time of a step of an empty batch.
	StepBase time.Duration
	// StepPerSequence is added for each sequence that decodes in a step.
	StepPerSequence time.Duration
	// StepPerKVToken is added for each token of context read in a step, in nanoseconds.
	StepPerKVToken float64
	// PrefillTokensPerSecond is the speed of prefill, on top of the step's base.
	PrefillTokensPerSecond float64
	// StepPrefillTokens bounds the prompt tokens that one step takes in.
	StepPrefillTokens int
	// TransferTokensPerSecond is the bandwidth of export and import.
	TransferTokensPerSecond float64
	// HoldShare bounds what holds may pin, as a share of MemoryTokens.
	HoldShare float64
	// HoldLimit is the longest time that a hold may ask for.
	HoldLimit time.Duration
	// ModelLoad and AdapterLoad are the times to load weights.
	ModelLoad, AdapterLoad time.Duration
	// Model is served from the start.
	Model id.Model
	// Adapters are loaded from the start.
	Adapters []id.Adapter
	// Progress makes each step observable: Next stops at every step and each
	// decoded token gives a Progress event. Without it only first tokens and
	// ends are reported, which is much faster.
	Progress bool
}

// DefaultOptions model a mid-sized engine.
var DefaultOptions = Options{
	MemoryTokens:            120_000,
	MaxSequences:            48,
	StepBase:                14 * time.Millisecond,
	StepPerSequence:         150 * time.Microsecond,
	StepPerKVToken:          50,
	PrefillTokensPerSecond:  9_000,
	StepPrefillTokens:       512,
	TransferTokensPerSecond: 120_000,
	HoldShare:               0.6,
	HoldLimit:               10 * time.Minute,
	ModelLoad:               20 * time.Second,
	AdapterLoad:             2 * time.Second,
}

func orDefault[N int | float64 | time.Duration](value, standard N) N {
	if value == 0 {
		return standard
	}
	return value
}

func (o Options) withDefaults() Options {
	d := DefaultOptions
	o.MemoryTokens = orDefault(o.MemoryTokens, d.MemoryTokens)
	o.MaxSequences = orDefault(o.MaxSequences, d.MaxSequences)
	o.StepBase = orDefault(o.StepBase, d.StepBase)
	o.StepPerSequence = orDefault(o.StepPerSequence, d.StepPerSequence)
	o.StepPerKVToken = orDefault(o.StepPerKVToken, d.StepPerKVToken)
	o.PrefillTokensPerSecond = orDefault(o.PrefillTokensPerSecond, d.PrefillTokensPerSecond)
	o.StepPrefillTokens = orDefault(o.StepPrefillTokens, d.StepPrefillTokens)
	o.TransferTokensPerSecond = orDefault(o.TransferTokensPerSecond, d.TransferTokensPerSecond)
	o.HoldShare = orDefault(o.HoldShare, d.HoldShare)
	o.HoldLimit = orDefault(o.HoldLimit, d.HoldLimit)
	o.ModelLoad = orDefault(o.ModelLoad, d.ModelLoad)
	o.AdapterLoad = orDefault(o.AdapterLoad, d.AdapterLoad)
	return o
}

// Unshared tells how fast an engine is for a request that has it alone.
type Unshared struct{ options Options }

// Alone returns the speeds of an otherwise idle engine.
func Alone(options Options) Unshared { return Unshared{options: options.withDefaults()} }

// Prefill is the time to take in tokens of prompt.
func (u Unshared) Prefill(tokens int) time.Duration {
	steps := (tokens + u.options.StepPrefillTokens - 1) / u.options.StepPrefillTokens
	reading := time.Duration(float64(tokens) / u.options.PrefillTokensPerSecond * float64(time.Second))
	return time.Duration(steps)*u.options.StepBase + reading
}

// Decode is the time to generate output tokens after a context.
func (u Unshared) Decode(context, output int) time.Duration {
	pass := u.options.StepBase + u.options.StepPerSequence
	pass += time.Duration(u.options.StepPerKVToken * (float64(context) + float64(output)/2))
	return time.Duration(output) * pass
}
