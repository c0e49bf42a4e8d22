package localcluster

import (
	"context"
	"errors"

	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/load"
	"github.com/cloverwheel/cloverwheel/internal/standin"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/worker"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

// WorkloadOptions configure a Site.
type WorkloadOptions struct {
	Spec  *workload.Spec
	Model id.Model
	// Speed is how many times faster than real time the engines run; zero: 1.
	Speed  float64
	Nodes  int // zero: one for each zone
	Policy worker.Policy
	// Initial makes the first configuration, given the URL of the tools.
	Initial func(toolsURL string) (*template.Configuration, error)
}

// Site is a cluster with the stand-ins that a workload describes.
type Site struct {
	*Cluster
	Fleet *standin.Fleet
}

// StartWorkload starts the stand-ins and nodes that a workload needs.
func StartWorkload(ctx context.Context, options WorkloadOptions) (*Site, error) {
	var zones []string
	workers := 0
	for _, zone := range options.Spec.Cluster.Zones {
		zones = append(zones, zone.Name)
		workers += zone.Workers
	}
	if options.Nodes == 0 {
		options.Nodes = len(zones)
	}
	fleet, err := standin.NewFleet(standin.FleetOptions{
		Region: options.Spec.Name,
		Engines: []standin.EngineGroup{{
			Count:  workers,
			Zones:  zones,
			Model:  options.Model,
			Engine: standin.EngineOptions{Model: engineOf(options.Spec.Cluster.Engine), Speed: options.Speed},
		}},
	})
	if err != nil {
		return nil, err
	}
	initial, err := options.Initial(fleet.ToolsURL())
	if err != nil {
		return nil, errors.Join(err, fleet.Close())
	}
	cluster, err := Start(ctx, Options{
		Zones:   zones,
		Region:  options.Spec.Name,
		Nodes:   options.Nodes,
		Fleet:   fleet,
		Initial: initial,
		Policy:  options.Policy,
	})
	if err != nil {
		return nil, errors.Join(err, fleet.Close())
	}
	return &Site{Cluster: cluster, Fleet: fleet}, nil
}

// engineOf is the default engine with the workload's changes.
func engineOf(described workload.Engine) enginemodel.Options {
	model := enginemodel.DefaultOptions
	if described.MemoryTokens > 0 {
		model.MemoryTokens = described.MemoryTokens
	}
	return model
}

// Target is the site as the load tool sees it.
func (s *Site) Target(name string) load.Target {
	var records load.StandInRecords
	for _, engine := range s.Fleet.Engines {
		records.Engines = append(records.Engines, "http://"+engine.Machine.Address)
	}
	return load.Target{Name: name, Addresses: s.Addresses(), Records: records}
}

// Close ends the nodes and the stand-ins.
func (s *Site) Close() error { return errors.Join(s.Cluster.Close(), s.Fleet.Close()) }
