package streamorigin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/route"
)

const (
	// sharedTTL is how long the services of a route are shared after the route has changed. By then, clients have given up
	// the streams that began before.
	sharedTTL = recordTTL
	// settleTime is how long a node must have known the routes to know which services they led to lately.
	settleTime = unsentTTL
)

// SharedServices knows the services that share a route with another one, now or until lately: the route alone does not tell at which
// of them a stream began. Only routes whose streams can be resumed count. A node that has started lately does not know what routes
// changed before, unless it learns that from another node. Its methods are safe for concurrent use.
type SharedServices struct {
	mutex         sync.Mutex
	configuration *route.Configuration // nil: none yet
	current       []string             // they share a route in the configuration
	until         map[string]time.Time // when services end to be shared that shared a route in an earlier one
	settledAt     time.Time            // when the node knows, or will know, which routes changed lately; set with the configuration
}

// RouteHistory is what a node knows of the services that share routes. It is sent between nodes with gob, so its fields keep their names.
type RouteHistory struct {
	// Version is that of the node's configuration; 0: the node does not know which routes changed lately.
	Version route.Version
	Shared  []string
}

// NewSharedServices returns SharedServices without any.
func NewSharedServices() *SharedServices {
	return &SharedServices{until: map[string]time.Time{}}
}

// Apply takes a configuration, unless a newer one is known, and returns the services that were not shared and are now.
func (s *SharedServices) Apply(next *route.Configuration, now time.Time) (added []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.configuration != nil && next.Version <= s.configuration.Version {
		return nil
	}
	if s.configuration == nil {
		s.settledAt = now.Add(settleTime)
	}
	before := s.names(now)
	for _, service := range changedServices(s.configuration, next) {
		s.until[service] = now.Add(sharedTTL)
	}
	s.configuration, s.current = next, splitServices(next)
	for _, service := range s.names(now) {
		if !slices.Contains(before, service) {
			added = append(added, service)
		}
	}
	return added
}

// MayContain reports whether a service is shared, or may be since the node does not know which routes changed lately.
func (s *SharedServices) MayContain(service string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.settled(now) || slices.Contains(s.current, service) || now.Before(s.until[service])
}

// History returns what this node knows, for other nodes.
func (s *SharedServices) History(now time.Time) RouteHistory {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.settled(now) {
		return RouteHistory{}
	}
	return RouteHistory{Version: s.configuration.Version, Shared: s.names(now)}
}

// Learn takes what another node knows, if that covers the changes of routes before this node's first configuration or after
// its current one, and reports whether it does.
func (s *SharedServices) Learn(history RouteHistory, now time.Time) (learned bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.configuration == nil || history.Version < s.configuration.Version {
		return false
	}
	if s.settled(now) && history.Version == s.configuration.Version {
		return false // it covers the same changes
	}
	for _, service := range history.Shared {
		s.until[service] = now.Add(sharedTTL)
	}
	if !s.settled(now) {
		s.settledAt = now
	}
	return true
}

// settled reports whether the node knows which routes changed lately. The caller holds the mutex.
func (s *SharedServices) settled(now time.Time) bool {
	return s.configuration != nil && !now.Before(s.settledAt)
}

// names returns the shared services and drops those that no longer are. The caller holds the mutex.
func (s *SharedServices) names(now time.Time) []string {
	names := slices.Clone(s.current)
	for service, end := range s.until {
		switch {
		case !now.Before(end):
			delete(s.until, service)
		case !slices.Contains(names, service):
			names = append(names, service)
		}
	}
	return names
}

// splitServices returns the services of routes that lead to several.
func splitServices(configuration *route.Configuration) (services []string) {
	for one := range configuration.ResumableRoutes() {
		if targets := one.TargetServices(); len(targets) > 1 {
			services = appendMissing(services, targets)
		}
	}
	return services
}

// changedServices returns the services of those requests whose services differ between two configurations, the earlier and the
// later ones.
func changedServices(previous, next *route.Configuration) (services []string) {
	if previous == nil {
		return nil
	}
	return appendMissing(servicesThatDiffer(previous, next), servicesThatDiffer(next, previous))
}

// servicesThatDiffer compares the services of each route of a configuration with those that the other one has for its host and path.
func servicesThatDiffer(from, to *route.Configuration) (services []string) {
	sameKey := resumableByKey(to)
	for one := range from.ResumableRoutes() {
		other, found := sameKey[keyOfRoute(one)]
		if !found {
			other = to.Match(one.Host, one.PathPrefix)
		}
		if other == nil || !other.HasResumableStreams() {
			continue
		}
		if all := appendMissing(one.TargetServices(), other.TargetServices()); len(all) > 1 {
			services = appendMissing(services, all)
		}
	}
	return services
}

// routeKey identifies a route in a configuration.
type routeKey struct{ host, pathPrefix string }

func keyOfRoute(one *route.Route) routeKey {
	return routeKey{strings.ToLower(one.Host), one.PathPrefix}
}

// resumableByKey returns the routes with resumable streams by their keys, since a search by Match goes through all routes of a host.
func resumableByKey(configuration *route.Configuration) map[routeKey]*route.Route {
	routes := map[routeKey]*route.Route{}
	for one := range configuration.ResumableRoutes() {
		routes[keyOfRoute(one)] = one
	}
	return routes
}

// appendMissing appends the names that are not in a list.
func appendMissing(names, more []string) []string {
	for _, name := range more {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
