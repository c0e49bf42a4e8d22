package worker

import (
	"cmp"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
)

// Peer methods that the nodes of the directory serve.
const (
	MethodCatalog = "worker.catalog" // CatalogRequest → CatalogAnswer
	MethodLocate  = "worker.locate"  // LocateRequest → outside.Machine
	MethodTable   = "worker.table"   // TableRequest → Table
)

// directorySize is how many nodes read the machine list; all others ask them.
const directorySize = 3

// servingSample is how many workers of a model a node knows at most.
const servingSample = 32

// CatalogRequest asks for what one node needs to know of the workers.
type CatalogRequest struct {
	Node   id.Node
	Owned  uint64     // digest of the owned workers that it knows
	Models []id.Model // of which it wants a sample of the workers
}

// CatalogAnswer answers a CatalogRequest.
type CatalogAnswer struct {
	Digest  uint64 // of Owned
	Changed bool   // Owned is filled in
	Owned   []outside.Machine
	Serving []ServingSample
}

// ServingSample is some of the workers that can serve a model, chosen at random.
type ServingSample struct {
	Model   id.Model
	Workers []outside.Machine
}

// LocateRequest asks for one worker.
type LocateRequest struct{ Worker id.Worker }

// TableRequest asks for the whole list; only nodes of the directory do so, when
// they are new and the platform does not answer.
type TableRequest struct{}

// Table is the whole list of workers.
type Table struct{ Machines []outside.Machine }

// DirectoryOf returns the nodes that read the machine list: the best ranked
// usable ones by rendezvous hashing, out of different zones where there are any.
func DirectoryOf(view *member.View) []member.Member {
	var ranked []member.Member
	for _, m := range view.Members {
		if m.Usable() {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(a, b member.Member) int {
		return cmp.Compare(id.Score("worker-directory", string(b.Node)), id.Score("worker-directory", string(a.Node)))
	})
	return spreadOverZones(ranked, directorySize)
}

// spreadOverZones takes the first node of each zone, then the first of the rest.
func spreadOverZones(ranked []member.Member, count int) []member.Member {
	var chosen, rest []member.Member
	for _, m := range ranked {
		taken := slices.ContainsFunc(chosen, func(other member.Member) bool { return other.Zone == m.Zone })
		if taken || len(chosen) == count {
			rest = append(rest, m)
			continue
		}
		chosen = append(chosen, m)
	}
	return append(chosen, rest[:min(len(rest), count-len(chosen))]...)
}

// directory is the whole list of workers, indexed for the questions of other nodes.
type directory struct {
	mutex    sync.Mutex
	known    bool
	machines []outside.Machine // sorted by name
	byName   map[id.Worker]int
	byModel  map[id.Model][]int // of those that take new work
	view     *member.View       // that owned was worked out for
	owned    map[id.Node][]outside.Machine
}

// set replaces the list.
func (d *directory) set(machines []outside.Machine) {
	machines = slices.Clone(machines)
	slices.SortFunc(machines, func(a, b outside.Machine) int { return cmp.Compare(a.ID, b.ID) })
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.known && digestOf(machines) == digestOf(d.machines) {
		return
	}
	d.known = true
	d.machines = machines
	d.byName = make(map[id.Worker]int, len(machines))
	d.byModel = map[id.Model][]int{}
	d.view = nil
	for index, machine := range machines {
		d.byName[id.Worker(machine.ID)] = index
		if machine.Gone || machine.Leaving {
			continue
		}
		for _, model := range machine.Models {
			d.byModel[model] = append(d.byModel[model], index)
		}
	}
}

func (d *directory) ready() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known
}

// answer fills in a CatalogAnswer, as seen from a view.
func (d *directory) answer(view *member.View, request CatalogRequest) (CatalogAnswer, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.known {
		return CatalogAnswer{}, notYetRead()
	}
	d.assign(view)
	owned := d.owned[request.Node]
	answer := CatalogAnswer{Digest: digestOf(owned)}
	if answer.Digest != request.Owned {
		answer.Changed = true
		answer.Owned = owned
	}
	for _, model := range request.Models {
		answer.Serving = append(answer.Serving, ServingSample{Model: model, Workers: d.sample(model)})
	}
	return answer, nil
}

func notYetRead() *fault.Error {
	return fault.New(fault.Unavailable, "the machine list has not been read yet", "ask another node")
}

// assign works out which node owns which worker, once for each view.
func (d *directory) assign(view *member.View) {
	if d.view == view {
		return
	}
	d.view = view
	d.owned = map[id.Node][]outside.Machine{}
	for _, machine := range d.machines {
		if machine.Gone {
			continue
		}
		if owner, ok := OwnerOf(view, id.Worker(machine.ID), machine.Zone, machine.Region); ok {
			d.owned[owner.Node] = append(d.owned[owner.Node], machine)
		}
	}
}

// sample chooses some of a model's workers.
func (d *directory) sample(model id.Model) []outside.Machine {
	serving := d.byModel[model]
	count := min(len(serving), servingSample)
	chosen := make([]outside.Machine, 0, count)
	for _, at := range rand.Perm(len(serving))[:count] {
		chosen = append(chosen, d.machines[serving[at]])
	}
	return chosen
}

func (d *directory) locate(worker id.Worker) (outside.Machine, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.known {
		return outside.Machine{}, notYetRead()
	}
	index, ok := d.byName[worker]
	if !ok {
		return outside.Machine{}, fault.Newf(fault.NotFound, "place the call elsewhere", "there is no worker %s", worker)
	}
	return d.machines[index], nil
}

func (d *directory) table() (Table, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.known {
		return Table{}, notYetRead()
	}
	return Table{Machines: d.machines}, nil
}

// digestOf tells lists of machines apart.
func digestOf(machines []outside.Machine) uint64 {
	digest := xxhash.New()
	field := func(text string) {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
		_, _ = digest.Write(size[:])
		_, _ = digest.WriteString(text)
	}
	flag := func(on bool) {
		if on {
			field("yes")
		} else {
			field("no")
		}
	}
	for _, machine := range machines {
		field(machine.ID)
		field(machine.Address)
		field(machine.Zone)
		field(machine.Region)
		flag(machine.Leaving)
		flag(machine.Gone)
		for _, model := range machine.Models {
			field(string(model))
		}
	}
	return digest.Sum64()
}

// handleCatalog, handleLocate and handleTable serve other nodes.
func (c *Catalog) handleCatalog(_ context.Context, request CatalogRequest) (CatalogAnswer, error) {
	return c.directory.answer(c.options.View(), request)
}

func (c *Catalog) handleLocate(_ context.Context, request LocateRequest) (outside.Machine, error) {
	return c.directory.locate(request.Worker)
}

func (c *Catalog) handleTable(context.Context, TableRequest) (Table, error) {
	return c.directory.table()
}
