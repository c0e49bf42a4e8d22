package main

import (
	"io"
	"sync"
	"time"
)

func init() { cases["born"] = playBorn }

const (
	clockStep   = 2000 * time.Millisecond // of the worker's machine, back
	drainTime   = 2000 * time.Millisecond // drainMs
	lingerTime  = 1500 * time.Millisecond // that the worker serves on after drainMs
	arrivalSlop = 100 * time.Millisecond  // allowed beyond the rule's bound
)

// playBorn lets a worker crash soon after its start and start again under its id. With trouble, the clock of its machine was set back
// in between, so that the start it tells is earlier than that of the process before. Then the worker drains and ends.
func playBorn(b *bench) error {
	const service = "log-desk"
	b.config(1, []map[string]any{
		{"name": "receipt", "host": "ficu95.example", "pathPrefix": "/lot/", "kind": "unsafe", "timeoutMs": 2000, "targetMs": 200, "priority": 2, "maxAttempts": 1, "service": service},
	}, []map[string]any{{"name": service, "maxConns": 110, "healthPath": "/health"}})
	slow := func(w *worker, out io.Writer, run workerRun) bool {
		time.Sleep(39 * time.Millisecond)
		return answerPlain(w, out, run)
	}
	steady := time.Now().Add(-time.Hour).UnixMilli()
	for index, id := range []string{"i-02d9e6b4", "i-11c40ffe", "i-5d7720aa"} {
		w, err := startWorker(id, b.ip(100+index)+":0", slow)
		if err != nil {
			return err
		}
		b.entry(w, service, zoneNames[index], "ready", steady)
	}
	for number := range 4 {
		if err := b.startNode(number); err != nil {
			return err
		}
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	// The worker starts, crashes 0.6 s later and is started again 0.3 s after that.
	const id = "i-7f3a91c2"
	first, err := startWorker(id, b.ip(110)+":0", slow)
	if err != nil {
		return err
	}
	firstBorn := time.Now()
	b.entry(first, service, zoneNames[3], "ready", firstBorn.UnixMilli())
	b.note("worker %s starts and says born %d", id, firstBorn.UnixMilli())
	time.Sleep(600 * time.Millisecond)
	first.end()
	b.note("worker %s crashes", id)
	time.Sleep(300 * time.Millisecond)
	second, err := startWorker(id, first.address, slow)
	if err != nil {
		return err
	}
	secondBorn := time.Now()
	if b.trouble {
		secondBorn = secondBorn.Add(-clockStep)
	}
	b.entry(second, service, zoneNames[3], "ready", secondBorn.UnixMilli())
	b.note("worker %s starts again and says born %d", id, secondBorn.UnixMilli())
	time.Sleep(4 * time.Second) // a quiet moment; then clients begin
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for client := range 16 {
		clients.Go(func() {
			for index := 0; ; index++ {
				select {
				case <-stop:
					return
				default:
				}
				r := request{id: newID(), method: "POST", target: "/lot/7", host: "ficu95.example", body: "entry", deadline: 2 * time.Second}
				n := b.nodes[(client+index)%len(b.nodes)]
				begun := time.Now()
				got := send(n.front, r, 0)
				if got.status != 200 || !got.whole {
					b.note("request %s, sent at %.3f s to %s, got status %d, whole %v, error %v", r.id, begun.Sub(b.start).Seconds(), n.name, got.status, got.whole, got.err)
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	b.note("worker %s has received %d requests since", id, len(second.received()))
	acknowledged := b.entry(second, service, zoneNames[3], "draining", secondBorn.UnixMilli())
	b.note("worker %s says draining, and the store has acknowledged it", id)
	time.Sleep(drainTime + lingerTime)
	second.end()
	b.store.remove("servers", id)
	b.note("worker %s ends", id)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()
	late := 0
	for _, run := range second.received() {
		after := run.At.Sub(acknowledged)
		if after > 0 {
			b.note("request %s reaches worker %s %d ms after the acknowledgement, declined %v", run.ID, id, after.Milliseconds(), run.Declined)
		}
		if after > drainTime+arrivalSlop && !run.Declined {
			late++
		}
	}
	if late > 0 {
		b.violated("DRAIN: %d requests reached worker %s later than drainMs after the store had acknowledged that it is draining", late, id)
	}
	return nil
}
