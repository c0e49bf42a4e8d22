package server

import (
	"sync"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// Kinds of connections in metrics and log lines.
const (
	kindNode   = "node"
	kindTable  = "table"
	kindWorker = "worker"
	kindClient = "client" // closed by the kernel alone, and not counted
)

// Guards detect dead connections of a node, by kind of peer.
type Guards struct {
	Nodes, Store, Workers, Clients deadconn.Guard
}

// NewGuards returns the guards for a node with these settings.
func NewGuards(settings Settings, metrics *Metrics, logger log.Interface) Guards {
	guard := func(kind string, limits deadconn.Limits) deadconn.Guard {
		var once sync.Once
		return deadconn.Guard{
			Limits:           limits,
			OnDeadConnection: metrics.deadConnections.WithLabelValues(kind).Inc,
			OnOptionError: func(err error) {
				once.Do(func() {
					logger.WithError(err).WithField("kind", kind).
						Warn("cannot set the timeout that detects a dead connection, so an unresponsive peer may go undetected; check which TCP options the kernel supports")
				})
			},
		}
	}
	fresh, grace := settings.MaxStaleness, settings.ShutdownGrace
	return Guards{
		Nodes:   guard(kindNode, deadconn.ForNodes(fresh)),
		Store:   guard(kindTable, deadconn.ForTable(fresh)),
		Workers: guard(kindWorker, deadconn.ForWorkers(fresh)),
		Clients: guard(kindClient, deadconn.ForClients(fresh, grace)),
	}
}
