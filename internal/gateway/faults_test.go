package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// injectedFault is the fault of one attempt at a leader.
type injectedFault struct {
	early error // before the call is accepted
	late  error // in mid-stream, before the word at
	at    int
	final bool // the caller must be told, and nothing is tried again
	hang  bool // instead of late, the leader stands still and another takes over
}

// injectedFaults are those that a leader or the way to it may meet.
var injectedFaults = []injectedFault{
	{},
	{early: fault.New(fault.Unavailable, "unreachable", "try another")},
	{early: fault.New(fault.Unavailable, "broke before it arrived", "try again").WithRan(fault.RanUnknown)},
	{early: fault.New(fault.NotLeader, "elsewhere", "go there").WithRan(fault.RanUnknown)},
	{early: fault.New(fault.Overloaded, "too much", "wait").WithRetryAfter(time.Second), final: true},
	{early: fault.New(fault.StaleConfiguration, "stale", "try another"), final: true},
	{late: fault.New(fault.Unavailable, "broke", "try again").WithRan(fault.RanUnknown)},
	{late: fault.New(fault.NotLeader, "stepped down", "try again").WithRan(fault.RanUnknown)},
	{late: fault.New(fault.OutcomeUnknown, "engine lost", "look it up").WithRan(fault.RanUnknown), final: true},
	{hang: true},
}

// TestAnswersUnderInjectedFaults draws a fault for each attempt at one call and
// compares what the caller is told with what truly ran.
func TestAnswersUnderInjectedFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) injectedFault {
			chosen := rapid.SampledFrom(injectedFaults).Draw(rt, "kind")
			chosen.at = rapid.IntRange(0, 8).Draw(rt, "at")
			return chosen
		}), 0, 6).Draw(rt, "attempts")
		streams := rapid.Bool().Draw(rt, "streams")
		cluster := newFakeCluster()
		cluster.inject(drawn)
		var text string
		var failure *fault.Error
		synctest.Test(t, func(t *testing.T) { text, failure = askOnce(t, cluster, streams) })
		if failure == nil {
			assert.Equal(rt, "echo: one two three four five six", text)
			assert.Equal(rt, 1, cluster.runs)
			return
		}
		assert.True(rt, cluster.final, "a call that could be answered was given up: %v", failure)
		assert.NotContains(rt, []fault.Code{fault.NotLeader, fault.Internal}, failure.Code)
		if failure.Ran == fault.RanNo {
			assert.Zero(rt, cluster.runs, "refused as not run")
		}
		if cluster.hasMet(fault.RanUnknown) {
			assert.NotEqual(rt, fault.RanNo, failure.Ran, "an attempt may still be on its way")
		}
	})
}

// inject gives each attempt at a call its fault, in order; later ones have none.
func (c *fakeCluster) inject(drawn []injectedFault) {
	current := injectedFault{}
	c.beforeCall = func(context.Context, peer.Address) error {
		current = injectedFault{}
		if len(drawn) > 0 {
			current, drawn = drawn[0], drawn[1:]
		}
		return c.meet(current.early, current.final)
	}
	c.beforeWord = func(ctx context.Context, at peer.Address, _ dispatch.CallRequest, word int) error {
		if word != current.at {
			return nil
		}
		if current.hang {
			c.lead(map[peer.Address]peer.Address{"a": "b", "b": "a"}[at], false)
			<-ctx.Done()
			return ctx.Err()
		}
		return c.meet(current.late, current.final)
	}
}

func (c *fakeCluster) meet(err error, final bool) error {
	if err == nil {
		return nil
	}
	c.final = c.final || final
	c.met = append(c.met, fault.From(err).Ran)
	return err
}

func (c *fakeCluster) hasMet(ran fault.Ran) bool {
	for _, met := range c.met {
		if met == ran {
			return true
		}
	}
	return false
}

// askOnce makes one call without HTTP and returns the whole text or the failure.
func askOnce(t *testing.T, cluster *fakeCluster, streams bool) (string, *fault.Error) {
	gateway, err := New(Options{
		Locator: cluster, Transport: cluster.network.Transport("g"), Config: &fakeSource{},
		Members: func() *member.View { return nil }, Shards: 1, Log: &log.Logger{Handler: discard.New()},
	})
	assert.NoError(t, err)
	_, err = cluster.create(t.Context(), dispatch.CreateRequest{Program: "p", Tenant: "soko"})
	assert.NoError(t, err)
	asked := gateway.callQuery(dispatch.CallRequest{Program: "p", Tenant: "soko", Key: "k",
		Messages: []chat.Message{{Role: chat.User, Content: "one two three four five six"}}})
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	if !streams {
		answer, err := gateway.collect(ctx, asked)
		if err != nil {
			return "", fault.From(err)
		}
		return answer.Message.Content, nil
	}
	target := gateway.ask(ctx, asked)
	text := ""
	for {
		<-target.ready
		taken := target.take()
		text += string(taken.text)
		if taken.last() {
			return text, taken.failure
		}
	}
}

func TestSilentLeaderIsGivenUpWhenNobodyAnswers(t *testing.T) {
	cluster := newFakeCluster()
	cluster.beforeWord = func(ctx context.Context, _ peer.Address, _ dispatch.CallRequest, _ int) error {
		<-ctx.Done()
		return ctx.Err()
	}
	cluster.network.SetFaultInjector(func(_, _ peer.Address, method string) peer.InjectedFault {
		return peer.InjectedFault{Drop: method == dispatch.MethodShow}
	})
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, failure := askOnce(t, cluster, true)
		assert.Equal(t, fault.Unavailable, failure.Code)
		assert.Equal(t, fault.RanUnknown, failure.Ran)
		assert.Positive(t, failure.RetryAfter)
		assert.Less(t, time.Since(began), 3*DefaultPatience)
	})
}
