package backend

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// withOpenZones removes the workers of zones that are evacuated or outside the request's regions. The
// shortlist is then drawn from all remaining workers, so that the load of an evacuated zone is spread
// over all of them. The order is kept and the given roster is not changed.
func (r *Registry) withOpenZones(regions locality.Regions, known roster) roster {
	var closed []string
	for _, zone := range known.zones {
		if r.zoneVerdict(zone, regions).Refused() {
			closed = append(closed, zone)
		}
	}
	if len(closed) == 0 {
		return known
	}
	return known.filter(func(worker *Worker) bool { return !slices.Contains(closed, worker.zone) })
}

// zoneVerdict decides whether a request that may be served in the given regions may go to a zone.
func (r *Registry) zoneVerdict(zone string, regions locality.Regions) eligibility.Verdict {
	return eligibility.Check(eligibility.Request{Regions: regions}, eligibility.Worker{
		Region:    r.options.Zones.Region(zone),
		Evacuated: r.options.Evacuated(zone),
	})
}

// ClosedReason returns why no worker of a service may get a request that may be served in the given regions,
// and which zones would accept it if they were not evacuated. The verdict is eligibility.Allowed if some
// worker's zone accepts the request or if the service has no workers. Draining workers do not count. If
// only is not empty, just the workers with these keys are considered.
func (r *Registry) ClosedReason(service string, regions locality.Regions, only []string) (reason eligibility.Verdict, evacuated []string) {
	workers := r.Workers(service)
	for _, worker := range workers {
		if len(only) > 0 && !slices.Contains(only, worker.key) {
			continue
		}
		verdict := r.zoneVerdict(worker.zone, regions)
		switch {
		case worker.Record().Draining:
			continue
		case !verdict.Refused():
			return eligibility.Allowed, nil
		case verdict == eligibility.Evacuated && !slices.Contains(evacuated, worker.zone):
			evacuated = append(evacuated, worker.zone)
		}
		if reason != eligibility.Evacuated {
			reason = verdict
		}
	}
	slices.Sort(evacuated)
	return reason, evacuated
}
