package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/placement"
	"github.com/cloverwheel/cloverwheel/internal/worker"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

const (
	modelName id.Model = "agent-model"
	// failureDetection is how long it takes until a dead machine is known as such.
	failureDetection = time.Second
	// horizonFactor bounds a run, as a multiple of the time of arrivals.
	horizonFactor = 5
)

// simulation is one run of one workload under one policy with one seed.
type simulation struct {
	clock     *clock
	network   network
	spec      *workload.Spec
	policy    Policy
	random    *rand.Rand
	backends  []*backend
	byName    map[id.Worker]*backend
	names     []id.Worker
	zoneDown  map[string]bool
	images    map[string]enginemodel.Image
	imageKeys map[id.Program]string
	exports   int
	stored    int // tokens of images
	decisions uint64
	history   *history
	alive     int // root programs under way
	result    *Result
}

// simulate runs the scripts under the policy.
func simulate(spec *workload.Spec, scripts []workload.ProgramScript, policy Policy, seed uint64) *Result {
	s := newSimulation(spec, policy, seed)
	s.run(scripts)
	return s.result
}

func (s *simulation) run(scripts []workload.ProgramScript) {
	for i := range scripts {
		s.clock.at(epoch.Add(scripts[i].Arrival), func() { s.startRoot(&scripts[i]) })
	}
	s.scheduleFaults()
	horizon := horizonFactor * s.spec.Duration
	s.alive = len(scripts)
	for s.alive > 0 && s.clock.elapsed() < horizon && s.clock.step() {
	}
	s.conclude()
}

func newSimulation(spec *workload.Spec, policy Policy, seed uint64) *simulation {
	s := &simulation{
		clock:     newClock(),
		network:   network{cluster: &spec.Cluster},
		spec:      spec,
		policy:    policy,
		random:    rand.New(rand.NewPCG(seed, xxhash.Sum64String(spec.Name))),
		byName:    map[id.Worker]*backend{},
		zoneDown:  map[string]bool{},
		images:    map[string]enginemodel.Image{},
		imageKeys: map[id.Program]string{},
		history:   newHistory(),
		result:    newResult(spec.Name, policy.Name, seed),
	}
	for _, zone := range spec.Cluster.Zones {
		for i := range zone.Workers {
			s.addBackend(zone.Name, i+1)
		}
	}
	return s
}

func (s *simulation) addBackend(zone string, number int) {
	b := &backend{
		simulation: s,
		name:       workerName(zone, number),
		zone:       zone,
		engine:     enginemodel.New(engineOptions(s.spec.Cluster.Engine)),
		jobs:       map[id.Request]*attempt{},
	}
	b.owner = s.newOwner(b)
	s.backends = append(s.backends, b)
	s.byName[b.name] = b
	s.names = append(s.names, b.name)
	// Owners do not beat in step.
	offset := time.Duration(len(s.backends)) * 7 * time.Millisecond
	s.clock.after(offset, b.heartbeat)
	s.clock.after(offset, b.report)
}

func workerName(zone string, number int) id.Worker {
	return id.Worker(fmt.Sprintf("%s-%d", zone, number))
}

func engineOptions(e workload.Engine) enginemodel.Options {
	return enginemodel.Options{
		MemoryTokens:            e.MemoryTokens,
		MaxSequences:            e.MaxSequences,
		PrefillTokensPerSecond:  e.PrefillTokensPerSecond,
		StepBase:                e.StepBase,
		TransferTokensPerSecond: e.TransferTokensPerSecond,
		Model:                   modelName,
	}
}

func (s *simulation) newOwner(b *backend) owner {
	if s.policy.EngineQueue {
		return &passThrough{worker: b.name, zone: b.zone, jobs: map[id.Request]bool{}}
	}
	return worker.NewCore(worker.CoreOptions{
		Worker:       b.name,
		Zone:         b.zone,
		Models:       []id.Model{modelName},
		Admission:    s.policy.Admission,
		Cache:        s.policy.Cache,
		MemoryTokens: b.engine.Load().MemoryTokens,
		Ready:        true,
	})
}

func (s *simulation) backend(name id.Worker) *backend { return s.byName[name] }

// startRoot starts a program that a caller makes.
func (s *simulation) startRoot(script *workload.ProgramScript) {
	s.result.Programs = append(s.result.Programs, Program{
		Tenant:      script.Tenant,
		Template:    script.Template,
		Misbehaving: script.Misbehaving,
		Started:     s.clock.elapsed(),
		Ideal:       idealLatency(script, engineOptions(s.spec.Cluster.Engine)),
	})
	t := &tree{started: s.clock.now}
	index := len(s.result.Programs) - 1
	t.result = &Program{}
	if script.Deadline > 0 {
		t.deadline = s.clock.now.Add(script.Deadline)
	}
	p := s.newProgram(script, t)
	p.onEnd = func() {
		ended := &s.result.Programs[index]
		ended.Finished = true
		ended.Latency = s.clock.now.Sub(t.started)
		ended.Tokens = t.result.Tokens
		s.history.add(script.Template, t.attained)
		s.alive--
	}
	p.begin()
}

func (s *simulation) newProgram(script *workload.ProgramScript, t *tree) *program {
	return &program{simulation: s, script: script, tree: t}
}

// leaderZone is where the shard of a program is led.
func (s *simulation) leaderZone(script *workload.ProgramScript) string {
	zones := s.spec.Cluster.Zones
	start := int(xxhash.Sum64String(string(script.Program.Root())) % uint64(len(zones)))
	for i := range zones {
		if name := zones[(start+i)%len(zones)].Name; !s.zoneDown[name] {
			return name
		}
	}
	return zones[start].Name
}

// usable are the workers that are not known to be dead.
func (s *simulation) usable() []id.Worker {
	usable := make([]id.Worker, 0, len(s.names))
	for _, b := range s.backends {
		if !b.knownDead() {
			usable = append(usable, b.name)
		}
	}
	return usable
}

func (b *backend) knownDead() bool {
	return b.down && b.now().Sub(b.downSince) >= failureDetection
}

// candidates are the workers that the policy looks at for a call.
func (s *simulation) candidates(c *call) []*backend {
	usable := s.usable()
	names := usable
	if _, all := s.policy.Place.Probes(); !all {
		shared := id.Rank(string(c.program.script.Template), usable)
		names = placement.Shortlist(s.homeIfUsable(c), shared, usable, c.exclude, s.random)
	}
	found := make([]*backend, 0, len(names))
	for _, name := range names {
		found = append(found, s.byName[name])
	}
	return found
}

func (s *simulation) homeIfUsable(c *call) id.Worker {
	home := c.program.home
	if home == "" || s.byName[home].knownDead() {
		return ""
	}
	return home
}

// unprobed are candidates of which only the names count.
func (s *simulation) unprobed(workers []*backend, zone string) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(workers))
	for _, b := range workers {
		named := worker.Estimate{Worker: b.name, Zone: b.zone, Healthy: true, ModelLoaded: true}
		candidates = append(candidates, worker.CandidateOf(named, distance(zone, b.zone)))
	}
	return candidates
}

// probe asks the owners of workers; a dead owner does not answer.
func (s *simulation) probe(c *call, workers []*backend, zone string) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(workers))
	c.exported = worker.Import{}
	query := worker.ProbeRequest{
		Program:   c.program.script.Program,
		Model:     modelName,
		Prefix:    c.prefix,
		MaxTokens: c.turn().MaxTokens,
		Profile:   c.profile(),
	}
	for _, b := range workers {
		if b.ownerDown {
			continue
		}
		query.Worker = b.name
		estimate := b.owner.Probe(s.clock.now, query)
		if estimate.Exported.Tokens > c.exported.Tokens {
			c.exported = estimate.Exported
		}
		candidates = append(candidates, worker.CandidateOf(estimate, distance(zone, b.zone)))
	}
	return candidates
}

func distance(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}
