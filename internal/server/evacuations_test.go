package server

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
	"github.com/cloverwheel/cloverwheel/internal/tablesync"
)

// Guards against serving with an incomplete list of evacuated zones: a configuration that arrives
// with a page of the initial read takes effect only when the read is complete.
func TestConfigurationWaitsForEvacuatedZones(t *testing.T) {
	configuration, evacuated := row("configuration", 3), row("evacuated", 4)
	s := New(Options{
		Store: storetest.New(),
		RowDecoders: RowDecoders{
			Configuration: func(row store.Row) (*route.Configuration, bool, error) {
				return route.New(1, nil, nil, route.Limits{}), row.Name == configuration.Name, nil
			},
			Evacuation: func(row store.Row) (string, bool) { return "a", row.Name == evacuated.Name },
		},
		Metrics: NewMetrics(),
		Logger:  &log.Logger{Handler: discard.New()},
	})
	s.applyOperatorRows([]store.Row{configuration})
	require.Nil(t, s.forwarder.Configuration())
	s.replaceOperatorRows(tablesync.Snapshot{Rows: []store.Row{configuration, evacuated}, Version: 5, Whole: true})
	require.NotNil(t, s.forwarder.Configuration())
	require.True(t, s.Evacuated("a"))
	gone := row(evacuated.Name, 6)
	gone.Gone = true
	s.applyOperatorRows([]store.Row{gone})
	require.False(t, s.Evacuated("a"))
}

func row(name string, version store.Version) store.Row {
	return store.Row{Key: store.Key{Name: name}, Version: version}
}
