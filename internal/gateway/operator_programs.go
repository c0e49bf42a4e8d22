package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

const (
	endedByOperator = "ended by operator"
	defaultListing  = 100
	maxListing      = 10_000
	// listTimeout bounds the wait for one node's programs.
	listTimeout = 2 * time.Second
	// listParallel bounds how many nodes are asked at once.
	listParallel = 16
)

// listPrograms answers GET /v1/operator/programs.
func (g *Gateway) listPrograms(w http.ResponseWriter, r *http.Request) {
	request := dispatch.ListRequest{
		Tenant: id.Tenant(r.URL.Query().Get("tenant")),
		Limit:  limitOf(r, defaultListing, maxListing),
	}
	writeJSON(w, http.StatusOK, g.collectPrograms(r.Context(), request))
}

// collectPrograms asks every node for the programs that it leads.
func (g *Gateway) collectPrograms(ctx context.Context, request dispatch.ListRequest) wire.ProgramList {
	var (
		mutex   sync.Mutex
		found   = map[id.Program]dispatch.Program{}
		missing []string
		group   errgroup.Group
	)
	group.SetLimit(listParallel)
	for _, m := range g.options.Members().Members {
		group.Go(func() error {
			list, err := g.programsOf(ctx, m, request)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				missing = append(missing, string(m.Node))
			}
			for _, program := range list.Programs {
				found[program.Program] = program
			}
			return nil
		})
	}
	_ = group.Wait()
	return sortedPrograms(found, missing, request.Limit)
}

func (g *Gateway) programsOf(ctx context.Context, m member.Member, request dispatch.ListRequest) (dispatch.ProgramList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return peer.Invoke[dispatch.ProgramList](ctx, g.options.Transport, m.Address, dispatch.MethodList, request)
}

// sortedPrograms puts the newest first.
func sortedPrograms(found map[id.Program]dispatch.Program, missing []string, limit int) wire.ProgramList {
	list := wire.ProgramList{Programs: []wire.Program{}, Missing: missing}
	for _, program := range found {
		list.Programs = append(list.Programs, wire.FromProgram(program))
	}
	slices.SortFunc(list.Programs, func(a, b wire.Program) int {
		if order := b.Created.Compare(a.Created); order != 0 {
			return order
		}
		return strings.Compare(a.ID, b.ID)
	})
	slices.Sort(list.Missing)
	list.Programs = list.Programs[:min(limit, len(list.Programs))]
	return list
}

// showAnyProgram answers GET /v1/operator/programs/{program}.
func (g *Gateway) showAnyProgram(w http.ResponseWriter, r *http.Request) {
	shown, err := g.show(r.Context(), programOf(r), "")
	if err != nil {
		g.fail(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, wire.FromProgram(shown))
}

// endAnyProgram answers DELETE /v1/operator/programs/{program}.
func (g *Gateway) endAnyProgram(w http.ResponseWriter, r *http.Request) {
	g.end(w, r, dispatch.EndRequest{Program: programOf(r), Reason: endedByOperator})
}

var stateNames = map[member.State]string{
	member.Alive: "alive", member.Leaving: "leaving", member.Suspect: "suspect", member.Dead: "dead",
}

// listNodes answers GET /v1/operator/nodes.
func (g *Gateway) listNodes(w http.ResponseWriter, _ *http.Request) {
	list := wire.NodeList{Nodes: []wire.Node{}}
	for _, m := range g.options.Members().Members {
		list.Nodes = append(list.Nodes, wire.Node{
			Node: string(m.Node), Address: string(m.Address), Public: m.Public,
			Zone: m.Zone, Region: m.Region, State: stateNames[m.State],
		})
	}
	writeJSON(w, http.StatusOK, list)
}
