package store_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// oldConnections is a table whose reads all fail with ErrStaleConnection.
type oldConnections struct{ *storetest.Table }

// Range implements store.Store.
func (oldConnections) Range(context.Context, string, string, string, string, int) (store.Page, error) {
	return store.Page{}, store.ErrStaleConnection
}

// Calls that fail on old connections must not trip the breaker: the next call is made at
// once.
func TestOldConnectionsDoNotTripTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		gate := store.NewGate(oldConnections{table}, &log.Logger{Handler: discard.New()})
		for part := range 20 {
			_, err := gate.Range(t.Context(), "t", string(rune('a'+part)), "", "", 0)
			require.ErrorIs(t, err, store.ErrStaleConnection)
		}
		require.False(t, gate.Suspect())
		_, err := gate.Commit(t.Context(), store.Transaction{Put: []store.Row{{Key: store.Key{Table: "t", Part: "a", Name: "k"}}}})
		require.NoError(t, err)
	})
}
