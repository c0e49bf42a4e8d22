package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// The histograms hold microseconds up to an hour with three digits.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(time.Hour / time.Microsecond)
	significantDigits   = 3
	// maxViolations bounds the violations that a report spells out.
	maxViolations = 50
)

// refusalKey tells failed attempts apart.
type refusalKey struct {
	code fault.Code
	ran  fault.Ran
}

// measure collects the figures of one target over all seeds.
type measure struct {
	mutex      sync.Mutex
	programs   int
	finished   int
	failed     int
	calls      int
	resumes    int
	restarts   int
	checked    int
	took       time.Duration
	latency    *hdrhistogram.Histogram // of well-behaved root programs
	callTime   *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram // pieces of a stream
	refusals   map[refusalKey]int
	failures   map[refusalKey]int // that ended a program
	recoveries []*recovery
	waste      Waste
	violations []string
	violated   int
}

func newMeasure() *measure {
	return &measure{
		latency: newHistogram(), callTime: newHistogram(), firstToken: newHistogram(), between: newHistogram(),
		refusals: map[refusalKey]int{}, failures: map[refusalKey]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
}

// record adds a time; what lies outside the range counts at its end.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), lowestMicroseconds), highestMicroseconds)
	_ = histogram.RecordValue(value) // cannot fail within the range
}

func (m *measure) started() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.programs++
}

// ended counts a root program. Programs that failed are not in the latencies.
func (m *measure) ended(took time.Duration, err error, misbehaving bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err != nil {
		m.failed++
		m.failures[keyOf(fault.From(err))]++
		return
	}
	m.finished++
	if !misbehaving {
		record(m.latency, took)
	}
}

func keyOf(failure *fault.Error) refusalKey { return refusalKey{failure.Code, failure.Ran} }

// refused counts a failed attempt, whether it was repeated or not.
func (m *measure) refused(failure *fault.Error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.refusals[keyOf(failure)]++
}

func (m *measure) violate(text string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.violated++
	if len(m.violations) < maxViolations {
		m.violations = append(m.violations, text)
	}
}

func (m *measure) progress(target string, seed uint64) Progress {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Progress{Target: target, Seed: seed, Programs: m.programs, Finished: m.finished, Failed: m.failed, Calls: m.calls}
}

// callTimer measures one streamed call.
type callTimer struct {
	measure *measure
	began   time.Time
	last    time.Time // of the piece before; zero before the first
	first   time.Duration
	gaps    []time.Duration
}

func (m *measure) call() *callTimer { return &callTimer{measure: m, began: time.Now()} }

// piece notes that a piece of text has come.
func (t *callTimer) piece(string) error {
	now := time.Now()
	if t.last.IsZero() {
		t.first = now.Sub(t.began)
	} else {
		t.gaps = append(t.gaps, now.Sub(t.last))
	}
	t.last = now
	return nil
}

// done adds the call's figures. A failed call has none but its number.
func (t *callTimer) done(err error, resumes int, restarted bool) {
	took := time.Since(t.began)
	t.measure.mutex.Lock()
	defer t.measure.mutex.Unlock()
	t.measure.calls++
	t.measure.resumes += resumes
	if restarted {
		t.measure.restarts++
	}
	if err != nil {
		return
	}
	record(t.measure.callTime, took)
	if !t.last.IsZero() {
		record(t.measure.firstToken, t.first)
	}
	for _, gap := range t.gaps {
		record(t.measure.between, gap)
	}
}
