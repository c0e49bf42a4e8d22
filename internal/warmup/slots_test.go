package warmup

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// Guards against nodes that disagree on a worker's slot, and slots in another region than the worker.
func TestSlotIsInRegionOfWorker(t *testing.T) {
	places := locality.NewMap(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	slots := Slots{Layout: directory.NewLayout(places), Zones: places}
	require.Equal(t, "a", slots.Layout.RegionOf(slots.slotOf("w", "a2")))
	require.Equal(t, "b", slots.Layout.RegionOf(slots.slotOf("w", "b1")))
	require.Equal(t, Slots{}.slotOf("w", "a1"), Slots{}.slotOf("w", "b1"), "without regions, the zone must not matter")
}
