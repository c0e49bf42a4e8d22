package backend

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/permit"
)

// open leaves out the workers of zones that are evacuated or lie outside the regions of a
// request, so that a shortlist is drawn from all that remain: the work of such a zone falls
// on all others alike. The order stays, and workers is not changed.
func (r *Registry) open(regions locality.Regions, known roster) roster {
	var closed []string
	for _, zone := range known.zones {
		if r.zoneVerdict(zone, regions).Refused() {
			closed = append(closed, zone)
		}
	}
	if len(closed) == 0 {
		return known
	}
	return known.only(func(worker *Worker) bool { return !slices.Contains(closed, worker.zone) })
}

// zoneVerdict is what a request that may be served in regions may do in a zone.
func (r *Registry) zoneVerdict(zone string, regions locality.Regions) permit.Verdict {
	return permit.Check(permit.Request{Regions: regions}, permit.Worker{
		Region:    r.options.Places.Region(zone),
		Evacuated: r.options.Evacuated(zone),
	})
}

// Closed tells why the zones of all workers of a service are closed to a request that may be
// served in regions, and which zones would serve it were they not evacuated. It is
// permit.Allowed if one is open, or if the service has no workers; leaving ones do not
// count. With only, just these workers are looked at.
func (r *Registry) Closed(service string, regions locality.Regions, only []string) (why permit.Verdict, evacuated []string) {
	workers := r.Of(service)
	for _, worker := range workers {
		if len(only) > 0 && !slices.Contains(only, worker.key) {
			continue
		}
		verdict := r.zoneVerdict(worker.zone, regions)
		switch {
		case worker.Record().Draining:
			continue
		case !verdict.Refused():
			return permit.Allowed, nil
		case verdict == permit.Evacuated && !slices.Contains(evacuated, worker.zone):
			evacuated = append(evacuated, worker.zone)
		}
		if why != permit.Evacuated {
			why = verdict
		}
	}
	slices.Sort(evacuated)
	return why, evacuated
}
