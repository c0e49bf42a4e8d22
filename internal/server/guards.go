package server

import (
	"sync"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/silence"
)

// Kinds of connections in metrics and log lines.
const (
	kindNode   = "node"
	kindTable  = "table"
	kindWorker = "worker"
	kindClient = "client" // closed by the kernel alone, and not counted
)

// Guards detect silent connections of a node, by kind of peer.
type Guards struct {
	Nodes, Store, Workers, Clients silence.Guard
}

// NewGuards returns the guards for a node with these settings.
func NewGuards(settings Settings, metrics *Metrics, logger log.Interface) Guards {
	guard := func(kind string, limits silence.Limits) silence.Guard {
		var once sync.Once
		return silence.Guard{
			Limits:           limits,
			OnDeadConnection: metrics.silentConnections.WithLabelValues(kind).Inc,
			OnOptionError: func(err error) {
				once.Do(func() {
					logger.WithError(err).WithField("kind", kind).
						Warn("cannot set the silence timeout of a connection, so a silent peer may go undetected; check which TCP options the kernel supports")
				})
			},
		}
	}
	fresh, grace := settings.MaxStaleness, settings.ShutdownGrace
	return Guards{
		Nodes:   guard(kindNode, silence.ForNodes(fresh)),
		Store:   guard(kindTable, silence.ForTable(fresh)),
		Workers: guard(kindWorker, silence.ForWorkers(fresh)),
		Clients: guard(kindClient, silence.ForClients(fresh, grace)),
	}
}
