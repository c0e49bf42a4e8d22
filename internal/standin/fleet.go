package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
)

// DefaultHeartbeat is how often engines announce themselves.
const DefaultHeartbeat = time.Second

// EngineGroup describes equal engines.
type EngineGroup struct {
	Count    int
	Zones    []string // filled in turn
	Model    id.Model
	Adapters []id.Adapter // loaded from the start
	// Engine is the pattern; its Name, Store, Weights, Model.Model and
	// Model.Adapters are set by the fleet.
	Engine EngineOptions
}

// FleetOptions configure a fleet of stand-ins. The zero value starts the
// platform's services without any engines.
type FleetOptions struct {
	Engines   []EngineGroup
	Region    string
	Machines  MachinesOptions
	Heartbeat time.Duration // of engines; zero: DefaultHeartbeat
	// WeightPlaces is how many loads the weight store serves at once; zero: no limit.
	WeightPlaces int
	// Addresses to listen at; empty: free loopback ports.
	TableAddress, ObjectsAddress, MachinesAddress, ToolsAddress string
	Log                                                         log.Interface // nil: log.Log
}

// FleetEngine is one engine of a fleet.
type FleetEngine struct {
	*Engine
	Machine outside.Machine // as first announced; heartbeats name the models loaded since

	serverMutex sync.Mutex
	server      *Server
}

func (e *FleetEngine) close() error {
	e.serverMutex.Lock()
	defer e.serverMutex.Unlock()
	return e.server.Close()
}

// Fleet is a set of running stand-ins.
type Fleet struct {
	Table    *MemoryTable
	Objects  *MemoryObjects
	Machines *MemoryMachines
	Tools    *MemoryTools
	Contexts *MemoryObjects // exported context of all engines
	Engines  []*FleetEngine

	options  FleetOptions
	table    *Server
	objects  *Server
	machines *Server
	tools    *Server
	stop     context.CancelFunc
	group    *errgroup.Group
}

// NewFleet starts listening and registers the engines. Close ends the fleet.
func NewFleet(options FleetOptions) (*Fleet, error) {
	if options.Heartbeat == 0 {
		options.Heartbeat = DefaultHeartbeat
	}
	if options.Log == nil {
		options.Log = log.Log
	}
	f := &Fleet{
		Table:    NewMemoryTable(),
		Objects:  NewMemoryObjects(),
		Machines: NewMemoryMachines(options.Machines),
		Tools:    NewMemoryTools(),
		Contexts: NewMemoryObjects(),
		options:  options,
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.group, ctx = errgroup.WithContext(ctx)
	if err := f.listen(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) listen(ctx context.Context) error {
	services := []struct {
		name    string
		address string
		handler http.Handler
		server  **Server
	}{
		{"table", f.options.TableAddress, TableHandler(f.Table), &f.table},
		{"objects", f.options.ObjectsAddress, ObjectsHandler(f.Objects), &f.objects},
		{"machines", f.options.MachinesAddress, MachinesHandler(f.Machines), &f.machines},
		{"tools", f.options.ToolsAddress, ToolsHandler(f.Tools), &f.tools},
	}
	for _, service := range services {
		server, err := Serve(service.address, service.handler)
		if err != nil {
			return err
		}
		*service.server = server
		f.options.Log.WithFields(log.Fields{"service": service.name, "address": server.Address()}).Info("stand-in listens")
	}
	return f.startEngines(ctx)
}

func (f *Fleet) startEngines(ctx context.Context) error {
	var weights *WeightStore
	if f.options.WeightPlaces > 0 {
		weights = NewWeightStore(f.options.WeightPlaces)
	}
	for _, group := range f.options.Engines {
		for i := range group.Count {
			zone := ""
			if len(group.Zones) > 0 {
				zone = group.Zones[i%len(group.Zones)]
			}
			if err := f.startEngine(ctx, group, zone, weights); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngine(ctx context.Context, group EngineGroup, zone string, weights *WeightStore) error {
	options := group.Engine
	options.Name = fmt.Sprintf("engine-%d", len(f.Engines)+1)
	options.Model.Model = group.Model
	options.Model.Adapters = group.Adapters
	options.Store = f.Contexts
	options.Weights = weights
	e := NewEngine(options)
	server, err := Serve("", EngineHandler(e))
	if err != nil {
		return err
	}
	started := &FleetEngine{Engine: e, server: server, Machine: outside.Machine{
		ID:      options.Name,
		Kind:    outside.KindWorker,
		Address: server.Address(),
		Zone:    zone,
		Region:  f.options.Region,
		Models:  []id.Model{group.Model},
	}}
	f.Engines = append(f.Engines, started)
	if err := f.Machines.Register(ctx, started.Machine); err != nil {
		return err
	}
	f.group.Go(func() error { return e.Run(ctx) })
	f.group.Go(func() error { return f.announce(ctx, started) })
	f.options.Log.WithFields(log.Fields{
		"service": "engine", "worker": options.Name, "model": group.Model, "zone": zone, "address": server.Address(),
	}).Info("stand-in listens")
	return nil
}

// announce repeats the engine's heartbeat while it lives.
func (f *Fleet) announce(ctx context.Context, e *FleetEngine) error {
	ticker := time.NewTicker(f.options.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if e.GetEngineFaults().Dead {
			continue
		}
		announced := e.Machine
		announced.Models = e.models()
		if err := f.Machines.Register(ctx, announced); fault.Is(err, fault.Conflict) {
			return nil // retired for good
		}
	}
}

// Kill ends an engine as the death of its process does: connections break, new
// ones are refused, and everything but its record is forgotten.
func (e *FleetEngine) Kill() error {
	faults := e.GetEngineFaults()
	faults.Dead = true
	e.SetEngineFaults(faults)
	return e.close()
}

// Restart starts a killed engine again, empty, at the same address.
func (e *FleetEngine) Restart() error {
	server, err := Serve(e.Machine.Address, EngineHandler(e.Engine))
	if err != nil {
		return err
	}
	e.serverMutex.Lock()
	e.server = server
	e.serverMutex.Unlock()
	faults := e.GetEngineFaults()
	faults.Dead = false
	e.SetEngineFaults(faults)
	return nil
}

// TableAddress returns host:port of the table service.
func (f *Fleet) TableAddress() string { return f.table.Address() }

// ObjectsAddress returns host:port of the object store.
func (f *Fleet) ObjectsAddress() string { return f.objects.Address() }

// MachinesAddress returns host:port of the machine list.
func (f *Fleet) MachinesAddress() string { return f.machines.Address() }

// ToolsURL returns the URL under which templates register the tools.
func (f *Fleet) ToolsURL() string { return "http://" + f.tools.Address() + ToolsPath }

// Close ends all stand-ins and breaks their connections.
func (f *Fleet) Close() error {
	f.stop()
	var failures []error
	for _, server := range []*Server{f.table, f.objects, f.machines, f.tools} {
		if server != nil {
			failures = append(failures, server.Close())
		}
	}
	for _, e := range f.Engines {
		failures = append(failures, e.close())
	}
	return errors.Join(append(failures, f.group.Wait())...)
}
