package main

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// preemptedFor is how long a stream waits in its middle after more urgent requests have taken its memory. Clients wait for eight
	// times the longest pause that the sheet allows: 2.4 s.
	preemptedFor   = 2150 * time.Millisecond
	preemptedAfter = 4 // events
	lossSlack      = 200 * time.Millisecond
	grace          = 8 * time.Second
)

// silentWorker: a node gets SIGTERM while it passes on a stream that may not be repeated. The worker preempts the stream in its middle
// for 2.15 s and then goes on; it serves more urgent requests meanwhile.
func silentWorker(s *system) (broken bool, err error) {
	urgent, patient := dialogRoute(false), dialogRoute(false)
	urgent["retain"], patient["retain"] = false, false
	patient["name"], patient["pathPrefix"], patient["priority"] = "r-i9n73hh", "/lohu930/", 1
	if err := s.startStore(configuration(7, urgent, patient)); err != nil {
		return false, err
	}
	var mutex sync.Mutex
	preempted := ""
	pause := func(r *http.Request, event int) time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		if r.Header.Get("Request-Id") == preempted && event == preemptedAfter+1 {
			return preemptedFor
		}
		return steadyPause(r, event)
	}
	if err := s.addWorkers("huvo11a", 0, 2, 12, streamAnswer(pause)); err != nil {
		return false, err
	}
	if err := s.addNodes(2); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	header := map[string]string{"Model": "m", "Token-Usage": "840,250", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:40"}
	for range 20 { // usual streams
		q := request{id: newID(), method: http.MethodPost, target: "/lohu930/2f", header: header, body: text("usual", 1000), deadline: 3 * time.Second}
		if got := s.send(s.nodes[0], q); !got.isWholeStream(q.id) {
			return false, errors.New("a usual stream was not answered whole: " + got.describe())
		}
	}
	q := request{id: newID(), method: http.MethodPost, target: "/lohu930/2f", header: header, body: text("patient", 1000), deadline: 3 * time.Second}
	mutex.Lock()
	preempted = q.id
	mutex.Unlock()
	answers := make(chan answer, 1)
	sent := time.Now()
	go func() { answers <- s.send(s.nodes[0], q) }()
	time.Sleep(60 * time.Millisecond)
	if s.trouble {
		s.nodes[0].signal(syscall.SIGTERM)
	}
	var group sync.WaitGroup
	for range 3 { // more urgent requests, through the other node
		group.Go(func() {
			other := request{id: newID(), method: http.MethodPost, target: "/pufi791/2f", header: header, body: text("urgent", 1000), deadline: 3 * time.Second}
			s.note("urgent stream %s: %s", other.id, s.send(s.nodes[1], other).describe())
		})
		time.Sleep(300 * time.Millisecond)
	}
	got := <-answers
	ended := sent.Add(got.took)
	group.Wait()
	runs := allRuns(s.workers, q.id)
	s.note("stream %s, sent %v before: %s; events: %d of %d", q.id, time.Since(sent).Round(time.Millisecond), got.describe(), strings.Count(string(got.body), "data: "), streamEvents)
	for _, ran := range runs {
		s.note("worker %s ran it from %d ms after it was sent; its part ended %d ms after; all sent: %v", ran.worker, ran.at.Sub(sent).Milliseconds(), ran.ended.Sub(sent).Milliseconds(), ran.whole)
	}
	if len(runs) == 0 {
		return false, errors.New("the stream reached no worker")
	}
	cut := got.status == http.StatusOK && !got.isWholeStream(q.id)
	inTime := got.took < q.deadline-lossSlack
	s.note("cut: %v, before its deadline and its route's timeout: %v, silence of the worker at the cut: %d ms, planned work: %v", cut, inTime, got.lastGap.Milliseconds(), s.trouble)
	if !s.trouble {
		return false, nil // LOST judges requests around planned work only
	}
	return cut && inTime && time.Since(ended) < grace, nil
}
