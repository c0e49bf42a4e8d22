package workload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// outputAllowance is how much more output a caller allows than the model gives.
const outputAllowance = 2

// Generate returns the programs of a run, in order of arrival. It depends on
// nothing but the spec and the seed.
func Generate(spec *Spec, seed uint64) []ProgramScript {
	var programs []ProgramScript
	for number, arrival := range spec.Arrivals {
		name := fmt.Sprintf("%s-%s-%d", arrival.Tenant, arrival.Template, number)
		for i, at := range arrivalTimes(spec, arrival, stream(seed, name)) {
			program := fmt.Sprintf("p-%s-%d", name, i)
			programs = append(programs, newProgram(spec, arrival, seed, program, at))
		}
	}
	slices.SortStableFunc(programs, func(a, b ProgramScript) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return programs
}

func newProgram(spec *Spec, arrival Arrival, seed uint64, name string, at time.Duration) ProgramScript {
	random := stream(seed, name)
	tenant, _ := spec.tenant(arrival.Tenant)
	template, _ := spec.template(arrival.Template)
	zone := arrival.Zone
	if zone == "" {
		zone = spec.Cluster.Zones[random.IntN(len(spec.Cluster.Zones))].Name
	}
	program := ProgramScript{
		Program:     id.Program(name),
		Arrival:     at,
		Zone:        zone,
		Deadline:    template.Deadline,
		Misbehaving: tenant.Misbehaving,
	}
	fill(&program, spec, tenant, template, random)
	return program
}

// fill writes a program's texts and turns.
func fill(program *ProgramScript, spec *Spec, tenant Tenant, template Template, random *rand.Rand) {
	program.Tenant = tenant.Name
	program.Template = template.Name
	program.Priority = tenant.Priority
	program.System = systemTexts(tenant, template)
	turns := template.Turns.count(random, 1)
	for turn := range turns {
		next := newTurn(template, random, turn)
		if turn == turns-1 {
			next.Pause, next.Hint = 0, 0
		} else if random.Float64() < template.SubAgents.Chance {
			next.SubAgents = subAgents(program, spec, tenant, template.SubAgents, random, turn)
		}
		program.Turns = append(program.Turns, next)
	}
}

func systemTexts(tenant Tenant, template Template) []Text {
	texts := []Text{{Role: chat.System, Tokens: template.SystemTokens, Seed: xxhash.Sum64String(string(template.Name))}}
	if template.TenantTokens > 0 {
		seed := xxhash.Sum64String(string(template.Name) + "/" + string(tenant.Name))
		texts = append(texts, Text{Role: chat.System, Tokens: template.TenantTokens, Seed: seed})
	}
	return texts
}

func newTurn(template Template, random *rand.Rand, turn int) Turn {
	role := chat.Tool
	if turn == 0 {
		role = chat.User
	}
	output := template.OutputTokens.count(random, 1)
	pause := template.PauseSeconds.Sample(random)
	next := Turn{
		Input:        []Text{{Role: role, Tokens: template.PromptTokens.count(random, MinimumTokens), Seed: random.Uint64()}},
		OutputTokens: output,
		MaxTokens:    output * outputAllowance,
		Pause:        seconds(pause),
	}
	hintError := math.Exp(random.NormFloat64() * math.Abs(template.HintError))
	if template.HintError >= 0 {
		next.Hint = seconds(pause * hintError)
	}
	return next
}

func subAgents(parent *ProgramScript, spec *Spec, tenant Tenant, plan SubAgents, random *rand.Rand, turn int) []ProgramScript {
	template, _ := spec.template(plan.Template)
	agents := make([]ProgramScript, plan.Count.count(random, 1))
	for i := range agents {
		agents[i].Program = parent.Program + id.Program(fmt.Sprintf(".%d-%d", turn, i))
		agents[i].Zone = parent.Zone
		agents[i].Misbehaving = parent.Misbehaving
		fill(&agents[i], spec, tenant, template, random)
	}
	return agents
}

// arrivalTimes draws a Poisson process by thinning and adds the bursts.
func arrivalTimes(spec *Spec, arrival Arrival, random *rand.Rand) []time.Duration {
	var times []time.Duration
	highest := arrival.Rate * highestFactor(arrival.Phases)
	for at := time.Duration(0); highest > 0; {
		at += seconds(random.ExpFloat64() / highest)
		if at >= spec.Duration {
			break
		}
		if random.Float64()*highest < arrival.Rate*factorAt(arrival.Phases, at) {
			times = append(times, at)
		}
	}
	if arrival.Burst.Every > 0 {
		times = append(times, burstTimes(spec, arrival.Burst, random)...)
	}
	slices.Sort(times)
	return times
}

func burstTimes(spec *Spec, burst Burst, random *rand.Rand) []time.Duration {
	var times []time.Duration
	for start := burst.Every; start < spec.Duration; start += burst.Every {
		for range burst.Size {
			times = append(times, start+time.Duration(random.Float64()*float64(burst.Spread)))
		}
	}
	return times
}

func factorAt(phases []Phase, at time.Duration) float64 {
	factor := 1.0
	for _, phase := range phases {
		if at >= phase.From && at < phase.To {
			factor *= phase.Factor
		}
	}
	return factor
}

// highestFactor bounds factorAt; the highest is reached where a phase starts
// or before all of them.
func highestFactor(phases []Phase) float64 {
	highest := factorAt(phases, 0)
	for _, phase := range phases {
		highest = max(highest, factorAt(phases, phase.From), factorAt(phases, phase.To))
	}
	return highest
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
