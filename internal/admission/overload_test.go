package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outcome is what callers got.
type outcome struct {
	programs, inTime, late, failed int
	worst                          float64 // share in time of the programs that began in the worst second
	refused, returned              int     // programs refused once or more; of them, those that ended
	inAndLate                      int     // let in at once, and late
	longest                        time.Duration
	refusals, refusedFree          int
}

func (m *model) outcome() outcome {
	o := outcome{programs: len(m.programs), longest: slices.Max(m.waits), refusals: m.refusals, refusedFree: m.refusedFree}
	inTime, all := map[time.Duration]int{}, map[time.Duration]int{}
	for _, program := range m.programs {
		second := program.began.Truncate(time.Second)
		all[second]++
		if program.inTime() {
			inTime[second]++
		}
		o.count(program)
	}
	o.worst = 1
	for second, count := range all {
		o.worst = min(o.worst, float64(inTime[second])/float64(count))
	}
	return o
}

func (p *modelProgram) inTime() bool { return p.ended > 0 && p.ended-p.began <= p.given }

func (o *outcome) count(program *modelProgram) {
	switch {
	case program.inTime():
		o.inTime++
	case program.ended > 0:
		o.late++
	default:
		o.failed++
	}
	if program.refused > 0 {
		o.refused++
	}
	if program.refused > 0 && program.ended > 0 {
		o.returned++
	}
	if program.refused == 0 && program.ended > 0 && !program.inTime() {
		o.inAndLate++
	}
}

func (o outcome) share(count int) float64 { return float64(count) / float64(o.programs) }

func (o outcome) String() string {
	return fmt.Sprintf("in time %.3f, late %.3f, failed %.3f, worst second %.3f; let in at once and late %.3f; refused %d, of them ended %d; refusals %d, of them with room %d; longest wait %v",
		o.share(o.inTime), o.share(o.late), o.share(o.failed), o.worst, o.share(o.inAndLate), o.refused, o.returned, o.refusals, o.refusedFree, o.longest.Round(time.Millisecond))
}

// and is what callers got of both days together; the worst second and the longest wait are those of
// either.
func (o outcome) and(other outcome) outcome {
	return outcome{
		programs: o.programs + other.programs, inTime: o.inTime + other.inTime, late: o.late + other.late, failed: o.failed + other.failed,
		worst:   min(o.worst, other.worst),
		refused: o.refused + other.refused, returned: o.returned + other.returned,
		inAndLate: o.inAndLate + other.inAndLate,
		longest:   max(o.longest, other.longest),
		refusals:  o.refusals + other.refusals, refusedFree: o.refusedFree + other.refusedFree,
	}
}

// seeds are how many days are played of each load.
const seeds = 4

// overload plays days of 20 s of the sheet's load, several times as much for 6 s of them.
func overload(times float64, admits bool) outcome {
	all := outcome{worst: 1}
	for seed := range uint64(seeds) {
		m := newModel(seed, admits)
		m.play(20*time.Second, 4*time.Second, 10*time.Second, times)
		all = all.and(m.outcome())
	}
	return all
}

func TestUsualLoadIsNotRefused(t *testing.T) {
	t.Parallel()
	o := overload(1, true)
	require.Zero(t, o.refusals, o)
	require.Equal(t, o.programs, o.inTime, o)
}

// What is asked of four and eight times the load is the share that users ask for on the deployments
// where it is measured.
func TestOverload(t *testing.T) {
	for _, load := range []struct{ times, inTime float64 }{{2.3, 0.95}, {4, 0.75}, {8, 0.45}} {
		t.Run(fmt.Sprintf("%v times", load.times), func(t *testing.T) {
			t.Parallel()
			before, after := overload(load.times, false), overload(load.times, true)
			t.Log("all let in: ", before)
			t.Log("admission: ", after)
			require.GreaterOrEqual(t, after.share(after.inTime), load.inTime)
			require.GreaterOrEqual(t, after.share(after.inTime), before.share(before.inTime))
			require.Zero(t, after.refusedFree, "refused while a place was free and nothing waited")
		})
	}
}
