package groupcommit

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// relayNodes commits to a table on behalf of another node if the data may pass through region.
type relayNodes struct {
	table  *storetest.Table
	region string
}

// Commit implements store.Relayer.
func (o relayNodes) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if !locality.ContentRegions(ctx).Allow(o.region) {
		return 0, store.ErrNotRelayable
	}
	return o.table.Commit(ctx, transaction)
}

// Range implements store.Relayer.
func (o relayNodes) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	return o.table.Range(ctx, table, part, from, to, limit)
}

// TestOwnerWithoutTableWritesThroughRelays guards against lost writes when an owner cannot reach
// the table itself, and against relaying rows through another region.
func TestOwnerWithoutTableWritesThroughRelays(t *testing.T) {
	for region, want := range map[string]Outcome{"here": OutcomeStored, "elsewhere": OutcomeFailed} {
		synctest.Test(t, func(t *testing.T) {
			logger := &log.Logger{Handler: discard.New()}
			unreachable := storetest.New()
			unreachable.SetFault(func(string, bool) storetest.Fault { return storetest.ConnectionReset })
			relays := relayNodes{table: storetest.New(), region: region}
			table := store.NewRelayed(store.NewGate(unreachable, logger), relays, logger)
			committer := NewCommitter(CommitterOptions{
				Process: "p", Owns: func(int) bool { return true }, Store: table, TableUnreachable: table.Unreachable, Region: "here",
				Limit: CommitLimit{PerSecond: 1500, Groups: Groups}, MaxPendingBytes: 1 << 20, Metrics: &testCluster{}, Logger: logger,
			})
			for turn := range 20 {
				name := fmt.Sprint("turn", turn)
				rows := []store.Row{{Key: store.Key{Table: "turns", Part: fmt.Sprint("t", turn%partitionsPerGroup), Name: name}}}
				answer := committer.Answer(t.Context(), Request{Process: "p", Rows: rows, Within: time.Second})
				require.Equal(t, want, answer.Outcome)
				require.Equal(t, want == OutcomeStored, relays.table.Has("turns", name))
			}
			time.Sleep(2 * time.Second)
		})
	}
}
