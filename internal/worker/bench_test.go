package worker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/placement"
)

// benchFleet is a fleet's catalog, and the Cores that a decision may probe: as
// many as fit in little memory stand for all, since no decision sees more.
type benchFleet struct {
	view    *member.View
	catalog *Catalog
	cores   []*Core
	homes   *recent[id.Program, id.Worker]
	total   int
}

const benchCores = 64

func newBenchFleet(nodes, workers, programs int) *benchFleet {
	fleet := &benchFleet{view: &member.View{}, homes: newRecent[id.Program, id.Worker](), total: programs}
	for index := range nodes {
		name := fmt.Sprintf("node-%d", index)
		fleet.view.Members = append(fleet.view.Members, member.Member{Node: id.Node(name), Address: peer.Address(name), Zone: fmt.Sprint(index % 8)})
	}
	fleet.catalog = NewCatalog(CatalogOptions{View: func() *member.View { return fleet.view }})
	var machines []outside.Machine
	for index := range workers {
		machines = append(machines, outside.Machine{ID: fmt.Sprintf("worker-%d", index), Zone: fmt.Sprint(index % 8), Models: []id.Model{"m"}})
	}
	fleet.catalog.directory.set(machines)
	for range min(benchCores, workers) {
		fleet.cores = append(fleet.cores, NewCore(CoreOptions{MemoryTokens: 400_000, Ready: true}))
	}
	each := max(programs/workers, 1)
	for index := range len(fleet.cores) * each {
		program := id.Program(fmt.Sprintf("p-%d", index))
		core := fleet.cores[index%len(fleet.cores)]
		core.Enqueue(epoch, jobOf(program, 2, 60, 200))
		core.Pause(epoch, PauseNotice{Program: program, Prefix: prefixOf(program, 60, 100), Expected: time.Second})
	}
	for index := range programs {
		fleet.homes.put(id.Program(fmt.Sprintf("p-%d", index)), id.Worker(machines[index%workers].ID))
	}
	return fleet
}

// decide places one call as a Placer does, without the messages between nodes.
func (f *benchFleet) decide(query ProbeRequest, random *rand.Rand) (placement.Decision, error) {
	home, _ := f.homes.get(query.Program)
	list := placement.Shortlist(home, nil, f.catalog.Serving(context.Background(), "m"), nil, random)
	candidates := make([]placement.Candidate, 0, len(list))
	for index, worker := range list {
		location, _ := f.catalog.Locate(context.Background(), worker)
		estimate := f.cores[(index*7+int(query.Prefix[1].Hash%31))%len(f.cores)].Probe(epoch, query)
		estimate.Worker = location.Worker
		candidates = append(candidates, CandidateOf(estimate, 0))
	}
	return placement.Choose(placement.Query{Home: home, Tokens: 6200}, candidates, placement.Policy{Name: placement.ExpectedCompletion}, random)
}

// BenchmarkDecision is a whole decision, three to five probes included: the
// shortlist, the owners' addresses, the estimates and the choice.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ nodes, workers, programs int }{{42, 760, 15_000}, {420, 7_600, 15_000}, {420, 7_600, 150_000}} {
		b.Run(fmt.Sprintf("nodes=%d/workers=%d/programs=%d", size.nodes, size.workers, size.programs), func(b *testing.B) {
			fleet := newBenchFleet(size.nodes, size.workers, size.programs)
			random := rand.New(rand.NewPCG(1, 1))
			queries := make([]ProbeRequest, 512)
			for index := range queries {
				program := id.Program(fmt.Sprintf("p-%d", index*size.programs/len(queries)))
				queries[index] = ProbeRequest{Program: program, Model: "m", Prefix: prefixOf(program, 60, 100), MaxTokens: 200}
			}
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				if _, err := fleet.decide(queries[index%len(queries)], random); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
