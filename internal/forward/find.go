package forward

import "context"

// Finder finds workers on a list of which this node keeps a part.
type Finder interface {
	// Worker makes sure that the worker of a key is known, if the list has it.
	Worker(ctx context.Context, key string)
	// Keepers names the workers that keep what some prompts share, the same on all nodes, and
	// makes sure that they are known. Nobody is agreed on where nodes keep the whole list: each
	// worker has read what they share before long, then.
	Keepers(ctx context.Context, sharedPart string) []string
	// NoteShort notes that no worker known here could take a request.
	NoteShort()
}

// findWorkers makes sure that the worker is known that has the turn's context; if there is none,
// those that keep what its prompt shares with others.
func (x *exchange) findWorkers(ctx context.Context) {
	if x.options.Finder == nil {
		return
	}
	if x.home != "" {
		x.options.Finder.Worker(ctx, x.home)
	}
	if x.request.SharedPart != "" && !x.options.Workers.KnowsKey(x.home) {
		x.keepers = x.options.Finder.Keepers(ctx, x.request.SharedPart)
	}
}
