package experience

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// mostEjected is the share of a group's workers that may be ejected at all: more than one of the
	// zones of a usual region. What fails more than that is not a trouble of single workers.
	mostEjected = 0.3
	// spareUpTo and neededFrom are the shares of busy places of the workers left, up to which others
	// are ejected, and from which on they are needed again.
	spareUpTo  = 0.8
	neededFrom = 0.95
	// useless is the share of failures from which on a worker is no help, however high the load is.
	useless = 0.9
	// soundShare of failures says nothing against a worker.
	soundShare = 0.05
	// aboveFellows is how many times its fellows' share of failures a sound worker may have.
	aboveFellows = 1.5
	// clearlyWorse is by how much more requests a worker fails that is no use.
	clearlyWorse = 0.3
	// largestShare bounds the share of failures that is expected of a bad worker.
	largestShare = 0.95
	// enoughAgainst is the logarithm of how much likelier what was seen must be from a bad worker
	// than from a sound one: chance makes a worker at soundShare seem bad once in 1,800 requests, even
	// if the word of no node were left out.
	enoughAgainst = 7.5
)

// hypotheses are the shares of failures by which a sound and a bad worker are told apart.
type hypotheses struct{ sound, bad float64 }

// hypothesesBeside are those of a worker whose fellows fail a share of requests.
func hypothesesBeside(fellows float64) hypotheses {
	sound := min(max(soundShare, aboveFellows*fellows), largestShare-soundShare)
	return hypotheses{sound: sound, bad: min(sound+clearlyWorse, largestShare)}
}

// against is how much what was seen speaks for a bad worker; below 0 it speaks for a sound one.
func (h hypotheses) against(seen tally) float64 {
	well := max(0, seen.requests-seen.failures)
	return seen.failures*math.Log(h.bad/h.sound) + well*math.Log((1-h.bad)/(1-h.sound))
}

// charge is what speaks against one worker.
type charge struct {
	worker  *worker
	share   float64 // of failures
	weight  float64 // requests
	against float64 // by the word of all nodes but the loudest
	doubt   float64 // by the word of all nodes; 0 or less: there is none
	nodes   int     // that saw failures
}

// charge sums up what all nodes say of a worker. The word of the node that says most against it is
// left out: that one may have bad links, and no single node ejects.
func (b *Board) charge(w *worker, h hypotheses, now time.Time) charge {
	if !w.doubted {
		return charge{worker: w}
	}
	var all tally
	loudest := 0.0
	nodes := 0
	for node, told := range w.cells {
		told.open.age(now, caseHalfLife)
		word := told.open.weighed(b.trustIn(node))
		all.requests += word.requests
		all.failures += word.failures
		loudest = max(loudest, h.against(word))
		if word.failures > 0 {
			nodes++
		}
	}
	doubt := h.against(all)
	return charge{
		worker: w, share: all.failureShare(), weight: all.requests,
		against: doubt - loudest, doubt: doubt, nodes: nodes,
	}
}

// fellowShare is the median share of failures of workers now.
func fellowShare(workers []*worker, now time.Time) float64 {
	shares := make([]weighed, 0, len(workers))
	for _, known := range workers {
		known.recent.age(now, recentHalfLife)
		if known.ejection == nil && known.recent.requests >= leastUse {
			shares = append(shares, weighed{known.recent.failureShare(), 1})
		}
	}
	return median(shares)
}

// judgeFailures ejects and readmits workers of a group.
func (b *Board) judgeFailures(workers []*worker, now time.Time) {
	h := hypothesesBeside(fellowShare(workers, now))
	var charges []charge
	for _, known := range workers {
		known.charged = b.charge(known, h, now)
		switch {
		case known.ejection != nil && known.ejection.forgotten(now):
			b.readmit(known, Untried, now)
		case known.ejection == nil && known.charged.against > enoughAgainst:
			charges = append(charges, known.charged)
		case known.ejection == nil && known.charged.doubt <= 0:
			known.dismiss()
		}
	}
	b.releaseNeeded(workers, now)
	slices.SortFunc(charges, func(a, c charge) int {
		return cmp.Or(cmp.Compare(c.against, a.against), cmp.Compare(a.worker.key, c.worker.key))
	})
	for _, found := range charges {
		if b.canSpare(workers, found) {
			b.eject(found, now)
		}
	}
}

// dismiss drops the case against a worker that is beyond doubt, so that how long it was sound does
// not hide that it is not any more.
func (w *worker) dismiss() {
	if !w.doubted {
		return
	}
	w.doubted = false
	for _, told := range w.cells {
		told.open = tally{}
	}
}

// canSpare reports whether the group can do without one more worker.
func (b *Board) canSpare(workers []*worker, found charge) bool {
	out, lost := ejectedOf(workers)
	return out+1 <= mostOf(len(workers)) && b.bears(len(workers), lost+1-found.share, spareUpTo)
}

// mostOf is how many of a number of workers may be ejected.
func mostOf(workers int) int {
	if workers < 2 {
		return 0
	}
	return max(1, int(mostEjected*float64(workers)))
}

// bears reports whether the load leaves places free when the group lacks what some workers serve.
func (b *Board) bears(workers int, lost, fullest float64) bool {
	return b.busy*float64(workers) <= fullest*(float64(workers)-lost)
}

// ejectedOf is how many workers are ejected, and as how many sound ones they would serve.
func ejectedOf(workers []*worker) (count int, served float64) {
	for _, known := range workers {
		if known.ejection != nil {
			count++
			served += 1 - known.ejection.share
		}
	}
	return count, served
}

// releaseNeeded readmits the best of the ejected workers while the others cannot bear the load.
func (b *Board) releaseNeeded(workers []*worker, now time.Time) {
	for {
		out, lost := ejectedOf(workers)
		if out <= mostOf(len(workers)) && b.bears(len(workers), lost, neededFrom) {
			return
		}
		best := bestEjected(workers)
		if best == nil || best.ejection.share >= useless && out <= mostOf(len(workers)) {
			return
		}
		b.readmit(best, Needed, now)
	}
}

// bestEjected is the ejected worker that failed the fewest requests; nil: none is ejected.
func bestEjected(workers []*worker) *worker {
	var best *worker
	for _, known := range workers {
		if known.ejection == nil {
			continue
		}
		if best == nil || known.ejection.share < best.ejection.share {
			best = known
		}
	}
	return best
}
