package workload

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Spec is one workload file.
type Spec struct {
	Name  string `yaml:"name" validate:"required"`
	Title string `yaml:"title"`
	// Duration is how long programs arrive; those under way then still end.
	Duration  time.Duration `yaml:"duration" validate:"gt=0"`
	Cluster   Cluster       `yaml:"cluster"`
	Tenants   []Tenant      `yaml:"tenants" validate:"required,min=1,unique=Name,dive"`
	Templates []Template    `yaml:"templates" validate:"required,min=1,unique=Name,dive"`
	Arrivals  []Arrival     `yaml:"arrivals" validate:"required,min=1,dive"`
	Faults    []Fault       `yaml:"faults" validate:"dive"`
}

// Cluster describes the machines. A load client ignores it.
type Cluster struct {
	Zones []Zone `yaml:"zones" validate:"required,min=1,unique=Name,dive"`
	// BetweenZones and ToClients are one-way latencies; WithinZone is too.
	BetweenZones time.Duration `yaml:"between_zones" validate:"gte=0"`
	WithinZone   time.Duration `yaml:"within_zone" validate:"gte=0"`
	ToClients    time.Duration `yaml:"to_clients" validate:"gte=0"`
	Engine       Engine        `yaml:"engine"`
}

// Zone holds workers.
type Zone struct {
	Name    string `yaml:"name" validate:"required"`
	Workers int    `yaml:"workers" validate:"min=1"`
}

// Engine overrides parts of the engine model; zero fields take its defaults.
type Engine struct {
	MemoryTokens            int           `yaml:"memory_tokens" validate:"gte=0"`
	MaxSequences            int           `yaml:"max_sequences" validate:"gte=0"`
	PrefillTokensPerSecond  float64       `yaml:"prefill_tokens_per_second" validate:"gte=0"`
	StepBase                time.Duration `yaml:"step_base" validate:"gte=0"`
	TransferTokensPerSecond float64       `yaml:"transfer_tokens_per_second" validate:"gte=0"`
}

// Tenant is one tenant of a workload.
type Tenant struct {
	Name     id.Tenant `yaml:"name" validate:"required"`
	Priority int       `yaml:"priority" validate:"min=0,max=9"`
	// Misbehaving tenants load the system, but their own latencies are left out
	// of the headline figures.
	Misbehaving bool `yaml:"misbehaving"`
}

// Template is a kind of program.
type Template struct {
	Name id.Template `yaml:"name" validate:"required"`
	// SystemTokens is the length of the prompt that all its programs share.
	SystemTokens int `yaml:"system_tokens" validate:"min=5"`
	// TenantTokens is the length of what all programs of one tenant share after it.
	TenantTokens int          `yaml:"tenant_tokens" validate:"omitempty,min=5"`
	Turns        Distribution `yaml:"turns"`
	PromptTokens Distribution `yaml:"prompt_tokens"` // new ones in each turn
	OutputTokens Distribution `yaml:"output_tokens"`
	// PauseSeconds is how long tools take between an answer and the next call.
	PauseSeconds Distribution `yaml:"pause_seconds"`
	// HintError is the sigma of the lognormal error of the caller's hint of a
	// pause; negative means that callers give no hints.
	HintError float64   `yaml:"hint_error"`
	SubAgents SubAgents `yaml:"sub_agents"`
	// Deadline of a program after its arrival; zero means none.
	Deadline time.Duration `yaml:"deadline" validate:"gte=0"`
}

// SubAgents describes the sub-agents that a turn may start instead of a tool
// pause; the program goes on when all of them are done.
type SubAgents struct {
	Template id.Template  `yaml:"template"`
	Chance   float64      `yaml:"chance" validate:"gte=0,lte=1"` // per turn
	Count    Distribution `yaml:"count"`
}

// Arrival is a stream of programs of one tenant and one template.
type Arrival struct {
	Tenant   id.Tenant   `yaml:"tenant" validate:"required"`
	Template id.Template `yaml:"template" validate:"required"`
	// Rate is the mean of a Poisson process, in programs a second.
	Rate   float64 `yaml:"rate" validate:"gte=0"`
	Phases []Phase `yaml:"phases" validate:"dive"`
	Burst  Burst   `yaml:"burst"`
	// Zone is where the callers are; empty means all zones alike.
	Zone string `yaml:"zone"`
}

// Phase multiplies an arrival's rate for a time. Phases multiply each other.
type Phase struct {
	From   time.Duration `yaml:"from" validate:"gte=0"`
	To     time.Duration `yaml:"to" validate:"gtfield=From"`
	Factor float64       `yaml:"factor" validate:"gte=0"`
}

// Burst adds groups of programs that arrive almost together.
type Burst struct {
	Every  time.Duration `yaml:"every" validate:"gte=0"` // zero: no bursts
	Size   int           `yaml:"size" validate:"gte=0"`
	Spread time.Duration `yaml:"spread" validate:"gte=0"`
}

// FaultKind says what happens to workers.
type FaultKind string

// The kinds of faults.
const (
	Slow  FaultKind = "slow"  // the engine runs at Factor of its speed
	Stall FaultKind = "stall" // the engine stands still
	Crash FaultKind = "crash" // the engine loses everything and refuses work
)

// Fault befalls one worker, or all workers of a zone, for a time.
type Fault struct {
	At     time.Duration `yaml:"at" validate:"gte=0"`
	For    time.Duration `yaml:"for" validate:"gt=0"`
	Kind   FaultKind     `yaml:"kind" validate:"oneof=slow stall crash"`
	Zone   string        `yaml:"zone" validate:"required"`
	Worker int           `yaml:"worker" validate:"gte=0"` // from 1 within the zone; 0: all of them
	Factor float64       `yaml:"factor" validate:"gte=0"` // of slow
}

// Load reads and checks a workload file. Unknown keys are refused.
func Load(path string) (*Spec, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read workload %s", path)
	}
	return Parse(content)
}

// LoadDirectory reads all workload files (*.yaml) of a directory, by name.
func LoadDirectory(directory string) ([]*Spec, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.yaml"))
	if err != nil {
		return nil, eris.Wrapf(err, "list workloads in %s", directory)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("no workload files (*.yaml) in %s; name a directory such as experiments", directory)
	}
	var specs []*Spec
	for _, path := range paths {
		spec, err := Load(path)
		if err != nil {
			return nil, eris.Wrap(err, path)
		}
		specs = append(specs, spec)
	}
	return specs, nil
}

// Parse reads and checks a workload.
func Parse(content []byte) (*Spec, error) {
	spec := &Spec{}
	check := validator.New(validator.WithRequiredStructEnabled())
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict(), yaml.Validator(check))
	if err := decoder.Decode(spec); err != nil {
		return nil, eris.Wrap(err, "parse workload; see docs/experiments for the keys")
	}
	return spec, spec.checkNames()
}

// checkNames finds references to tenants, templates and zones that do not exist.
func (s *Spec) checkNames() error {
	for i, arrival := range s.Arrivals {
		if _, ok := s.tenant(arrival.Tenant); !ok {
			return fmt.Errorf("arrivals[%d]: unknown tenant %q; add it to tenants", i, arrival.Tenant)
		}
		if _, ok := s.template(arrival.Template); !ok {
			return fmt.Errorf("arrivals[%d]: unknown template %q; add it to templates", i, arrival.Template)
		}
		if arrival.Zone != "" && !s.hasZone(arrival.Zone, 0) {
			return fmt.Errorf("arrivals[%d]: unknown zone %q; add it to cluster.zones", i, arrival.Zone)
		}
	}
	for _, template := range s.Templates {
		sub := template.SubAgents
		if sub.Chance == 0 {
			continue
		}
		nested, ok := s.template(sub.Template)
		if !ok || nested.SubAgents.Chance > 0 {
			return fmt.Errorf("template %q: sub_agents.template %q must exist and have no sub-agents itself", template.Name, sub.Template)
		}
	}
	for i, fault := range s.Faults {
		if !s.hasZone(fault.Zone, fault.Worker) {
			return fmt.Errorf("faults[%d]: no worker %d in zone %q; see cluster.zones", i, fault.Worker, fault.Zone)
		}
	}
	return nil
}

func (s *Spec) tenant(name id.Tenant) (Tenant, bool) {
	for _, tenant := range s.Tenants {
		if tenant.Name == name {
			return tenant, true
		}
	}
	return Tenant{}, false
}

func (s *Spec) template(name id.Template) (Template, bool) {
	for _, template := range s.Templates {
		if template.Name == name {
			return template, true
		}
	}
	return Template{}, false
}

func (s *Spec) hasZone(name string, worker int) bool {
	for _, zone := range s.Cluster.Zones {
		if zone.Name == name {
			return worker <= zone.Workers
		}
	}
	return false
}
