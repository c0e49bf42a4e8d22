package backend

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// roster lists the workers of a service, sorted by distance from this node and then by key.
// Its slices are replaced, never changed in place.
type roster struct {
	workers    []*Worker
	sameZone   int      // number of workers in the node's zone; they come first
	sameRegion int      // number of workers in the node's region, those of its zone included
	zones      []string // zones of the workers, and perhaps zones that have none any more
	versions   []string // software versions of the workers, each once
	// lingering reports that all workers were removed from the worker list less than lingerPeriod ago.
	lingering bool
}

// newRoster sorts workers in place and returns their roster.
func newRoster(workers []*Worker) roster {
	slices.SortFunc(workers, compareWorkers)
	return rosterFromSorted(workers)
}

// rosterFromSorted returns the roster of sorted workers.
func rosterFromSorted(workers []*Worker) roster {
	return rosterWithZones(workers, zonesOf(nil, workers))
}

// rosterWithZones returns the roster of sorted workers, given their zones.
func rosterWithZones(workers []*Worker, zones []string) roster {
	from := func(w *Worker, distance locality.Distance) int { return cmp.Compare(w.distance, distance) }
	sameZone, _ := slices.BinarySearchFunc(workers, locality.SameRegion, from)
	sameRegion, _ := slices.BinarySearchFunc(workers, locality.OtherRegion, from)
	return roster{workers: workers, sameZone: sameZone, sameRegion: sameRegion, zones: zones, versions: versionsOf(workers)}
}

// versionsOf returns the software versions of workers, each once.
func versionsOf(workers []*Worker) (versions []string) {
	for _, worker := range workers {
		if !slices.Contains(versions, worker.version) {
			versions = append(versions, worker.version)
		}
	}
	return versions
}

// ofVersions returns the roster of the workers whose software version may serve a request.
func (r roster) ofVersions(allowed eligibility.Versions) roster {
	if !slices.ContainsFunc(r.versions, func(name string) bool { return !allowed.Allow(name) }) {
		return r
	}
	return r.filter(func(worker *Worker) bool { return allowed.Allow(worker.version) })
}

// zonesOf returns zones with those of workers added. It does not change its argument.
func zonesOf(zones []string, workers []*Worker) []string {
	zones = slices.Clone(zones)
	for _, worker := range workers {
		if !slices.Contains(zones, worker.zone) {
			zones = append(zones, worker.zone)
		}
	}
	return zones
}

// compareWorkers orders workers by distance and key, both of which are constant.
func compareWorkers(a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), strings.Compare(a.key, b.key))
}

// withChanges returns the roster without the removed workers and with the added ones. It copies the
// list once per batch: sorting it anew for each change would make the first load quadratic, 6.6 s of a
// core for 10,000 workers in place of 35 ms. A zone whose
// last worker was removed stays in zones, which is harmless.
func (r roster) withChanges(removed, added []*Worker) roster {
	slices.SortFunc(removed, compareWorkers)
	slices.SortFunc(added, compareWorkers)
	zones := zonesOf(r.zones, added)
	merged := make([]*Worker, 0, len(r.workers)+len(added))
	rest := r.workers
	// keepUntil copies the workers that sort before the given one.
	keepUntil := func(worker *Worker) {
		index, _ := slices.BinarySearchFunc(rest, worker, compareWorkers)
		merged = append(merged, rest[:index]...)
		rest = rest[index:]
	}
	for len(removed) > 0 || len(added) > 0 {
		if len(added) == 0 || len(removed) > 0 && compareWorkers(removed[0], added[0]) <= 0 {
			keepUntil(removed[0])
			if len(rest) > 0 && rest[0] == removed[0] {
				rest = rest[1:]
			}
			removed = removed[1:]
			continue
		}
		keepUntil(added[0])
		merged = append(merged, added[0])
		added = added[1:]
	}
	return rosterWithZones(append(merged, rest...), zones)
}

// filter returns the roster of the workers for which keep is true.
func (r roster) filter(keep func(*Worker) bool) roster {
	kept := make([]*Worker, 0, len(r.workers))
	for _, worker := range r.workers {
		if keep(worker) {
			kept = append(kept, worker)
		}
	}
	return rosterFromSorted(kept)
}
