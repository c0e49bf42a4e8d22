package streamcopy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// attemptOf returns an attempt with events 1 to last; those after resumedAt have the text of this attempt.
func attemptOf(request string, earlier Attempt, last int) Attempt {
	attempt := Attempt{Turn: "turn", Stream: "first", Request: request, ResumedAt: len(earlier.Marks)}
	attempt.Marks, attempt.Output = append(attempt.Marks, earlier.Marks...), append(attempt.Output, earlier.Output...)
	for event := len(earlier.Marks) + 1; event <= last; event++ {
		attempt.add(fmt.Sprint(event), []byte(fmt.Sprint(request, "/", event)))
	}
	return attempt
}

// cutOf returns an attempt up to an event that it has.
func cutOf(t *testing.T, attempt Attempt, event int) Attempt {
	cut, ok := attempt.through(fmt.Sprint(event))
	require.True(t, ok)
	return cut
}

// Guards against a turn that is resumed with events that its client did not get (UNASKED): those that an earlier node went on sending to a
// connection which had been lost, or those of another request that ran at the same time.
func TestChooseWhatTheClientGot(t *testing.T) {
	first := attemptOf("a", Attempt{}, 7)
	second := attemptOf("b", cutOf(t, first, 4), 6)
	beside := attemptOf("c", cutOf(t, first, 4), 6)
	late := attemptOf("d", cutOf(t, first, 4), 5)
	for name, test := range map[string]struct {
		held    []Attempt
		event   int
		outcome Outcome
		want    string
	}{
		"one attempt":                               {[]Attempt{first}, 4, Found, "a/1 a/2 a/3 a/4"},
		"the client lost events":                    {[]Attempt{second}, 2, Found, "a/1 a/2"},
		"resumed twice":                             {[]Attempt{first, second}, 6, Found, "a/1 a/2 a/3 a/4 b/5 b/6"},
		"copies of one attempt, one shorter":        {[]Attempt{second, cutOf(t, second, 5), first}, 5, Found, "a/1 a/2 a/3 a/4 b/5"},
		"two that ran side by side":                 {[]Attempt{first, second, beside}, 6, Ambiguous, ""},
		"two side by side, before they differ":      {[]Attempt{first, second, beside}, 4, Found, "a/1 a/2 a/3 a/4"},
		"one of them is too short":                  {[]Attempt{late, second}, 6, Found, "a/1 a/2 a/3 a/4 b/5 b/6"},
		"no copy reaches as far":                    {[]Attempt{first, second}, 8, NotFound, ""},
		"no copy":                                   {nil, 1, NotFound, ""},
		"an event that no attempt has by that name": {[]Attempt{first}, 0, NotFound, ""},
	} {
		t.Run(name, func(t *testing.T) {
			chosen, outcome := choose(test.held, fmt.Sprint(test.event))
			require.Equal(t, test.outcome, outcome)
			require.Equal(t, test.want, strings.Join(strings.Fields(string(chosen.Output)), " "))
		})
	}
}

// Guards against copies that miss or repeat events when messages are lost, repeated or come out of order.
func TestCopyIsAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var whole Attempt
		whole.Turn, whole.Request = "turn", "a"
		held := newCopies(1 << 20)
		for event := range rapid.IntRange(1, 12).Draw(t, "events") {
			whole.add(fmt.Sprint(event), []byte(strings.Repeat("x", rapid.IntRange(0, 40).Draw(t, "bytes"))))
		}
		now := time.Now()
		for range 30 {
			request := whole.from(rapid.IntRange(0, len(whole.Marks)).Draw(t, "from"))
			to := rapid.IntRange(0, len(request.Attempt.Marks)).Draw(t, "to")
			request.Attempt.Marks = request.Attempt.Marks[:to]
			request.Attempt.Output = request.Attempt.Output[:max(0, request.Attempt.endOf(to)-request.Offset)]
			if to == 0 {
				request.Attempt.Output = nil
			}
			has := held.extend(request, now)
			for event := range whole.Marks {
				kept := held.read(ReadRequest{Turn: "turn", LastEventID: fmt.Sprint(event)}, now)
				require.Equal(t, event < has, len(kept) == 1)
				if len(kept) == 1 {
					require.Equal(t, string(whole.Output[:whole.Marks[event].End]), string(kept[0].Output))
				}
			}
		}
	})
}

// Guards against messages of another build, or odd ones, that end the process or mix events of two attempts.
func TestOddMessagesAreRefused(t *testing.T) {
	held, now := newCopies(1<<20), time.Now()
	whole := attemptOf("a", Attempt{}, 3)
	require.Equal(t, 3, held.extend(whole.from(0), now))
	for name, change := range map[string]func(*AppendRequest){
		"a negative position":         func(r *AppendRequest) { r.From = -1 },
		"marks beyond the output":     func(r *AppendRequest) { r.Attempt.Marks[0].End += 100 },
		"descending marks":            func(r *AppendRequest) { r.Attempt.Marks[1].End = 0 },
		"an output beyond its marks":  func(r *AppendRequest) { r.Attempt.Output = append(r.Attempt.Output, 'x') },
		"another length before it":    func(r *AppendRequest) { r.Offset++; r.Attempt.Marks[1].End++; r.Attempt.Marks[0].End++ },
		"events that are not its own": func(r *AppendRequest) { *r = attemptOf("longer", Attempt{}, 5).from(1); r.Attempt.Request = "a" },
	} {
		t.Run(name, func(t *testing.T) {
			request := attemptOf("a", Attempt{}, 3).from(1)
			change(&request)
			held.extend(request, now)
			kept := held.read(ReadRequest{Turn: "turn", LastEventID: "3"}, now)
			require.Len(t, kept, 1)
			require.Equal(t, string(whole.Output), string(kept[0].Output))
		})
	}
}

// Guards against copies that nobody asks for and that fill a node's memory (FAULT).
func TestCopiesAreBounded(t *testing.T) {
	const bound = 64 << 10
	held, now := newCopies(bound), time.Now()
	for number := range 500 {
		attempt := Attempt{Turn: fmt.Sprint("turn-", number), Request: "a"}
		attempt.add("1", make([]byte, 1000))
		held.extend(attempt.from(0), now)
		require.LessOrEqual(t, held.bytes, bound)
	}
	require.Empty(t, held.read(ReadRequest{Turn: "turn-0", LastEventID: "1"}, now), "the oldest are dropped")
	require.Len(t, held.read(ReadRequest{Turn: "turn-499", LastEventID: "1"}, now), 1)

	long := Attempt{Turn: "long", Request: "a"}
	long.add("1", make([]byte, bound))
	require.Zero(t, held.extend(long.from(0), now), "what does not fit is not confirmed")

	require.Empty(t, held.read(ReadRequest{Turn: "turn-499", LastEventID: "1"}, now.Add(copyTTL+time.Second)))
	require.Zero(t, held.bytes)
	require.Empty(t, held.turns)
}
