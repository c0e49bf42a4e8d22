package standin_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/standin"
)

// patience is long enough for a healthy exchange on a busy machine.
const patience = 30 * time.Second

// serve starts a stand-in and returns client options with a time limit.
func serve(t *testing.T, handler http.Handler, timeout time.Duration) outside.Options {
	t.Helper()
	server, err := standin.Serve("", handler)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	return outside.Options{Address: server.Address(), Timeout: timeout}
}

func requireFault(t *testing.T, err error, code fault.Code, ran fault.Ran) *fault.Error {
	t.Helper()
	require.Error(t, err)
	typed := fault.From(err)
	require.Equal(t, code, typed.Code, typed.Message)
	require.Equal(t, ran, typed.Ran, typed.Message)
	return typed
}

// onTables runs a test against the table in memory and over HTTP.
func onTables(t *testing.T, test func(t *testing.T, memory *standin.MemoryTable, table outside.Table)) {
	t.Run("memory", func(t *testing.T) {
		memory := standin.NewMemoryTable()
		test(t, memory, memory)
	})
	t.Run("http", func(t *testing.T) {
		memory := standin.NewMemoryTable()
		test(t, memory, outside.NewHTTPTable(serve(t, standin.TableHandler(memory), patience)))
	})
}

func TestTableWritesByCompareAndSet(t *testing.T) {
	onTables(t, func(t *testing.T, _ *standin.MemoryTable, table outside.Table) {
		ctx := t.Context()
		row, err := table.CompareAndSet(ctx, "shard/1", 0, []byte("a"), "change-1")
		require.NoError(t, err)
		require.Equal(t, outside.Row{Key: "shard/1", Version: 1, Value: []byte("a"), Change: "change-1"}, row)
		_, err = table.CompareAndSet(ctx, "shard/1", 0, []byte("b"), "change-2")
		requireFault(t, err, fault.Conflict, fault.RanNo)
		_, err = table.CompareAndSet(ctx, "tenant/1", 0, []byte("c"), "change-3")
		require.NoError(t, err)
		listed, err := table.List(ctx, "shard/")
		require.NoError(t, err)
		require.Equal(t, []outside.Row{row}, listed)
		absent, err := table.Get(ctx, "shard/2")
		require.NoError(t, err)
		require.Equal(t, outside.Row{Key: "shard/2"}, absent)
	})
}

func TestLostAnswerIsSettledByReadingBackTheChange(t *testing.T) {
	onTables(t, func(t *testing.T, memory *standin.MemoryTable, table outside.Table) {
		memory.SetFaults(standin.Faults{LoseAnswers: 1})
		_, err := table.CompareAndSet(t.Context(), "key", 0, []byte("a"), "change-1")
		requireFault(t, err, fault.Unavailable, fault.RanUnknown)
		row, err := table.Get(t.Context(), "key")
		require.NoError(t, err)
		require.Equal(t, "change-1", row.Change)
		_, err = table.CompareAndSet(t.Context(), "key", 1, []byte("b"), "change-2")
		require.NoError(t, err, "only one answer was to be lost")
	})
}

func TestDownTableRefusesAsNotRun(t *testing.T) {
	onTables(t, func(t *testing.T, memory *standin.MemoryTable, table outside.Table) {
		memory.SetFaults(standin.Faults{Down: true})
		_, err := table.CompareAndSet(t.Context(), "key", 0, []byte("a"), "change-1")
		requireFault(t, err, fault.Unavailable, fault.RanNo)
		require.Zero(t, memory.Writes())
	})
}

func TestRateLimitTellsWhenToComeBack(t *testing.T) {
	onTables(t, func(t *testing.T, memory *standin.MemoryTable, table outside.Table) {
		memory.SetFaults(standin.Faults{PerSecond: 0.01, Burst: 1})
		_, err := table.Get(t.Context(), "key")
		require.NoError(t, err)
		_, err = table.CompareAndSet(t.Context(), "key", 0, []byte("a"), "change-1")
		refused := requireFault(t, err, fault.RateLimited, fault.RanNo)
		require.Greater(t, refused.RetryAfter, 10*time.Second)
		require.Zero(t, memory.Writes())
	})
}

func TestHungTableLeavesTheOutcomeUnknown(t *testing.T) {
	memory := standin.NewMemoryTable()
	memory.SetFaults(standin.Faults{Hang: true})
	table := outside.NewHTTPTable(serve(t, standin.TableHandler(memory), 20*time.Millisecond))
	_, err := table.Get(t.Context(), "key")
	requireFault(t, err, fault.Unavailable, fault.RanUnknown)
}

func TestUnreachableServiceRanNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	table := outside.NewHTTPTable(outside.Options{Address: address, Timeout: patience})
	_, err = table.CompareAndSet(t.Context(), "key", 0, nil, "change-1")
	requireFault(t, err, fault.Unavailable, fault.RanNo)
}

func TestSlowWriteLandsAfterItsCallerGaveUp(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table := standin.NewMemoryTable()
			table.SetFaults(standin.Faults{Delay: 10 * time.Second, LateEffect: late})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := table.CompareAndSet(ctx, "key", 0, []byte("a"), "change-1")
			requireFault(t, err, fault.Unavailable, fault.RanUnknown)
			require.Zero(t, table.Writes())
			time.Sleep(10 * time.Second)
			synctest.Wait()
			require.Equal(t, late, table.Writes() == 1)
		})
	}
}

func TestObjectsKeepBytes(t *testing.T) {
	memory := standin.NewMemoryObjects()
	overHTTP := outside.NewHTTPObjects(serve(t, standin.ObjectsHandler(memory), patience))
	for name, objects := range map[string]outside.Objects{"memory": standin.NewMemoryObjects(), "http": overHTTP} {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			require.NoError(t, objects.Put(ctx, "shard/1 a&b", []byte{0, 255, '"'}))
			require.NoError(t, objects.Put(ctx, "shard/2", nil))
			value, err := objects.Get(ctx, "shard/1 a&b")
			require.NoError(t, err)
			require.Equal(t, []byte{0, 255, '"'}, value)
			keys, err := objects.List(ctx, "shard/")
			require.NoError(t, err)
			require.Equal(t, []string{"shard/1 a&b", "shard/2"}, keys)
			require.NoError(t, objects.Delete(ctx, "shard/2"))
			_, err = objects.Get(ctx, "shard/2")
			requireFault(t, err, fault.NotFound, fault.RanNo)
		})
	}
	memory.SetFaults(standin.Faults{LoseAnswers: -1})
	requireFault(t, overHTTP.Put(t.Context(), "lost", []byte("a")), fault.Unavailable, fault.RanUnknown)
	_, err := overHTTP.Get(t.Context(), "lost")
	require.NoError(t, err, "the write took effect")
}

func TestMachineListLagsAndForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines := standin.NewMemoryMachines(standin.MachinesOptions{Lag: 2 * time.Second, TimeToLive: 5 * time.Second})
		list := func() []outside.Machine {
			listed, err := machines.List(t.Context(), outside.KindNode)
			require.NoError(t, err)
			return listed
		}
		node := outside.Machine{ID: "n1", Kind: outside.KindNode, Zone: "karen"}
		require.NoError(t, machines.Register(t.Context(), node))
		require.Empty(t, list(), "a new machine is seen late")
		time.Sleep(2 * time.Second)
		require.Equal(t, []outside.Machine{node}, list())
		require.NoError(t, machines.SetLeaving("n1", true))
		require.False(t, list()[0].Leaving)
		time.Sleep(2 * time.Second)
		require.True(t, list()[0].Leaving)
		time.Sleep(6 * time.Second)
		require.Empty(t, list(), "no heartbeat came")
		require.NoError(t, machines.SetGone("n1"))
		time.Sleep(time.Hour)
		require.True(t, list()[0].Gone, "a retired machine stays listed")
		requireFault(t, machines.Register(t.Context(), node), fault.Conflict, fault.RanNo)
	})
}

func TestMachinesOverHTTPKeepEveryField(t *testing.T) {
	memory := standin.NewMemoryMachines(standin.MachinesOptions{})
	machines := outside.NewHTTPMachines(serve(t, standin.MachinesHandler(memory), patience))
	worker := outside.Machine{
		ID: "w1", Kind: outside.KindWorker, Address: "127.0.0.1:1", Zone: "karen", Region: "nairobi",
		Leaving: true, Models: []id.Model{"a", "b"},
	}
	require.NoError(t, machines.Register(t.Context(), worker))
	listed, err := machines.List(t.Context(), outside.KindWorker)
	require.NoError(t, err)
	require.Equal(t, []outside.Machine{worker}, listed)
	listed, err = machines.List(t.Context(), outside.KindNode)
	require.NoError(t, err)
	require.Empty(t, listed)
}

func TestToolFaultsSayWhetherTheToolRan(t *testing.T) {
	const levy = `{"stall":"17","shillings":50}`
	tests := []struct {
		name     string
		faults   standin.Faults
		tool     string
		patience time.Duration
		code     fault.Code
		ran      fault.Ran
		recorded int
	}{
		{"healthy", standin.Faults{}, standin.LevyTool, patience, "", "", 1},
		{"hung", standin.Faults{Hang: true}, standin.LevyTool, 20 * time.Millisecond, fault.ToolTimeout, fault.RanUnknown, 0},
		{"answer lost", standin.Faults{LoseAnswers: 1}, standin.LevyTool, patience, fault.ToolFailed, fault.RanUnknown, 1},
		{"down", standin.Faults{Down: true}, standin.LevyTool, patience, fault.ToolFailed, fault.RanNo, 0},
		{"refused", standin.Faults{}, standin.FailTool, patience, fault.ToolFailed, fault.RanNo, 0},
		{"no such tool", standin.Faults{}, "unknown", patience, fault.NotFound, fault.RanNo, 0},
		{"deadline passed", standin.Faults{}, standin.LevyTool, -time.Second, fault.ToolTimeout, fault.RanNo, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			memory := standin.NewMemoryTools()
			options := serve(t, standin.ToolsHandler(memory), patience)
			tools := outside.NewHTTPTools(options)
			memory.SetFaults(test.faults)
			request := outside.ToolRequest{
				URL: "http://" + options.Address + standin.ToolsPath, Request: "p-1/1/1",
				Name: test.tool, Arguments: levy, Deadline: time.Now().Add(test.patience),
			}
			answer, err := tools.Invoke(t.Context(), request)
			if test.code == "" {
				require.NoError(t, err)
			} else {
				requireFault(t, err, test.code, test.ran)
			}
			require.Len(t, memory.Record(), test.recorded)
			request.Deadline = time.Now().Add(test.patience)
			outcome, err := tools.Outcome(t.Context(), request)
			if test.faults.Hang || test.faults.Down || test.patience < 0 {
				requireFault(t, err, test.code, test.ran)
				return
			}
			if test.recorded == 0 {
				requireFault(t, err, fault.NotFound, fault.RanNo)
				return
			}
			require.NoError(t, err)
			require.Equal(t, memory.Record()[0].Answer, outcome)
			require.True(t, answer == "" || answer == outcome)
		})
	}
}
