package load

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// Action is done to a target while it is under load, such as ending a node. The
// report tells how long the programs with a call in progress at that time then
// waited for an answer.
type Action struct {
	Name string
	At   time.Duration // after the start of each seed's run
	// Do acts; nil only marks the time, for a target to compare with.
	Do func(ctx context.Context) error
}

// moment is when an action was begun.
type moment struct {
	name string
	at   time.Time
}

// act does the target's actions at their times and returns the moments.
func (r *runner) act(ctx context.Context, began time.Time, actions []Action) []moment {
	var moments []moment
	ordered := slices.SortedStableFunc(slices.Values(actions), func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	for _, action := range ordered {
		if timing.Sleep(ctx, time.Until(began.Add(action.At))) != nil {
			break
		}
		moments = append(moments, moment{name: action.Name, at: time.Now()})
		if action.Do == nil {
			continue
		}
		if err := action.Do(ctx); err != nil {
			r.options.Log.WithFields(log.Fields{"action": action.Name, "error": err}).Error("action failed")
			r.measure.violate("action " + action.Name + " failed: " + err.Error())
		}
	}
	return moments
}

// recovery collects, for one action, the times until affected programs had an
// answer again.
type recovery struct {
	name     string
	times    *hdrhistogram.Histogram
	affected int // programs with a call in progress
	never    int // of them, without an answer until the end of the run
}

// recover measures how long after each moment the programs with a call in
// progress had their next answer.
func (m *measure) recover(moments []moment, calls []call) {
	byProgram := map[id.Program][]call{}
	for _, c := range calls {
		byProgram[c.program] = append(byProgram[c.program], c)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, moment := range moments {
		into := m.recoveryOf(moment.name)
		for _, program := range byProgram {
			if !slices.ContainsFunc(program, func(c call) bool { return c.began.Before(moment.at) && c.ended.After(moment.at) }) {
				continue
			}
			into.affected++
			if answered, ok := nextAnswer(program, moment.at); ok {
				record(into.times, answered.Sub(moment.at))
			} else {
				into.never++
			}
		}
	}
}

func (m *measure) recoveryOf(name string) *recovery {
	for _, known := range m.recoveries {
		if known.name == name {
			return known
		}
	}
	added := &recovery{name: name, times: newHistogram()}
	m.recoveries = append(m.recoveries, added)
	return added
}

// nextAnswer is when the first of a program's calls was answered after a time.
func nextAnswer(calls []call, after time.Time) (time.Time, bool) {
	var first time.Time
	for _, c := range calls {
		if c.failure == nil && c.ended.After(after) && (first.IsZero() || c.ended.Before(first)) {
			first = c.ended
		}
	}
	return first, !first.IsZero()
}
