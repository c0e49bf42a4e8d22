package main

import (
	"fmt"
	"sync"
	"time"
)

// comments: the workers turn slow. While a slow worker has no token, it sends a comment line now and then, which the standard of event streams
// has for this and which is no event. The turns are whole, and the next turn of each program goes on from them.
func comments(s *system) {
	const programs = 18
	s.configure(configuration(1, route("dialog", "/dialog/", "streaming", "agents", map[string]any{"retain": true})))
	for number := range 6 {
		s.startWorker(fmt.Sprintf("i-%d", number), "agents", s.zones[number%3], "v1",
			stream{events: 8, gap: 60 * time.Millisecond, slowBy: 5, beat: 200 * time.Millisecond}.handle)
	}
	s.startNodes(3)
	time.Sleep(12 * time.Second) // on the sites, traffic starts 10 s after the machines do
	conversations := make([]*conversation, programs)
	for number := range conversations {
		conversations[number] = &conversation{program: fmt.Sprintf("3fa8%02x", number)}
	}
	if s.trouble {
		s.note("worker %s turns slow, 5 times", s.workers[0].id)
		s.workers[0].setSlow(true)
	}
	var clients sync.WaitGroup
	for number, c := range conversations {
		clients.Go(func() {
			input, following := "how much for "+c.program+"?", "and tomorrow?"
			c.last = s.send(call{node: s.nodes[number%3], host: "log.example", path: "/dialog/a", body: input, headers: turnHeaders(c.program, ""), deadline: 3 * time.Second})
			if c.last.status != 200 || !c.last.whole {
				return
			}
			c.want = said(input, c.last.events) + following
			c.next = s.send(call{node: s.nodes[(number+1)%3], host: "log.example", path: "/dialog/a", body: following, headers: turnHeaders(c.program, c.last.id), deadline: 3 * time.Second})
		})
	}
	clients.Wait()
	s.finish(s.judgeConversations(conversations))
}
