package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	resumedPrograms = 6
	resumedEvents   = 8
	resumedKillAt   = 4 // events of the first program when the process is killed
)

// conversation is what one program has said, as its client saw it.
type conversation struct {
	program string
	events  []event // of the first turn, over all tries
	last    answer  // of the try that got the end of the stream
	next    answer  // of the second turn
	want    string  // what the second turn's worker is to get
}

// resumedTurns: the first turns of some programs run through one process, which is killed in the middle of their streams. Each client takes its
// stream up at another node, and goes on from the turn when it has ended whole.
func resumedTurns(s *system) {
	s.configure(configuration(1, route("dialog", "/dialog/", "streaming", "agents", map[string]any{"retain": true, "resumable": true})))
	for number := range 3 {
		s.startWorker(fmt.Sprintf("i-%d", number), "agents", s.zones[number], "v1", stream{events: resumedEvents, gap: 80 * time.Millisecond}.handle)
	}
	s.startNodes(3)
	time.Sleep(12 * time.Second) // on the sites, traffic starts 10 s after the machines do
	var once sync.Once
	onEvent := func(number int) {
		if number == resumedKillAt && s.trouble {
			once.Do(func() {
				s.note("process of %s is killed", s.nodes[0].name)
				s.nodes[0].signal(syscall.SIGKILL)
			})
		}
	}
	conversations := make([]*conversation, resumedPrograms)
	var clients sync.WaitGroup
	for number := range conversations {
		c := &conversation{program: fmt.Sprintf("3fa81%x", number)}
		conversations[number] = c
		clients.Go(func() { s.converse(c, number, onEvent) })
	}
	clients.Wait()
	s.finish(s.judgeConversations(conversations))
}

// converse sends the two turns of a program.
func (s *system) converse(c *conversation, number int, onEvent func(int)) {
	input, following := "how much for "+c.program+"?", "and tomorrow?"
	headers := turnHeaders(c.program, "")
	c.last = s.send(call{node: s.nodes[0], host: "log.example", path: "/dialog/a", body: input, headers: headers, deadline: 3 * time.Second, onEvent: onEvent})
	c.events = append(c.events, c.last.events...)
	first := c.last.id
	for try := 1; try <= 4 && !c.last.whole; try++ {
		time.Sleep(200 * time.Millisecond)
		if len(c.events) > 0 {
			headers["Last-Event-Id"] = c.events[len(c.events)-1].id
			headers["Resumes"] = first
		}
		c.last = s.send(call{node: s.nodes[1+(number+try)%2], host: "log.example", path: "/dialog/a", body: input, headers: headers, deadline: 3 * time.Second})
		if c.last.status == 200 {
			c.events = append(c.events, c.last.events...)
		}
	}
	if !c.last.whole || c.last.status != 200 || len(c.events) != resumedEvents {
		return
	}
	time.Sleep(100 * time.Millisecond)
	c.want = said(input, c.events) + following
	c.next = s.send(call{node: s.nodes[2], host: "log.example", path: "/dialog/a", body: following, headers: turnHeaders(c.program, c.last.id), deadline: 3 * time.Second})
}

// judgeConversations compares what the workers got as second turns with what was said.
func (s *system) judgeConversations(conversations []*conversation) (broken []string) {
	judged := 0
	for _, c := range conversations {
		for _, w := range s.workers {
			for _, a := range w.got() {
				if c.want == "" || a.id != c.next.id {
					continue
				}
				judged++
				if a.body != c.want {
					broken = append(broken, fmt.Sprintf("UNASKED: program %s: worker %s runs turn %s with %q; the chain and the new input are %q", c.program, w.id, a.id, a.body, c.want))
				}
			}
		}
	}
	if judged == 0 {
		notRun("no program got to its second turn")
	}
	s.note("%d second turns were judged", judged)
	return broken
}
