package server

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/outlier"
)

type groupName string

func (n groupName) String() string { return string(n) }

// Guards against ejections missing from the log or the metrics.
func TestEjectionDecisionsAreLoggedAndCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	metrics := newEjectionMetrics(registry)
	handler := memory.New()
	logger := &log.Logger{Handler: handler, Level: log.InfoLevel}
	for _, change := range []outlier.Change{
		{Worker: "w@1", Ejected: true, Reason: outlier.TooManyFailures, FailureRate: 0.456, Requests: 20.5, Nodes: 9, TrialDelay: time.Second, Utilization: 0.5},
		{Worker: "w@1", Ejected: true, Reason: outlier.TrialFailed, TrialDelay: 2 * time.Second},
		{Worker: "w@1", Reason: outlier.TrialsSucceeded, EjectedFor: 3 * time.Second},
	} {
		metrics.RecordDecision(logger, groupName("s/a/0"), change)
	}
	require.Len(t, handler.Entries, 3)
	require.Equal(t, "worker ejected", handler.Entries[0].Message)
	require.Equal(t, log.Fields{
		"worker": "w@1", "group": "s/a/0", "reason": "failing", "share": 0.45, "weight": 20.5, "nodes": 9, "busy": 0.5, "wait_ms": int64(1000),
	}, handler.Entries[0].Fields)
	require.Equal(t, "worker tried again", handler.Entries[1].Message)
	require.Equal(t, "worker back", handler.Entries[2].Message)
	require.Equal(t, int64(3000), handler.Entries[2].Fields["lasted_ms"])
	var counted dto.Metric
	require.NoError(t, metrics.decisions.WithLabelValues("back", "sound").Write(&counted))
	require.Equal(t, 1.0, counted.GetCounter().GetValue())
}
