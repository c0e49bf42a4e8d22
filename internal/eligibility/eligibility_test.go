package eligibility

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// A request must not reach a worker that any restriction excludes.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name    string
		request Request
		worker  Worker
		verdict Verdict
	}{
		{"no restriction", Request{}, Worker{Region: "a"}, Allowed},
		{"allowed region", Request{Regions: locality.Regions{"a"}}, Worker{Region: "a"}, Allowed},
		{"other region", Request{Regions: locality.Regions{"b"}}, Worker{Region: "a"}, OutsideRegions},
		{"empty region list", Request{Regions: locality.Regions{}}, Worker{Region: "a"}, OutsideRegions},
		{"evacuated zone, cold", Request{}, Worker{Evacuated: true, Cold: true}, Evacuated},
		{"draining, cold", Request{}, Worker{Draining: true, Cold: true}, Draining},
		{"draining, accepted", Request{AcceptsDraining: true}, Worker{Draining: true, Serving: true}, Allowed},
		{"draining, not accepted", Request{}, Worker{Draining: true, Serving: true}, Draining},
		{"draining for too long", Request{AcceptsDraining: true}, Worker{Draining: true}, Draining},
		{"draining, accepted, cold", Request{AcceptsDraining: true}, Worker{Draining: true, Serving: true, Cold: true}, NeedsWarmupPermit},
		{"draining, accepted, evacuated", Request{AcceptsDraining: true}, Worker{Draining: true, Serving: true, Evacuated: true}, Evacuated},
		{"its version", Request{Versions: OnlyVersions("v1")}, Worker{Version: "v1"}, Allowed},
		{"other version, other region", Request{Versions: OnlyVersions("v1"), Regions: locality.Regions{"a"}}, Worker{Version: "v2", Region: "b"}, OtherVersion},
		{"version without a name", Request{Versions: OnlyVersions("")}, Worker{Version: "v2"}, OtherVersion},
		{"one of its versions", Request{Versions: OnlyVersions("v1", "v2")}, Worker{Version: "v2"}, Allowed},
		{"no version may serve", Request{Versions: OnlyVersions()}, Worker{}, OtherVersion},
		{"any version", Request{}, Worker{Version: "v2"}, Allowed},
		{"cold", Request{}, Worker{Cold: true}, NeedsWarmupPermit},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.verdict, Check(c.request, c.worker))
			require.Equal(t, c.verdict != Allowed && c.verdict != NeedsWarmupPermit, c.verdict.Refused())
		})
	}
}
