package load

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/client"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

// The defaults of Options.
const (
	DefaultMaxPrograms = 1000
	DefaultMaxActive   = 2000
	DefaultMaxDuration = 2 * time.Minute
	// DefaultAttempts is more patient than a client's own: refusals that say when
	// to come back are counted, and should not end a program.
	DefaultAttempts = 20
)

// Target is a cluster under load.
type Target struct {
	Name      string   // of the policy or build, in the report
	Addresses []string // of the nodes' public listeners
	// Records says what the engines truly ran; nil: answers are not checked
	// against it.
	Records Records
	// Prepare is called before each seed's run, for example to choose a policy;
	// it may be nil.
	Prepare func(ctx context.Context) error
	Actions []Action // done while the target is under load
}

// Options configure a run. Zero numbers take the defaults.
type Options struct {
	Spec    *workload.Spec
	Seeds   []uint64 // none: 1
	Targets []Target // the first one is what the others are compared with
	Keys    map[id.Tenant]string
	Models  map[id.Template]id.Model // none: the templates' own defaults
	// Speed divides arrival times, pauses and deadlines; zero: 1.
	Speed float64
	// NonRepeatable is the share of calls that are sent as not repeatable.
	NonRepeatable float64

	Attempts    int           // of one request; zero: DefaultAttempts
	MaxPrograms int           // of each seed at each target, sub-agents not counted
	MaxActive   int           // programs under way at once
	MaxDuration time.Duration // of each seed at each target
	HTTP        *http.Client  // nil: one with enough idle connections
	Progress    func(Progress)
	Log         log.Interface
}

// Progress is told about once a second.
type Progress struct {
	Target   string
	Seed     uint64
	Programs int // started so far
	Finished int
	Failed   int
	Calls    int
}

const progressInterval = time.Second

func (o *Options) fill() error {
	if o.Spec == nil || len(o.Targets) == 0 {
		return eris.New("nothing to run; give a workload file and at least one target")
	}
	for _, target := range o.Targets {
		if len(target.Addresses) == 0 {
			return eris.Errorf("target %q has no addresses; give the nodes' public listeners", target.Name)
		}
	}
	for _, tenant := range o.Spec.Tenants {
		if o.Keys[tenant.Name] == "" {
			return eris.Errorf("no key for tenant %q of the workload; give its caller key", tenant.Name)
		}
	}
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1}
	}
	if o.Speed <= 0 {
		o.Speed = 1
	}
	if o.Attempts <= 0 {
		o.Attempts = DefaultAttempts
	}
	if o.MaxPrograms <= 0 {
		o.MaxPrograms = DefaultMaxPrograms
	}
	if o.MaxActive <= 0 {
		o.MaxActive = DefaultMaxActive
	}
	if o.MaxDuration <= 0 {
		o.MaxDuration = DefaultMaxDuration
	}
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.MaxActive, MaxIdleConns: 0}}
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	return nil
}

// Run runs every seed at every target and reports. Targets take turns within a
// seed, so that a drift of the machine meets all of them alike.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.fill(); err != nil {
		return nil, err
	}
	measures := make([]*measure, len(options.Targets))
	for i := range measures {
		measures[i] = newMeasure()
	}
	for _, seed := range options.Seeds {
		scripts := workload.Generate(options.Spec, seed)
		scripts = scripts[:min(len(scripts), options.MaxPrograms)]
		for i, target := range options.Targets {
			if err := runOne(ctx, &options, target, seed, scripts, measures[i]); err != nil {
				return nil, eris.Wrapf(err, "target %s, seed %d", target.Name, seed)
			}
		}
	}
	return newReport(options, measures), nil
}

// runOne runs one seed at one target.
func runOne(ctx context.Context, options *Options, target Target, seed uint64, scripts []workload.ProgramScript, into *measure) error {
	if target.Prepare != nil {
		if err := target.Prepare(ctx); err != nil {
			return eris.Wrap(err, "prepare")
		}
	}
	before, err := wasteOf(ctx, target.Records)
	if err != nil {
		return err
	}
	clients, err := clientsOf(options, target, into)
	if err != nil {
		return err
	}
	r := &runner{options: options, clients: clients, measure: into, run: uuid.NewString(), places: make(chan struct{}, options.MaxActive)}
	stop := r.report(target.Name, seed)
	began := time.Now()
	calls := r.play(ctx, scripts, target.Actions)
	into.took += time.Since(began)
	stop()
	if target.Records == nil {
		return nil
	}
	return settle(ctx, target.Records, before, calls, into)
}

// clientsOf makes a client for each tenant and node. Each begins at its own
// node, so that the nodes share the callers.
func clientsOf(options *Options, target Target, into *measure) (map[id.Tenant][]*client.Client, error) {
	clients := map[id.Tenant][]*client.Client{}
	for _, tenant := range options.Spec.Tenants {
		for first := range target.Addresses {
			made, err := client.New(client.Options{
				Addresses: append(slices.Clone(target.Addresses[first:]), target.Addresses[:first]...),
				Key:       options.Keys[tenant.Name],
				HTTP:      options.HTTP,
				Attempts:  options.Attempts,
				Observe:   into.refused,
			})
			if err != nil {
				return nil, err
			}
			clients[tenant.Name] = append(clients[tenant.Name], made)
		}
	}
	return clients, nil
}

// settle checks the calls against the engines' records and adds the waste.
func settle(ctx context.Context, records Records, before Waste, calls []call, into *measure) error {
	runs, err := records.Runs(ctx)
	if err != nil {
		return eris.Wrap(err, "read the engines' records")
	}
	for _, violation := range checkCalls(calls, runs, records.Answer) {
		into.violate(violation)
	}
	into.checked += len(calls)
	after, err := wasteOf(ctx, records)
	if err != nil {
		return err
	}
	waste := after.minus(before)
	if waste.Known {
		waste.Inherent = inherentOf(calls)
	}
	into.waste = into.waste.plus(waste)
	return nil
}
