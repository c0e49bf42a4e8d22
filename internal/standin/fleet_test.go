package standin_test

import (
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/standin"
)

const testModel id.Model = "market-assistant"

func TestHeartbeatsNameTheModelsLoaded(t *testing.T) {
	fleet := startFleet(t, 1e6)
	order := engine.Order{Kind: engine.LoadModel, Model: "harvest-log", Fence: owner}
	require.NoError(t, fleet.Engines[0].Order(t.Context(), order))
	require.Eventually(t, func() bool {
		listed, err := fleet.Machines.List(t.Context(), outside.KindWorker)
		return err == nil && listed[0].Models[0] == order.Model && listed[1].Models[0] == testModel
	}, patience, time.Millisecond)
}

func startFleet(t *testing.T, speed float64) *standin.Fleet {
	t.Helper()
	fleet, err := standin.NewFleet(standin.FleetOptions{
		Engines: []standin.EngineGroup{{
			Count:  2,
			Zones:  []string{"westlands", "karen"},
			Model:  testModel,
			Engine: standin.EngineOptions{Speed: speed, Lag: time.Millisecond},
		}},
		Heartbeat: 5 * time.Millisecond,
		Log:       &log.Logger{Handler: discard.Default},
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, fleet.Close()) })
	return fleet
}

func generation(request id.Request, content string, tokens int) engine.GenerateRequest {
	return engine.GenerateRequest{
		Request:   request,
		Program:   request.Program(),
		Model:     testModel,
		Messages:  []chat.Message{{Role: chat.User, Content: content}},
		MaxTokens: tokens,
		Fence:     engine.Fence{Epoch: 1},
	}
}

// collector joins the text of chunks.
type collector struct {
	text   strings.Builder
	chunks int
}

func (c *collector) receive(chunk engine.Chunk) error {
	c.text.WriteString(chunk.Text)
	c.chunks++
	return nil
}

func TestFleetServesEnginesEndToEnd(t *testing.T) {
	fleet := startFleet(t, 2)
	machines := outside.NewHTTPMachines(outside.Options{Address: fleet.MachinesAddress()})
	listed, err := machines.List(t.Context(), outside.KindWorker)
	require.NoError(t, err)
	require.Len(t, listed, 2)
	require.Equal(t, "karen", listed[1].Zone)

	client := engine.NewHTTP(engine.HTTPOptions{Address: listed[0].Address})
	request := id.NewRequest("p-1", 1, 1)
	var got collector
	outcome, err := client.Generate(t.Context(), generation(request, "What do tomatoes cost?", 40), got.receive)
	require.NoError(t, err)
	require.Equal(t, standin.AnswerText(request, 0, 40), outcome.Message.Content)
	require.Equal(t, outcome.Message.Content, got.text.String())
	require.Greater(t, got.chunks, 1, "the answer is streamed")
	require.Equal(t, 40, outcome.Usage.OutputTokens)
	require.Equal(t, "length", outcome.FinishReason)

	report, err := client.Load(t.Context())
	require.NoError(t, err)
	require.NotEmpty(t, report.Instance)
	status, err := client.Lookup(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, engine.RequestStatus{
		State: engine.RequestFinished, Outcome: outcome, Tokens: 40, Fence: engine.Fence{Epoch: 1, Instance: report.Instance},
	}, status)
	status, err = client.Lookup(t.Context(), "p-2/1/1")
	require.NoError(t, err)
	require.Equal(t, engine.RequestUnknown, status.State)
}

func TestCancelEndsTheStreamWithWhatWasMade(t *testing.T) {
	fleet := startFleet(t, 1)
	client := engine.NewHTTP(engine.HTTPOptions{Address: fleet.Engines[0].Machine.Address})
	request := id.NewRequest("p-1", 1, 1)
	var got collector
	outcome, err := client.Generate(t.Context(), generation(request, "Go on for long.", 100_000), func(chunk engine.Chunk) error {
		if got.chunks == 0 {
			require.NoError(t, client.Cancel(t.Context(), request, engine.Fence{Epoch: 1}))
		}
		return got.receive(chunk)
	})
	require.NoError(t, err)
	require.Equal(t, "cancelled", outcome.FinishReason)
	require.Equal(t, got.text.String(), outcome.Message.Content)
	require.Less(t, outcome.Usage.OutputTokens, 100_000)
	err = client.Cancel(t.Context(), "p-2/1/1", engine.Fence{Epoch: 1})
	require.True(t, fault.Is(err, fault.NotFound))
}

func TestKilledEngineRefusesConnectionsUntilItsRestart(t *testing.T) {
	fleet := startFleet(t, 20)
	e := fleet.Engines[0]
	client := engine.NewHTTP(engine.HTTPOptions{Address: e.Machine.Address})
	request := generation("p-1/1/1", "Go on.", 400)
	_, err := client.Generate(t.Context(), request, func(engine.Chunk) error { return e.Kill() })
	requireFault(t, err, fault.Unavailable, fault.RanUnknown)
	_, err = client.Generate(t.Context(), request, ignore)
	requireFault(t, err, fault.Unavailable, fault.RanNo)
	require.NoError(t, e.Restart())
	status, err := client.Lookup(t.Context(), request.Request)
	require.NoError(t, err)
	require.Equal(t, engine.RequestUnknown, status.State)
	_, err = client.Generate(t.Context(), request, ignore)
	require.NoError(t, err)
	require.Equal(t, 2, e.Record().Runs[0].Starts)
}
