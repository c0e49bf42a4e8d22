package forward

import "context"

// Finder looks up workers in the full list where this node holds only a part of it.
type Finder interface {
	// Worker loads the worker of a key into the node's registry, if the list has it.
	Worker(ctx context.Context, key string)
	// Keepers returns the IDs of the workers that cache a shared prompt prefix, and loads these
	// workers into the node's registry. All nodes return the same IDs. It returns none where
	// nodes hold the whole list: there, every worker soon has the prefix cached.
	Keepers(ctx context.Context, sharedPart string) []string
	// NoteShort records that no worker known to this node could take a request.
	NoteShort()
}

// lookUpWorkers loads the worker that holds the program's context or, if it is not found, those
// that cache the prompt's shared prefix.
func (x *exchange) lookUpWorkers(ctx context.Context) {
	if x.options.Finder == nil {
		return
	}
	if x.home != "" {
		x.options.Finder.Worker(ctx, x.home)
	}
	if x.request.SharedPart != "" && !x.options.Workers.KnowsKey(x.home) {
		x.prefixWorkers = x.options.Finder.Keepers(ctx, x.request.SharedPart)
	}
}
