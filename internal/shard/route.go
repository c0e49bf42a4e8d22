package shard

import (
	"bytes"
	"cmp"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

const (
	// routeRepeats is how often a node passes on a route that is news to it.
	routeRepeats = 6
	// routeBytes estimates an encoded route, without its members.
	routeBytes = 96
	// routeOverhead estimates the fixed part of an encoded update.
	routeOverhead = 400
)

// routeBook knows the leaders of all shards, by position.
type routeBook struct {
	mutex  sync.RWMutex
	routes map[id.Shard]Route
	news   map[id.Shard]int // how often the route is still to be passed on
}

func newRouteBook() *routeBook {
	return &routeBook{routes: map[id.Shard]Route{}, news: map[id.Shard]int{}}
}

func (b *routeBook) get(shard id.Shard) (Route, bool) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	route, ok := b.routes[shard]
	return route, ok
}

// learn takes in a route unless a newer one is known.
func (b *routeBook) learn(route Route) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known, ok := b.routes[route.Shard]
	if ok && known.Position.Compare(route.Position) >= 0 {
		return
	}
	b.routes[route.Shard] = route
	b.news[route.Shard] = routeRepeats
}

// takeNews returns routes to be passed on, those passed on least first.
func (b *routeBook) takeNews(limit int) []Route {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	shards := make([]id.Shard, 0, len(b.news))
	for shard := range b.news {
		shards = append(shards, shard)
	}
	slices.SortFunc(shards, func(x, y id.Shard) int {
		return cmp.Or(cmp.Compare(b.news[y], b.news[x]), cmp.Compare(x, y))
	})
	var routes []Route
	for _, shard := range shards[:min(limit, len(shards))] {
		routes = append(routes, b.routes[shard])
		if b.news[shard]--; b.news[shard] <= 0 {
			delete(b.news, shard)
		}
	}
	return routes
}

// RouteRider spreads the routes of shards on membership messages.
type RouteRider struct{ host *Host }

var _ member.Rider = (*RouteRider)(nil)

// NewRouteRider returns the rider of host.
func NewRouteRider(host *Host) *RouteRider { return &RouteRider{host} }

// Collect implements member.Rider.
func (r *RouteRider) Collect(limit int) []byte {
	routes := r.host.routes.takeNews((limit - routeOverhead) / routeBytes)
	if len(routes) == 0 {
		return nil
	}
	for i := range routes {
		routes[i].Members = nil
	}
	for len(routes) > 0 {
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(routes); err != nil {
			return nil
		}
		if buffer.Len() <= limit {
			return buffer.Bytes()
		}
		routes = routes[:len(routes)/2] // long addresses; the others wait for their next turn
	}
	return nil
}

// Deliver implements member.Rider.
func (r *RouteRider) Deliver(payload []byte) {
	if len(payload) == 0 {
		return
	}
	var routes []Route
	if err := gob.NewDecoder(bytes.NewReader(payload)).Decode(&routes); err != nil {
		return
	}
	for _, route := range routes {
		if uint32(route.Shard) < r.host.options.Shards {
			r.host.routes.learn(route)
		}
	}
}

// methodRoutes asks a node for the routes that the asking one lacks.
const methodRoutes = "shard.routes"

type routesRequest struct{ Shards []id.Shard }

type routesAnswer struct{ Routes []Route }

func (h *Host) serveRoutes(_ context.Context, request routesRequest) (routesAnswer, error) {
	var answer routesAnswer
	for _, shard := range request.Shards {
		if route, ok := h.routes.get(shard); ok {
			answer.Routes = append(answer.Routes, route)
		}
	}
	return answer, nil
}

// pullRoutes asks one other node, chosen at random, for the shards without a
// known leader. A node that has just started finds them so.
func (h *Host) pullRoutes(ctx context.Context, view *member.View) {
	var unknown []id.Shard
	for number := range h.options.Shards {
		if shard := id.Shard(number); !h.hasLeader(shard, view) {
			unknown = append(unknown, shard)
		}
	}
	others := slices.DeleteFunc(slices.Clone(view.Members), func(m member.Member) bool {
		return m.Node == h.self.Node || m.State != member.Alive
	})
	if len(unknown) == 0 || len(others) == 0 {
		return
	}
	chosen := others[rand.IntN(len(others))]
	ctx, cancel := context.WithTimeout(ctx, h.options.ElectionTimeout)
	defer cancel()
	answer, err := peer.Invoke[routesAnswer](ctx, h.options.Transport, chosen.Address, methodRoutes, routesRequest{unknown})
	if err != nil {
		return
	}
	for _, route := range answer.Routes {
		h.routes.learn(route)
	}
}
