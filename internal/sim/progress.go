package sim

import "sync"

// progress counts finished runs for Options.Done.
type progress struct {
	mutex    sync.Mutex
	finished int
	all      int
	report   func(done, all int)
}

func newProgress(o Options) *progress {
	return &progress{all: len(o.Workloads) * len(o.Policies) * len(o.Seeds), report: o.Done}
}

func (p *progress) done() {
	if p.report == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.finished++
	p.report(p.finished, p.all)
}
