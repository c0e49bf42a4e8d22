package placement

import (
	"math/rand/v2"
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// SampleSize is the number of random workers that a shortlist adds to those that may have
// the context cached.
const SampleSize = 2

// maxShared bounds the number of shortlisted workers that have the template's prefix cached.
const maxShared = 2

// Shortlist returns the workers to probe: the program's home, at most two that have its
// template's prefix cached, and SampleSize random ones from pool.
func Shortlist(home id.Worker, shared, pool, exclude []id.Worker, random *rand.Rand) []id.Worker {
	list := make([]id.Worker, 0, 1+maxShared+SampleSize)
	add := func(worker id.Worker) bool {
		if worker == "" || slices.Contains(list, worker) || slices.Contains(exclude, worker) {
			return false
		}
		list = append(list, worker)
		return true
	}
	add(home)
	for taken, index := 0, 0; index < len(shared) && taken < maxShared; index++ {
		if add(shared[index]) {
			taken++
		}
	}
	addRandom(pool, random, add)
	return list
}

// addRandom adds up to SampleSize random workers of pool that add accepts.
func addRandom(pool []id.Worker, random *rand.Rand, add func(id.Worker) bool) {
	for range SampleSize {
		if !addOneRandom(pool, random, add) {
			return
		}
	}
}

// addOneRandom adds the first worker that add accepts, from a random start. It reports whether
// there was one.
func addOneRandom(pool []id.Worker, random *rand.Rand, add func(id.Worker) bool) bool {
	if len(pool) == 0 {
		return false
	}
	start := random.IntN(len(pool))
	for step := range pool {
		if add(pool[(start+step)%len(pool)]) {
			return true
		}
	}
	return false
}
