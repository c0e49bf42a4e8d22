package capacity

import (
	"slices"
	"time"
)

// queryCoordinator queries the coordinator of the home worker's zone, or else of the node's own zone.
func (s *simulation) queryCoordinator(turn *simTurn, exclude []string) {
	zone, home := turn.node.zone, ""
	if turn.home >= 0 {
		zone, home = s.workers[turn.home].zone, s.workers[turn.home].name
	}
	nodeLoad := turn.node.loads[zone]
	if nodeLoad.CanDecideLocally(s.now) {
		s.strategy = localOnly
		index := s.chooseLocally(turn, exclude)
		s.strategy = coordinatorAssigned
		s.begin(turn, index, false)
		s.send(turn, index, exclude)
		return
	}
	report := nodeLoad.Report(turn.node.name, s.now)
	nodeLoad.QuerySent(report.Sequence)
	query := &Query{From: turn.node.name, Sequence: report.Sequence, Ask: Ask{Home: home, Fresh: simFreshTokens, Exclude: exclude, Patience: time.Second}}
	scheduler := s.schedulers[zone]
	s.pending[query] = func(answer Answer) {
		s.after(s.hop, func() {
			nodeLoad.QueryDone(query.Sequence)
			if answer.Settled {
				nodeLoad.SetUtilization(answer.Busy, s.now)
			}
			if answer.Outcome != OutcomeAssigned {
				s.strategy = localOnly
				index := s.chooseLocally(turn, exclude)
				s.strategy = coordinatorAssigned
				s.begin(turn, index, false)
				s.send(turn, index, exclude)
				return
			}
			index := slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.name == answer.Worker })
			s.begin(turn, index, true)
			s.send(turn, index, exclude)
		})
	}
	s.after(s.hop, func() {
		s.deliverAll(scheduler.ApplyReport(report, s.now))
		answer, held := scheduler.Submit(query, s.now)
		if held {
			if s.zoneHasCapacity(zone) && slices.ContainsFunc(scheduler.load.members, func(m Member) bool {
				return scheduler.load.loads[m.Worker].requests < m.Concurrency && !slices.Contains(exclude, m.Worker) && !s.now.Before(scheduler.load.declined[m.Worker])
			}) {
				s.heldDespiteCapacity++
			}
			return
		}
		s.deliver(query, answer)
	})
}

func (s *simulation) deliverAll(resolved []Resolved) {
	for _, resolved := range resolved {
		s.deliver(resolved.Query, resolved.Answer)
	}
}

func (s *simulation) deliver(query *Query, answer Answer) {
	callback := s.pending[query]
	delete(s.pending, query)
	callback(answer)
}

// scheduleReport schedules a node's next report to a coordinator.
func (s *simulation) scheduleReport(node *simNode, zone int) {
	nodeLoad := node.loads[zone]
	at, due := nodeLoad.NextReport()
	if !due || !node.nextReport[zone].IsZero() && !at.Before(node.nextReport[zone]) {
		return
	}
	node.nextReport[zone] = at
	s.after(max(0, at.Sub(s.now)), func() {
		if node.nextReport[zone] != at {
			return // a report was sent earlier
		}
		node.nextReport[zone] = time.Time{}
		if again, due := nodeLoad.NextReport(); due && !again.After(s.now) {
			s.sendReport(node, zone)
		}
		s.scheduleReport(node, zone)
	})
}

func (s *simulation) sendReport(node *simNode, zone int) {
	report := node.loads[zone].Report(node.name, s.now)
	s.after(s.hop, func() {
		s.deliverAll(s.schedulers[zone].ApplyReport(report, s.now))
		status := s.schedulers[zone].Status(s.now)
		s.after(s.hop, func() {
			if status.Settled {
				node.loads[zone].SetUtilization(status.Busy, s.now)
			}
		})
	})
}
