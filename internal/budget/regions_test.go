package budget

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// TestPeersInTheSameRegionAreAskedFirst guards against requests to other regions while
// near processes may have tokens, for both direct and broadcast requests.
func TestPeersInTheSameRegionAreAskedFirst(t *testing.T) {
	zoneMap := locality.NewMap(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	accounts := NewAccounts(Options{
		Store: storetest.New(), Self: Holder{Process: locality.ProcessName("a1", "self", "0")},
		Location: locality.Location{Zones: zoneMap, Zone: "a1"},
	})
	near, nearer, far := Holder{Process: locality.ProcessName("a2", "n", "0")}, Holder{Process: locality.ProcessName("a1", "m", "0")}, Holder{Process: locality.ProcessName("b1", "f", "0")}
	accounts.addPeers(near, nearer, far)
	require.Equal(t, []Holder{nearer, near, far}, accounts.RecentPeers())
	account := accounts.accountOf("p")
	account.addHolders(near, nearer, far)
	require.Equal(t, []Holder{nearer, near, far}, accounts.responsiveHolders(account))
}
