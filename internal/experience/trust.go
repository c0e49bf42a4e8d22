package experience

import (
	"slices"
	"time"
)

// A node that sees failures at most of the workers that it uses has bad links, or is itself at
// fault: its word counts for less, and for nothing if they are half of them.
const (
	// trustedSpread is up to which share of its workers a node may see failing and is believed. It is
	// also the largest share of workers that is ejected.
	trustedSpread = mostEjected
	// distrustedSpread is the share from which on it is not believed at all.
	distrustedSpread = 0.5
	// fewestUsed is how many workers a node must use for that to tell anything.
	fewestUsed = 4
	// failingShare is the share of its requests from which on a worker counts as failing at a node.
	failingShare = 0.3
	// leastUse is the weight of a request that is still remembered.
	leastUse = 0.25
	// believed is the least trust in a node whose trial of a worker counts.
	believed = 0.5
)

// judgeNodes finds how much the word of each node counts, from 0 to 1.
func (b *Board) judgeNodes(workers []*worker, now time.Time) {
	clear(b.trust)
	if !slices.ContainsFunc(workers, func(w *worker) bool { return w.doubted }) {
		return
	}
	used, failing := map[string]int{}, map[string]int{}
	for _, known := range workers {
		for node, told := range known.cells {
			told.spread.age(now, spreadHalfLife)
			if told.spread.requests < leastUse {
				continue
			}
			used[node]++
			if told.spread.failureShare() >= failingShare {
				failing[node]++
			}
		}
	}
	for node, workers := range used {
		if trust := trustOf(workers, failing[node]); trust < 1 {
			b.trust[node] = trust
		}
	}
}

func trustOf(used, failing int) float64 {
	if used < fewestUsed {
		return 1
	}
	spread := float64(failing) / float64(used)
	return min(1, max(0, (distrustedSpread-spread)/(distrustedSpread-trustedSpread)))
}

// trustIn is how much a node's word counts.
func (b *Board) trustIn(node string) float64 {
	if trust, ok := b.trust[node]; ok {
		return trust
	}
	return 1
}
