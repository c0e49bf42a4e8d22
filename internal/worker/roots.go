package worker

// sharedRoots are the segments with which programs begin, before their own
// first message: system prompts of templates and tenants. The next program
// begins with them too, so they are nobody's own.
type sharedRoots map[uint64]struct{}

// rootLimit bounds what is remembered; beyond it learning starts again.
const rootLimit = 4096

// learn takes in the roots that a program's first call shows.
func (r sharedRoots) learn(job Job) {
	if job.Profile.Turn != 1 || len(job.Prefix) == 0 {
		return
	}
	if len(r) >= rootLimit {
		clear(r)
	}
	for _, segment := range job.Prefix[:len(job.Prefix)-1] {
		r[segment.Hash] = struct{}{}
	}
}

func (r sharedRoots) has(hash uint64) bool {
	_, ok := r[hash]
	return ok
}
