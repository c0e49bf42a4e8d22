package server

import "github.com/cloverwheel/cloverwheel/internal/tablesync"

// followers returns the followers of the operator's rows and of the worker list.
func (s *Server) followers() []*tablesync.Follower {
	return []*tablesync.Follower{
		tablesync.New(tablesync.Options{
			Store:        s.options.Store,
			Table:        s.options.RowDecoders.ConfigurationTable,
			Replace:      s.replaceOperatorRows,
			Change:       s.applyOperatorRows,
			OnLost:       s.verifier.operatorFeedLost.Store,
			MaxStaleness: s.options.Settings.maxOperatorStaleness(),
			Logger:       s.options.Logger,
		}),
		s.workerFollower,
	}
}

// newWorkerFollower returns the follower of the worker list.
func (s *Server) newWorkerFollower() *tablesync.Follower {
	return tablesync.New(tablesync.Options{
		Store:        s.options.Store,
		Table:        s.options.RowDecoders.WorkersTable,
		Replace:      s.replaceWorkers,
		Change:       s.applyWorkerRows,
		MaxStaleness: s.options.Settings.MaxStaleness,
		BatchDelay:   workerBatchDelay,
		OnResponse:   s.workers.ListConfirmed,
		Part:         &tablesync.Part{Key: s.options.Settings.Node, RowCount: s.workers.Len, Enough: s.finder.hasEnough},
		Logger:       s.options.Logger,
	})
}

// targetedServices returns the services that the current configuration routes to; nil if there is
// no configuration.
func (s *Server) targetedServices() []string {
	configuration := s.forwarder.Configuration()
	if configuration == nil {
		return nil
	}
	return configuration.TargetServices()
}
