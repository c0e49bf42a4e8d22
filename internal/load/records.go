package load

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/standin"
)

// EngineRun is what truly happened with one request at an engine.
type EngineRun struct {
	Request  id.Request
	Starts   int
	Finished int
	Tokens   int // of the answer so far, Partial included
	Partial  int // tokens of the answer that earlier attempts had made
}

// Waste counts tokens of context over all engines.
type Waste struct {
	Computed int `json:"computed"` // prompt and answer tokens
	Cached   int `json:"cached"`   // prompt tokens found in a cache
	Wasted   int `json:"wasted"`   // computed and never read again
	// Inherent is the part of Wasted that no policy can reuse: the messages and
	// answers of the last calls of programs.
	Inherent int `json:"inherent"`
	// Known is false where the engines don't account for waste.
	Known bool `json:"known"`
}

// Share is the avoidable waste as a share of what was computed.
func (w Waste) Share() float64 {
	return ratio(float64(max(w.Wasted-w.Inherent, 0)), float64(w.Computed))
}

func (w Waste) plus(other Waste) Waste {
	return Waste{
		Computed: w.Computed + other.Computed, Cached: w.Cached + other.Cached,
		Wasted: w.Wasted + other.Wasted, Inherent: w.Inherent + other.Inherent, Known: w.Known || other.Known,
	}
}

func (w Waste) minus(other Waste) Waste {
	return Waste{
		Computed: w.Computed - other.Computed, Cached: w.Cached - other.Cached,
		Wasted: w.Wasted - other.Wasted, Inherent: w.Inherent - other.Inherent, Known: w.Known,
	}
}

// inherentOf sums the messages and answers of the programs' last answered calls.
func inherentOf(calls []call) int {
	last := map[id.Program]call{}
	for _, c := range calls {
		if c.failure == nil && c.number > last[c.program].number {
			last[c.program] = c
		}
	}
	total := 0
	for _, c := range last {
		total += c.input + c.tokens
	}
	return total
}

// Records says what the engines truly ran.
type Records interface {
	Runs(ctx context.Context) ([]EngineRun, error)
	Waste(ctx context.Context) (Waste, error)
	// Answer is the text that an engine gives to a request, from one token of the
	// answer to another.
	Answer(request id.Request, from, to int) string
}

func wasteOf(ctx context.Context, records Records) (Waste, error) {
	if records == nil {
		return Waste{}, nil
	}
	waste, err := records.Waste(ctx)
	return waste, eris.Wrap(err, "read the engines' account of waste")
}

// StandInRecords reads the records of stand-in engines over HTTP.
type StandInRecords struct {
	Engines []string // base URLs
}

// standInRecord is the answer of a stand-in's record endpoint.
type standInRecord struct {
	Runs    []standin.Run        `json:"runs"`
	Account *enginemodel.Account `json:"account"`
}

// Runs implements Records.
func (s StandInRecords) Runs(ctx context.Context) ([]EngineRun, error) {
	var runs []EngineRun
	err := s.each(ctx, func(record standInRecord) {
		for _, run := range record.Runs {
			runs = append(runs, EngineRun{
				Request: run.Request, Starts: run.Starts, Finished: run.Finished,
				Tokens: run.Usage.OutputTokens, Partial: run.Partial,
			})
		}
	})
	return runs, err
}

// Waste implements Records. Engines without an account say only what was
// computed by runs that finished.
func (s StandInRecords) Waste(ctx context.Context) (Waste, error) {
	var total Waste
	err := s.each(ctx, func(record standInRecord) {
		if record.Account != nil {
			total = total.plus(Waste{
				Computed: record.Account.Computed(), Cached: record.Account.Reused, Wasted: record.Account.Waste(), Known: true,
			})
			return
		}
		for _, run := range record.Runs {
			total.Computed += run.Usage.PromptTokens - run.Usage.CachedTokens + run.Usage.OutputTokens
			total.Cached += run.Usage.CachedTokens
		}
	})
	return total, err
}

// Answer implements Records.
func (s StandInRecords) Answer(request id.Request, from, to int) string {
	return standin.AnswerText(request, from, to)
}

func (s StandInRecords) each(ctx context.Context, take func(standInRecord)) error {
	for _, base := range s.Engines {
		record, err := readRecord(ctx, base)
		if err != nil {
			return eris.Wrapf(err, "engine %s", base)
		}
		take(record)
	}
	return nil
}

func readRecord(ctx context.Context, base string) (standInRecord, error) {
	var record standInRecord
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+standin.RecordPath, nil)
	if err != nil {
		return record, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return record, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return record, eris.Errorf("HTTP status %s", answer.Status)
	}
	return record, json.NewDecoder(answer.Body).Decode(&record)
}
