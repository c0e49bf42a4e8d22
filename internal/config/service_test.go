package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

func TestAcceptedChangeIsInForceEverywhere(t *testing.T) {
	run(t, 30, func(c *cluster) {
		result, err := c.apply(c.nodes[17], ApplyRequest{Change: marketTemplate(7), Author: "ada"})
		require.NoError(t, err)
		assert.Equal(t, uint64(1), result.Version)
		assert.Contains(t, result.Differs, FieldDiff{Object: "template market", Field: "limits.turns", After: "7"})
		time.Sleep(time.Second)
		c.requireEverywhere(1)
		for _, status := range c.nodes[3].Status(c.t.Context()) {
			assert.Equal(t, uint64(1), status.Version)
			assert.True(t, status.Fresh)
		}
	})
}

func TestOfTwoOperatorsOneWins(t *testing.T) {
	run(t, 3, func(c *cluster) {
		_, err := c.apply(c.nodes[0], ApplyRequest{Change: marketTemplate(7)})
		require.NoError(t, err)
		_, err = c.apply(c.nodes[1], ApplyRequest{Base: 1, Change: marketTemplate(8)})
		require.NoError(t, err)
		_, err = c.apply(c.nodes[2], ApplyRequest{Base: 1, Change: marketTemplate(9)})
		hint, ok := ConflictOf(err)
		require.True(t, ok, "%v", err)
		assert.Equal(t, ConflictHint{Present: 2, Differs: []FieldDiff{{"template market", "limits.turns", "8", "9"}}}, hint)
		assert.Equal(t, fault.RanNo, fault.From(err).Ran)
		_, err = c.apply(c.nodes[2], ApplyRequest{Base: 1, Change: tenantChange("soko", 1)})
		assert.NoError(t, err, "a change of another object is no race")
	})
}

func TestRefusedChangesChangeNothing(t *testing.T) {
	run(t, 3, func(c *cluster) {
		_, err := c.apply(c.nodes[1], ApplyRequest{Change: tenantChange("soko", 12)})
		assert.Equal(t, fault.Invalid, fault.CodeOf(err))
		assert.Contains(t, err.Error(), "tenant soko: priority: 12 is not allowed; give at most 9")
		result, err := c.apply(c.nodes[1], ApplyRequest{Change: tenantChange("soko", 2), DryRun: true})
		require.NoError(t, err)
		assert.True(t, result.DryRun)
		assert.NotEmpty(t, result.Differs)
		c.requireEverywhere(0)
		assert.Zero(t, c.table.sets)
	})
}

func TestRollbackIsANewVersion(t *testing.T) {
	run(t, 3, func(c *cluster) {
		for base, turns := range []int{7, 8} {
			_, err := c.apply(c.nodes[0], ApplyRequest{Base: uint64(base), Change: marketTemplate(turns)})
			require.NoError(t, err)
		}
		_, err := c.apply(c.nodes[0], ApplyRequest{Change: tenantChange("soko", 1)})
		require.NoError(t, err)
		result, err := c.nodes[1].Rollback(c.t.Context(), RollbackRequest{To: 1, Base: 3})
		require.NoError(t, err)
		assert.Equal(t, uint64(4), result.Version)
		time.Sleep(time.Second)
		c.requireEverywhere(4)
		back, _ := c.nodes[2].Current().Template("market")
		assert.Equal(t, 7, back.Limits.Turns)
		_, stays := c.nodes[2].Current().Tenant("soko")
		assert.False(t, stays, "a tenant made after the version must go")
		history, err := c.nodes[2].History(c.t.Context(), HistoryRequest{Object: "tenant soko"})
		require.NoError(t, err)
		assert.Len(t, history.Items, 2)
		diff, err := c.nodes[2].Diff(c.t.Context(), DiffRequest{From: 1, To: 2})
		require.NoError(t, err)
		assert.Equal(t, []FieldDiff{{"template market", "limits.turns", "7", "8"}}, diff.Differs)
		_, err = c.nodes[2].Diff(c.t.Context(), DiffRequest{From: 9})
		assert.Equal(t, fault.NotFound, fault.CodeOf(err))
	})
}

func TestLostAnswersOfTheTableAreReadBack(t *testing.T) {
	run(t, 3, func(c *cluster) {
		for version := uint64(1); version <= 3; version++ {
			c.table.set(func(f *fakeTable) { f.loseSets = 1 })
			result, err := c.apply(c.nodes[1], ApplyRequest{Base: AnyBase, Change: marketTemplate(int(version))})
			require.NoError(t, err)
			require.Equal(t, version, result.Version)
		}
		assert.Equal(t, 5, c.table.sets, "three heads and two archived entries, none twice")
	})
}

func TestTableDownRefusesWithoutEffectAndCallsGoOn(t *testing.T) {
	run(t, 3, func(c *cluster) {
		c.table.set(func(f *fakeTable) { f.down = true })
		before := time.Now()
		_, err := c.apply(c.nodes[1], ApplyRequest{Change: marketTemplate(1)})
		refusal := fault.From(err)
		assert.Equal(t, fault.Unavailable, refusal.Code)
		assert.Equal(t, fault.RanNo, refusal.Ran)
		assert.NotZero(t, refusal.RetryAfter)
		assert.Less(t, time.Since(before), 5*time.Second, "the answer is final, nobody is held")
		time.Sleep(2 * time.Minute)
		c.requireEverywhere(0)
		c.table.set(func(f *fakeTable) { f.down = false })
		_, err = c.apply(c.nodes[1], ApplyRequest{Change: marketTemplate(1)})
		assert.NoError(t, err)
	})
}

func TestTableDyingHalfWayLeavesTheOutcomeUnknownThenSettlesIt(t *testing.T) {
	run(t, 3, func(c *cluster) {
		c.onCommand(func(command Command) {
			if command.Prepare != nil {
				c.table.set(func(f *fakeTable) { f.down = true })
			}
		})
		request := ApplyRequest{ChangeID: "x", Change: marketTemplate(1)}
		_, err := c.apply(c.nodes[1], request)
		assert.Equal(t, fault.RanUnknown, fault.From(err).Ran)
		_, err = c.apply(c.nodes[1], ApplyRequest{ChangeID: "y", Change: tenantChange("soko", 1)})
		assert.Equal(t, fault.RanNo, fault.From(err).Ran, "another change has surely not run")
		c.onCommand(nil)
		c.table.set(func(f *fakeTable) { f.down = false })
		time.Sleep(10 * time.Second)
		c.requireEverywhere(1)
		result, err := c.apply(c.nodes[2], request)
		require.NoError(t, err)
		assert.Equal(t, uint64(1), result.Version)
		assert.True(t, result.Repetition)
	})
}

func TestSuccessorCompletesWhatALeaderPrepared(t *testing.T) {
	run(t, 5, func(c *cluster) {
		c.onCommand(func(command Command) {
			if command.Accept != nil {
				c.onCommand(nil)
				c.cutOff("n0")
				c.lead("n1")
			}
		})
		result, err := c.apply(c.nodes[2], ApplyRequest{Change: marketTemplate(1)})
		require.NoError(t, err)
		assert.Equal(t, uint64(1), result.Version)
		time.Sleep(5 * time.Second)
		c.requireEverywhere(1, "n0")
		assert.Equal(t, fault.StaleConfiguration, fault.CodeOf(c.nodes[0].Fresh()))
		c.cutOff()
		time.Sleep(2 * time.Second)
		c.requireEverywhere(1)
	})
}

func TestCutOffZoneStopsWithinTheBoundAndCatchesUp(t *testing.T) {
	run(t, 9, func(c *cluster) {
		c.cutOff("n1", "n4", "n7")
		time.Sleep(DefaultBound + time.Millisecond)
		_, err := c.apply(c.nodes[2], ApplyRequest{Change: marketTemplate(1)})
		require.NoError(t, err)
		for _, n := range c.nodes {
			cut := n.member.Zone == "z1"
			assert.Equal(t, cut, fault.Is(n.Fresh(), fault.StaleConfiguration), "node %s", n.member.Node)
		}
		c.cutOff()
		time.Sleep(2 * time.Second)
		c.requireEverywhere(1)
	})
}

func TestPausedNodeIsStaleWhenItWakes(t *testing.T) {
	run(t, 3, func(c *cluster) {
		paused := c.nodes[2]
		require.NoError(t, paused.Fresh())
		paused.stop()
		c.network.Attach(paused.member.Address, nil)
		_, err := c.apply(c.nodes[1], ApplyRequest{Change: marketTemplate(1)})
		require.NoError(t, err)
		time.Sleep(DefaultBound)
		assert.Error(t, paused.Fresh(), "it must refuse before it has heard anything")
		c.start(paused)
		time.Sleep(time.Second)
		c.requireEverywhere(1)
	})
}

func TestNewNodeServesOnlyOnceItHasTheHead(t *testing.T) {
	run(t, 3, func(c *cluster) {
		for i := range recentWeight + 2 {
			_, err := c.apply(c.nodes[0], ApplyRequest{Base: AnyBase, Change: tenantChange("soko", i%9)})
			require.NoError(t, err)
		}
		fresh := c.join()
		assert.Error(t, fresh.Fresh())
		c.start(fresh)
		for fresh.Fresh() != nil {
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, uint64(recentWeight+2), fresh.Current().Version)
	})
}

func TestNewGroupEpochTakesUpWhatOnlyTheTableKept(t *testing.T) {
	run(t, 3, func(c *cluster) {
		c.shard.mutex.Lock()
		snapshot, err := c.shard.machine.Snapshot()
		c.shard.mutex.Unlock()
		require.NoError(t, err)
		for i := range 5 {
			_, err := c.apply(c.nodes[0], ApplyRequest{Base: AnyBase, Change: marketTemplate(i)})
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		c.check()
		c.shard.mutex.Lock()
		require.NoError(t, c.shard.machine.Restore(snapshot))
		c.shard.position.Epoch++
		c.shard.mutex.Unlock()
		time.Sleep(3 * time.Second)
		c.requireEverywhere(6) // the five, and one that fences the epoch before off
		market, _ := c.nodes[1].Current().Template("market")
		assert.Equal(t, uint64(5), market.Version)
		assert.Equal(t, 4, market.Limits.Turns)
		result, err := c.apply(c.nodes[0], ApplyRequest{Base: 6, Change: marketTemplate(9)})
		require.NoError(t, err)
		assert.Equal(t, uint64(7), result.Version)
	})
}

func TestHeartbeatsAloneSpreadAVersion(t *testing.T) {
	run(t, 4, func(c *cluster) {
		c.network.SetFaultInjector(func(_, _ peer.Address, method string) peer.InjectedFault {
			return peer.InjectedFault{Drop: method == MethodPush || method == MethodHead}
		})
		_, err := c.apply(c.nodes[0], ApplyRequest{Change: marketTemplate(1)})
		require.NoError(t, err)
		c.table.set(func(f *fakeTable) { f.down = true })
		c.nodes[3].Deliver(c.nodes[0].Collect(64))
		time.Sleep(time.Second)
		assert.Equal(t, uint64(1), c.nodes[3].Current().Version)
		c.nodes[3].Deliver([]byte{0x80})
		assert.Nil(t, c.nodes[3].Collect(1))
	})
}

func TestBootstrapOnlyOnce(t *testing.T) {
	run(t, 3, func(c *cluster) {
		var all template.Change
		for i := range bootstrapObjects + 10 {
			all.PutTenants = append(all.PutTenants, &template.Tenant{Name: id.Tenant(string(rune('a'+i%26)) + string(rune('a'+i/26)))})
		}
		for _, n := range c.nodes {
			require.NoError(t, n.Bootstrap(c.t.Context(), template.Build(1, all)))
		}
		require.NoError(t, c.nodes[0].Bootstrap(c.t.Context(), template.Build(1, tenantChange("late", 1))))
		time.Sleep(time.Second)
		c.requireEverywhere(2)
		_, tenants := c.nodes[1].Current().Size()
		assert.Equal(t, bootstrapObjects+10, tenants)
	})
}

func TestHistoryIsBoundedAndKeepsTheLatest(t *testing.T) {
	m := NewMachine()
	for version := uint64(1); version <= 3*historyWeight; version++ {
		m.ApplyCommand(Command{Prepare: &Entry{Version: version, ChangeID: "x", Change: marketTemplate(int(version))}})
		m.ApplyCommand(Command{Accept: &Acceptance{Version: version, ChangeID: "x"}})
	}
	assert.LessOrEqual(t, len(m.history), historyWeight)
	assert.GreaterOrEqual(t, len(m.history), historyWeight/2)
	change, kept := m.rollback(m.head.Version-historyWeight/2+1, nil)
	require.True(t, kept)
	assert.Equal(t, 3*historyWeight-historyWeight/2+1, change.PutTemplates[0].Limits.Turns)
	_, kept = m.rollback(1, nil)
	assert.False(t, kept)
}
