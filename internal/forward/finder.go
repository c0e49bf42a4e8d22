package forward

import "context"

// WorkerFinder looks up workers in the full list where this node holds only a part of it.
type WorkerFinder interface {
	// LoadWorker loads the worker of a key into the node's registry, if the list has it.
	LoadWorker(ctx context.Context, key string)
	// PrefixWorkers returns the IDs of the workers that cache a shared prompt prefix, and loads these
	// workers into the node's registry. All nodes return the same IDs. It returns none where
	// nodes hold the whole list: there, every worker soon has the prefix cached.
	PrefixWorkers(ctx context.Context, sharedPart string) []string
	// RecordNoCapacity records that no worker known to this node could take a request.
	RecordNoCapacity()
}

// lookUpWorkers loads the worker that holds the program's context or, if it is not found, those
// that cache the prompt's shared prefix.
func (x *exchange) lookUpWorkers(ctx context.Context) {
	if x.options.Finder == nil {
		return
	}
	if x.home != "" {
		x.options.Finder.LoadWorker(ctx, x.home)
	}
	if x.request.SharedPrefix != "" && !x.options.Workers.HasKey(x.home) {
		x.prefixWorkers = x.options.Finder.PrefixWorkers(ctx, x.request.SharedPrefix)
	}
}
