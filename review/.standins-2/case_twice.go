package main

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"
)

func init() { cases["twice"] = playTwice }

const (
	preemption   = 1500 * time.Millisecond // how long a preempted stream waits until it is read again
	overlapBound = 400 * time.Millisecond  // of the rule
)

// span is the time in which a worker worked on a request.
type span struct {
	worker   string
	from, to time.Time
}

// playTwice lets resumable streams run at three workers, one of which goes on with a request whose connection was closed. With trouble, that
// worker's memory runs out now and then: it preempts a stream in the middle, and goes on with it 1.5 s later.
func playTwice(b *bench) error {
	const service = "vine-agents"
	b.config(1, []map[string]any{
		{"name": "check", "host": "ficu95.example", "pathPrefix": "/check/", "kind": "streaming", "timeoutMs": 3000, "targetMs": 200, "gapTargetMs": 300, "priority": 1, "maxAttempts": 2,
			"sticky": true, "resumable": true, "service": service},
	}, []map[string]any{{"name": service, "maxConns": 160, "healthPath": "/health", "engine": map[string]any{"stride": 4, "slots": 12, "kvCapacity": 490370}}})
	var mutex sync.Mutex
	spans, streams := map[string][]span{}, 0
	serve := func(w *worker, out io.Writer, run workerRun) bool {
		goesOn := w.id == "i-7f3a91c0"
		mutex.Lock()
		streams++
		preempted := b.trouble && goesOn && streams%5 == 0
		mutex.Unlock()
		work := span{worker: w.id, from: time.Now()}
		defer func() {
			work.to = time.Now()
			mutex.Lock()
			defer mutex.Unlock()
			spans[run.ID] = append(spans[run.ID], work)
		}()
		after, _ := strconv.Atoi(run.Header.Get("Last-Event-Id"))
		answer := beginStream(w, out, run)
		closed := false
		for number := after + 1; number <= streamEvents; number++ {
			if preempted && number == 4 {
				b.note("worker %s preempts %s", w.id, run.ID)
				time.Sleep(preemption)
				b.note("worker %s goes on with %s", w.id, run.ID)
			}
			time.Sleep(20 * time.Millisecond)
			closed = answer.event(number, "four tokens") != nil || closed
			if closed && !goesOn {
				return false
			}
		}
		return answer.end() == nil
	}
	for index := range 3 {
		w, err := startWorker(fmt.Sprintf("i-7f3a91c%d", index), b.ip(100+index)+":0", serve)
		if err != nil {
			return err
		}
		b.entry(w, service, zoneNames[index], "ready", 0)
	}
	for number := range 3 {
		if err := b.startNode(number); err != nil {
			return err
		}
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	end := time.Now().Add(15 * time.Second)
	var clients sync.WaitGroup
	for client := range 9 {
		clients.Go(func() {
			for index := 0; time.Now().Before(end); index++ {
				r := request{id: newID(), method: "POST", target: "/check/4b", host: "ficu95.example", body: "input", deadline: 3 * time.Second, header: map[string]string{
					"Program-Id": fmt.Sprintf("p%dx%d", client, index), "Session-Id": "s", "Finish-Ms": "5200", "Token-Budget": "4600", "Token-Usage": "840,40", "Model": "m",
					"Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,e4%04x%04x:40", client, index)}}
				begun := time.Now()
				got := send(b.nodes[client%len(b.nodes)].front, r, 0)
				if took := time.Since(begun); got.status != 200 || !got.whole || took > 500*time.Millisecond {
					b.note("client %d: %s got status %d, whole %v after %d ms", client, r.id, got.status, got.whole, took.Milliseconds())
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(preemption + time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	for id, runs := range spans {
		for _, earlier := range runs {
			for _, later := range runs {
				overlap := earlier.to.Sub(later.from)
				if later.worker != earlier.worker && later.from.After(earlier.from) && overlap > overlapBound {
					b.violated("TWICE: %s went on at %s while %s still worked on it %d ms later", id, later.worker, earlier.worker, overlap.Milliseconds())
				}
			}
		}
	}
	b.note("%d streams ran", streams)
	return nil
}
