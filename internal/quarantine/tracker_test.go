package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func workOf(content string) Keys { return KeysOf(Work{Host: "h", Body: []byte(content)}) }

// end records that a worker ended under work that was sent to it just now.
func (t *Tracker) end(keys Keys) Evidence { return t.RecordEnd(keys, t.Evidence(keys)) }

// Guards against work that is quarantined too late, too early, or for other work's ends.
func TestWorkIsQuarantinedAfterEndsOneAfterTheOther(t *testing.T) {
	tracker := NewTracker()
	fatal, other := workOf("fatal"), workOf("other")
	for ends := 1; ends <= MaxEnds; ends++ {
		require.False(t, tracker.Evidence(fatal).Quarantined())
		require.Equal(t, ends, tracker.end(fatal).Ends())
	}
	require.True(t, tracker.Evidence(fatal).Quarantined())
	require.False(t, tracker.Evidence(other).Suspect())
	require.Len(t, tracker.Quarantined(), 1)
	require.Equal(t, fatal.Content, tracker.Quarantined()[0].Key)
}

// Guards against quarantining content that many clients send because a rack that ran it lost power.
func TestEndsAtOnceCountOnce(t *testing.T) {
	tracker := NewTracker()
	popular := workOf("popular")
	seen := tracker.Evidence(popular)
	for range 40 {
		tracker.RecordEnd(popular, seen)
	}
	require.Equal(t, 1, tracker.Evidence(popular).Ends())
}

// Guards against quarantining content that harms nobody for crashes that it met over time.
func TestAnswersClearSuspicion(t *testing.T) {
	tracker := NewTracker()
	popular := workOf("popular")
	for range 15 {
		seen := tracker.Evidence(popular)
		tracker.end(popular)
		require.True(t, tracker.RecordAnswer(popular))
		require.False(t, tracker.RecordAnswer(popular))
		require.Equal(t, 1, tracker.RecordEnd(popular, seen).Ends(), "a send from before the answer counts as the first end since")
		tracker.RecordAnswer(popular)
	}
	require.False(t, tracker.Evidence(popular).Suspect())
}

// Guards against a program that ends workers with ever new content, and against one that is refused for another program's content.
func TestProgramsAreQuarantinedForTheirOwnWork(t *testing.T) {
	tracker := NewTracker()
	work := func(program, content string) Keys { return KeysOf(Work{Program: program, Body: []byte(content)}) }
	for turn := range MaxEnds {
		tracker.end(work("fatal", fmt.Sprint("turn ", turn)))
	}
	require.True(t, tracker.Evidence(work("fatal", "a new turn")).Quarantined())
	require.False(t, tracker.Evidence(work("other", "a new turn")).Suspect())
}

// Guards against suspicions that last forever, and against memory that grows with the ends.
func TestTrackerForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker()
		suspect, fatal := workOf("suspect"), workOf("fatal")
		tracker.end(suspect)
		for range MaxEnds {
			tracker.end(fatal)
		}
		time.Sleep(suspectTTL - time.Second)
		require.True(t, tracker.Evidence(suspect).Suspect())
		time.Sleep(time.Second)
		require.False(t, tracker.Evidence(suspect).Suspect())
		require.Equal(t, 1, tracker.end(suspect).Ends(), "ends that have lapsed do not count")
		require.True(t, tracker.Evidence(fatal).LastTrial())
		for index := range maxEntries + 5 {
			tracker.end(workOf(fmt.Sprint(index)))
		}
		suspected, quarantined := tracker.Count()
		require.Equal(t, maxEntries, suspected+quarantined)
		require.True(t, tracker.Evidence(fatal).LastTrial(), "work that was quarantined is kept longest")
		time.Sleep(2 * quarantinePeriod)
		require.False(t, tracker.Evidence(fatal).Suspect())
		tracker.end(fatal)
		time.Sleep(suspectTTL)
		tracker.RecordEnd(Keys{}, Evidence{}) // drops what has lapsed
		require.True(t, tracker.Empty())
	})
}

// Guards against a released key that stays quarantined.
func TestReleasedWorkIsServedAgain(t *testing.T) {
	tracker := NewTracker()
	fatal := workOf("fatal")
	for range MaxEnds {
		tracker.end(fatal)
	}
	require.True(t, tracker.Release(fatal.Content))
	require.False(t, tracker.Evidence(fatal).Suspect())
	require.False(t, tracker.Release(Key(5)))
}

// Guards against nodes that end up with different states after they have exchanged theirs, in whatever order and however often.
func TestTrackersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		draw := func(label string) *Tracker { return trackers[rapid.IntRange(0, len(trackers)-1).Draw(t, label)] }
		works := []Keys{workOf("a"), workOf("b")}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			work := rapid.SampledFrom(works).Draw(t, "work")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				draw("node").end(work)
			case 1:
				draw("node").RecordAnswer(work)
			default:
				draw("to").Merge(draw("from").Entries())
			}
		}
		for _, from := range trackers {
			for _, to := range trackers {
				to.Merge(from.Entries())
			}
		}
		for _, to := range trackers {
			to.Merge(trackers[len(trackers)-1].Entries())
			require.Equal(t, trackers[len(trackers)-1].digest(), to.digest())
		}
	})
}

// Guards against harmless work that stays refused after a faulty release of workers, and against fatal work that ends three workers
// after each quarantine.
func TestQuarantineEndsWithOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker()
		fatal := workOf("fatal")
		for range MaxEnds {
			tracker.end(fatal)
		}
		period := quarantinePeriod
		for range 3 {
			time.Sleep(period - time.Millisecond)
			require.True(t, tracker.Evidence(fatal).Quarantined())
			time.Sleep(time.Millisecond)
			seen := tracker.Evidence(fatal)
			require.True(t, seen.LastTrial())
			tracker.RecordEnd(fatal, seen)
			tracker.RecordEnd(fatal, seen) // another node's trial at the same worker
			period *= 2
		}
		time.Sleep(period)
		tracker.RecordAnswer(fatal)
		require.False(t, tracker.Evidence(fatal).Suspect())
	})
}
