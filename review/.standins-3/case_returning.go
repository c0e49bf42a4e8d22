package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	returningPrograms = 600
	returningTurns    = 18 // the most of a program of the site
	returningPerS     = 15 // programs that begin a second: the site's 7.26 in a burst of 2.1
	returningDown     = 800 * time.Millisecond
	returningRecovery = 12 * time.Second // recoveryS
	returningLast     = 4 * time.Second  // the last seconds of it, in which the other turns are counted
)

// numberFrom returns a number of the environment, for trials, or else the case's own.
func numberFrom(name string, own int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return own
}

// returning: programs have taken their turns or are under way when all processes are killed. They come back, each to go on from its last turn, beside new
// programs.
func returning(s *system) {
	s.store.reads.perSecond, s.store.writes.perSecond = 2000, 800
	dialog := route("dialog", "/dialog/", "streaming", "agents", map[string]any{"retain": true})
	s.configure(configuration(1, dialog))
	for number := range 6 {
		w := s.startWorker(fmt.Sprintf("i-%d", number), "agents", s.zones[number%3], "v1", stream{events: 2, gap: 3 * time.Millisecond}.handle)
		w.quiet.Store(true)
	}
	s.startNodes(3)
	time.Sleep(12 * time.Second) // on the sites, traffic starts 10 s after the machines do
	last := s.buildPrograms(numberFrom("REVIEW_PROGRAMS", returningPrograms), numberFrom("REVIEW_TURNS", returningTurns))
	s.configure(configuration(2, dialog))
	if s.trouble {
		s.note("all processes are killed, right after the acknowledgement of configuration 2")
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range s.nodes {
			<-n.ended
		}
		time.Sleep(returningDown)
		for _, n := range s.nodes {
			n.start()
		}
		for _, n := range s.nodes {
			n.awaitReady()
		}
		s.note("all processes are started again and ready")
	}
	s.finish(s.goOn(last))
}

// programName names a program that comes back.
func programName(number int) string { return fmt.Sprintf("3fa%03x", number) }

// longTurn sends a turn of a long program.
func (s *system) longTurn(n *node, program, previous string) answer {
	headers := turnHeaders(program, previous)
	headers["Token-Budget"] = "92000"
	return s.send(call{node: n, host: "log.example", path: "/dialog/a", body: "more of " + program, headers: headers, deadline: 3 * time.Second, quiet: true})
}

// buildPrograms has the programs begin one after the other and take their turns, each at one node, and returns their last turns.
func (s *system) buildPrograms(programs, turns int) []string {
	last := make([]string, programs)
	var clients sync.WaitGroup
	begun := time.Now()
	for number := range last {
		clients.Go(func() {
			time.Sleep(time.Duration(number) * time.Second / returningPerS)
			for turn := 0; turn < turns && time.Since(begun) < 60*time.Second; {
				a := s.longTurn(s.nodes[number%len(s.nodes)], programName(number), last[number])
				s.note("turn %d of %s: sent %s to %s after %q, got %d whole=%v, run by %s", turn, programName(number), a.id, s.nodes[number%len(s.nodes)].name, last[number], a.status,
					a.whole, a.stamp)
				if a.status == 200 && a.whole {
					last[number] = a.id
					turn++
				}
			}
		})
	}
	clients.Wait()
	s.note("%d programs of %d turns after %.1f s", programs, turns, time.Since(begun).Seconds())
	return last
}

// goOn has each program go on from its last turn, until it reaches a worker or recoveryS is over, beside new programs, and judges what became of
// them.
func (s *system) goOn(last []string) (broken []string) {
	for _, w := range s.workers {
		w.quiet.Store(false)
	}
	end := time.Now().Add(returningRecovery)
	tries := make([]int, len(last))
	var clients sync.WaitGroup
	for number, previous := range last {
		clients.Go(func() { tries[number] = s.askUntil(end, number, previous) })
	}
	var others, served atomic.Int64
	clients.Go(func() {
		for number := 0; time.Now().Before(end); number++ {
			time.Sleep(50 * time.Millisecond)
			sent := time.Now()
			clients.Go(func() {
				a := s.longTurn(s.nodes[number%len(s.nodes)], fmt.Sprintf("7b%04x", number), "")
				s.note("new program: sent %s, got %d", a.id, a.status)
				if sent.After(end.Add(-returningLast)) && sent.Before(end) {
					others.Add(1)
					if a.status == 200 && a.whole {
						served.Add(1)
					}
				}
			})
		}
	})
	clients.Wait()
	s.note("calls at the store: %s", s.store.counts())
	reached := s.reachedBy(end)
	for number, previous := range last {
		if !reached[previous] {
			broken = append(broken, fmt.Sprintf("LOST: turns of %s after %s reached no worker in %.0f s and %d tries", programName(number), previous, returningRecovery.Seconds(), tries[number]))
		}
	}
	summary := fmt.Sprintf("%d of %d programs went on within recoveryS; of the first turns of other programs in the last 4 s, %d of %d were served", len(last)-len(broken),
		len(last), served.Load(), others.Load())
	s.note("%s", summary)
	fmt.Println(summary)
	if served.Load()*5 < others.Load()*4 || others.Load() == 0 {
		return nil // the rule asks for four fifths
	}
	return broken
}

// askUntil sends a program's next turn until it is answered or the time is over, as clients do: an attempt, another one at another node after
// Retry-After, and then the turn anew after .1 to .4 s. It returns the number of tries.
func (s *system) askUntil(end time.Time, number int, previous string) (tries int) {
	for time.Now().Before(end) {
		n := s.nodes[(number+tries)%len(s.nodes)]
		a := s.longTurn(n, programName(number), previous)
		tries++
		s.note("try %d of %s: sent %s to %s after %s, got %d %s retry-after=%v, run by %s", tries, programName(number), a.id, n.name, previous, a.status, short(a.body), a.retryAfter,
			a.stamp)
		if a.status == 200 {
			break
		}
		if tries%2 == 1 {
			time.Sleep(min(a.retryAfter, time.Second))
			continue
		}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
	return tries
}

// reachedBy returns the earlier turns after which a turn has reached a worker by a time.
func (s *system) reachedBy(end time.Time) map[string]bool {
	reached := map[string]bool{}
	for _, w := range s.workers {
		for _, a := range w.got() {
			if a.previous != "" && a.at.Before(end) {
				reached[a.previous] = true
			}
		}
	}
	return reached
}
