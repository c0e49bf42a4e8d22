package sim

import (
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

// scheduleFaults brings the workload's faults about.
func (s *simulation) scheduleFaults() {
	for _, fault := range s.spec.Faults {
		s.clock.at(epoch.Add(fault.At), func() { s.befall(fault) })
		s.clock.at(epoch.Add(fault.At+fault.For), func() { s.mend(fault) })
	}
}

// struck are the workers that a fault befalls.
func (s *simulation) struck(f workload.Fault) []*backend {
	if f.Worker > 0 {
		return []*backend{s.byName[workerName(f.Zone, f.Worker)]}
	}
	var struck []*backend
	for _, b := range s.backends {
		if b.zone == f.Zone {
			struck = append(struck, b)
		}
	}
	return struck
}

func (s *simulation) befall(f workload.Fault) {
	wholeZone := f.Worker == 0
	for _, b := range s.struck(f) {
		b.pump()
		switch f.Kind {
		case workload.Slow:
			b.engine.SetSpeed(s.clock.now, f.Factor)
		case workload.Stall:
			b.engine.Stall(s.clock.now, s.clock.now.Add(f.For))
		case workload.Crash:
			b.crash(wholeZone)
		}
		b.pump()
	}
	if wholeZone && f.Kind == workload.Crash {
		s.zoneDown[f.Zone] = true
	}
}

func (s *simulation) mend(f workload.Fault) {
	for _, b := range s.struck(f) {
		switch f.Kind {
		case workload.Slow:
			b.engine.SetSpeed(s.clock.now, 1)
		case workload.Crash:
			b.restart()
		case workload.Stall:
		}
		b.pump()
	}
	if f.Kind == workload.Crash {
		s.zoneDown[f.Zone] = false
	}
}

// crash kills the engine and, with withOwner, the owner too.
func (b *backend) crash(withOwner bool) {
	b.down = true
	b.downSince = b.now()
	b.life++
	b.ownerDown = withOwner
	b.engine.Reset(b.now())
	if !withOwner {
		return
	}
	lost := b.jobs
	b.jobs = map[id.Request]*attempt{}
	b.running = nil
	b.pending = nil
	for _, request := range sortedRequests(lost) {
		a := lost[request]
		b.simulation.clock.after(failureDetection, func() { a.failed(nil) })
	}
}

// restart brings an empty engine back, with a new owner if the old one died.
func (b *backend) restart() {
	b.down = false
	if b.ownerDown {
		b.ownerDown = false
		b.owner = b.simulation.newOwner(b)
	}
}
