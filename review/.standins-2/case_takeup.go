package main

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"
)

func init() { cases["takeup"] = playTakeUp }

const (
	brokenStreams = 40
	newStreams    = 12
	takeUpTries   = 3
	longStream    = 20                     // events of a stream, one each eventGap
	brokenAfter   = 15                     // events, after which a client's connection breaks
	eventGap      = 100 * time.Millisecond // between the events of a stream
	releaseGap    = 940 * time.Millisecond // between the workers of a release, as on a day of the site
	leastTakenUp  = 12                     // streams from which on the rule counts
)

// takeUpPlay is what the clients of playTakeUp share.
type takeUpPlay struct {
	*bench
	workers []*worker

	mutex                         sync.Mutex
	takenUp, goneOn, begun, ended int
	lastTry                       time.Time // when a stream was last sent to be taken up
}

// playTakeUp lets streams break off at the clients' side, and be taken up again at another node. Two workers of each of two software versions
// serve. With trouble those of the older version say one after the other that they drain, and go on serving until well after the streams are
// over. All streams are taken up within drainMs of the first of them.
func playTakeUp(b *bench) error {
	p := &takeUpPlay{bench: b}
	const service = "vine-agents"
	b.config(1, []map[string]any{
		{"name": "check", "host": "ficu95.example", "pathPrefix": "/check/", "kind": "streaming", "timeoutMs": 3000, "targetMs": 200, "gapTargetMs": 300, "priority": 1, "maxAttempts": 2,
			"sticky": true, "resumable": true, "service": service},
	}, []map[string]any{{"name": service, "maxConns": 160, "healthPath": "/health", "engine": map[string]any{"stride": 4, "slots": 24, "kvCapacity": 490370}}})
	serve := func(w *worker, out io.Writer, run workerRun) bool {
		after, _ := strconv.Atoi(run.Header.Get("Last-Event-Id"))
		answer := beginStream(w, out, run)
		for number := after + 1; number <= longStream; number++ {
			time.Sleep(eventGap)
			if answer.event(number, "four tokens of "+w.id) != nil {
				return false
			}
		}
		return answer.end() == nil
	}
	put := func(w *worker, zone, version, state string) time.Time {
		return b.store.put("servers", w.id, map[string]any{"service": service, "address": w.address, "zone": zone, "version": version, "slots": 24, "state": state, "coldLeftMs": 0, "callSeq": 0})
	}
	for index := range 4 {
		w, err := startWorker(fmt.Sprintf("i-7f3a91c%d", index), b.ip(100+index)+":0", serve)
		if err != nil {
			return err
		}
		p.workers = append(p.workers, w)
		put(w, zoneNames[index], map[bool]string{true: "v1", false: "v1.1"}[index < 2], "ready")
	}
	for number := range 3 {
		if err := b.startNode(number); err != nil {
			return err
		}
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	time.Sleep(11 * time.Second) // a node that has just started knows little of earlier streams
	var clients sync.WaitGroup
	for index := range brokenStreams {
		clients.Go(func() { p.breakOff(index) })
	}
	time.Sleep(150 * time.Millisecond)
	var drained []time.Time
	for index, w := range p.workers[:2] {
		if b.trouble {
			drained = append(drained, put(w, zoneNames[index], "v1", "draining"))
			b.note("worker %s of v1 says draining, and the store has acknowledged it; it serves on", w.id)
		}
		time.Sleep(releaseGap)
	}
	for index := range newStreams {
		clients.Go(func() {
			_, got := p.attempt(1000+index, "", "", 0, 0)
			p.mutex.Lock()
			defer p.mutex.Unlock()
			p.begun++
			if got.status == 200 && got.whole {
				p.ended++
			}
		})
	}
	clients.Wait()
	if b.trouble && p.lastTry.Sub(drained[0]) > drainTime {
		return fmt.Errorf("the last stream was taken up %d ms after the first worker drained", p.lastTry.Sub(drained[0]).Milliseconds())
	}
	b.note("%d streams of v1 were taken up, %d went on; %d new streams were sent, %d were served", p.takenUp, p.goneOn, p.begun, p.ended)
	if p.takenUp < leastTakenUp {
		return fmt.Errorf("only %d streams began at v1", p.takenUp)
	}
	if float64(p.goneOn)/float64(p.takenUp) < 0.5*float64(p.ended)/float64(p.begun) {
		b.violated("LOST: of %d streams taken up while two workers of their version serve, %d went on; of %d new ones %d were served", p.takenUp, p.goneOn, p.begun, p.ended)
	}
	return nil
}

// attempt sends a request of a stream, from after an event on if that is not empty.
func (p *takeUpPlay) attempt(index int, after, resumes string, stopAfter, node int) (string, reply) {
	header := map[string]string{"Program-Id": fmt.Sprintf("p%d", index), "Session-Id": "s", "Finish-Ms": "9000", "Token-Budget": "4600", "Token-Usage": "840,80", "Model": "m",
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,e4%04x:40", index)}
	if after != "" {
		header["Last-Event-Id"], header["Resumes"] = after, resumes
	}
	r := request{id: newID(), method: "POST", target: "/check/4b", host: "ficu95.example", header: header, body: "input", deadline: 3 * time.Second}
	n := p.nodes[(index+node)%len(p.nodes)]
	got := send(n.front, r, stopAfter)
	p.note("stream %d: %s at %s, after event %q, got status %d, whole %v, %.150q", index, r.id, n.name, after, got.status, got.whole, got.body)
	return r.id, got
}

// breakOff begins a stream, whose connection breaks after brokenAfter events, and takes it up again if it began at the older version.
func (p *takeUpPlay) breakOff(index int) {
	id, got := p.attempt(index, "", "", brokenAfter, 0)
	if got.status != 200 || !p.ranAtFirstVersion(id) {
		return
	}
	wentOn := false
	for try := 1; try <= takeUpTries && !wentOn; try++ {
		p.mutex.Lock()
		p.lastTry = time.Now()
		p.mutex.Unlock()
		_, again := p.attempt(index, fmt.Sprint(brokenAfter), id, 0, try)
		if wentOn = again.status == 200 && again.whole; !wentOn {
			time.Sleep(200 * time.Millisecond)
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.takenUp++
	if wentOn {
		p.goneOn++
	}
}

// ranAtFirstVersion reports whether a worker of the older version ran a request.
func (p *takeUpPlay) ranAtFirstVersion(id string) bool {
	for _, w := range p.workers[:2] {
		for _, run := range w.received() {
			if run.ID == id && !run.Declined {
				return true
			}
		}
	}
	return false
}
