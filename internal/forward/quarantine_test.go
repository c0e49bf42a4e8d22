package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/route"
)

// maxEnded is the number of workers that may end under one content.
const maxEnded = 3

// Guards against a request that ends every worker that runs it, and that is sent to more of them within a try and over the tries
// of its client.
func TestWorkUnderWhichWorkersEndIsNotSentOn(t *testing.T) {
	for name, one := range map[string]route.Route{
		"a resumable stream":               turnRoute(resumable),
		"a stream that may not be resumed": turnRoute(nil),
		"a safe request":                   plainRoute(route.Safe, 2),
		"an unsafe request":                plainRoute(route.Unsafe, 1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, one)
				f.reachable = true
				for index := range 12 {
					id := fmt.Sprintf("w%d", index)
					f.worker(id, f.ends(id))
				}
				for try := range 6 {
					f.serve(t.Context(), func(r *Request) { r.ID = fmt.Sprintf("r%d", try) })
					time.Sleep(150 * time.Millisecond)
				}
				require.Len(t, f.ended, maxEnded)
			})
		})
	}
}
