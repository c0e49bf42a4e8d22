package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outcome summarizes a simulation.
type outcome struct {
	programs, inTime, late, failed int
	worst                          float64 // lowest share in time among programs that began in the same second
	refused, returned              int     // programs refused at least once; of these, the ones that ended
	lateNeverRefused               int     // ended late without having been refused
	longest                        time.Duration
	refusals, refusedWithCapacity  int
}

func (s *simulation) outcome() outcome {
	o := outcome{programs: len(s.programs), longest: slices.Max(s.waits), refusals: s.refusals, refusedWithCapacity: s.refusedWithCapacity}
	inTime, all := map[time.Duration]int{}, map[time.Duration]int{}
	for _, program := range s.programs {
		second := program.beganAt.Truncate(time.Second)
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

func (p *simProgram) inTime() bool { return p.ended > 0 && p.ended-p.beganAt <= p.budget }

func (o *outcome) count(program *simProgram) {
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
		o.lateNeverRefused++
	}
}

func (o outcome) share(count int) float64 { return float64(count) / float64(o.programs) }

func (o outcome) String() string {
	return fmt.Sprintf("in time %.3f, late %.3f, failed %.3f, worst second %.3f; never refused and late %.3f; refused %d, of these ended %d; refusals %d, of these with a free worker %d; longest wait %v",
		o.share(o.inTime), o.share(o.late), o.share(o.failed), o.worst, o.share(o.lateNeverRefused), o.refused, o.returned, o.refusals, o.refusedWithCapacity, o.longest.Round(time.Millisecond))
}

// plus combines the outcomes of two simulations.
func (o outcome) plus(other outcome) outcome {
	return outcome{
		programs: o.programs + other.programs, inTime: o.inTime + other.inTime, late: o.late + other.late, failed: o.failed + other.failed,
		worst:   min(o.worst, other.worst),
		refused: o.refused + other.refused, returned: o.returned + other.returned,
		lateNeverRefused: o.lateNeverRefused + other.lateNeverRefused,
		longest:          max(o.longest, other.longest),
		refusals:         o.refusals + other.refusals, refusedWithCapacity: o.refusedWithCapacity + other.refusedWithCapacity,
	}
}

// seeds is the number of simulations for each load.
const seeds = 4

// overload simulates 20 s of the workload, with the arrival rate multiplied by burst during 6 s, and
// combines the outcomes of all seeds.
func overload(burst float64, admission bool) outcome {
	all := outcome{worst: 1}
	for seed := range uint64(seeds) {
		s := newSimulation(seed, admission)
		s.simulate(20*time.Second, 4*time.Second, 10*time.Second, burst)
		all = all.plus(s.outcome())
	}
	return all
}

// At the design load every program must meet its deadline and none be refused.
func TestNoRefusalsAtDesignLoad(t *testing.T) {
	t.Parallel()
	o := overload(1, true)
	require.Zero(t, o.refusals, o)
	require.Equal(t, o.programs, o.inTime, o)
}

// Under overload, admission control must keep a stated share of programs within their deadlines, do no
// worse than admitting all, and never refuse a program while workers have free capacity. The shares for four and
// eight times the load are those that users require.
func TestOverload(t *testing.T) {
	for _, load := range []struct{ burst, inTime float64 }{{2.3, 0.95}, {4, 0.75}, {8, 0.45}} {
		t.Run(fmt.Sprintf("%vx load", load.burst), func(t *testing.T) {
			t.Parallel()
			without, with := overload(load.burst, false), overload(load.burst, true)
			t.Log("without admission control: ", without)
			t.Log("with admission control: ", with)
			require.GreaterOrEqual(t, with.share(with.inTime), load.inTime)
			require.GreaterOrEqual(t, with.share(with.inTime), without.share(without.inTime))
			require.Zero(t, with.refusedWithCapacity, "refused while a worker was free and none had a queue")
		})
	}
}
