package main

import (
	"fmt"
	"io"
	"strconv"
	"time"
)

func init() { cases["resume"] = playResume }

const streamEvents = 10

// playResume lets turns of conversations be resumed by their clients after a broken connection, on a route that keeps turns and
// whose streams may be resumed. Without trouble no connection breaks.
func playResume(b *bench) error {
	const service = "vine-agents"
	b.config(1, []map[string]any{
		{"name": "dialog", "host": "ficu95.example", "pathPrefix": "/dialog/", "kind": "streaming", "timeoutMs": 3000, "targetMs": 200, "gapTargetMs": 300, "priority": 0, "maxAttempts": 2,
			"sticky": true, "resumable": true, "retain": true, "retentionS": 60, "service": service},
	}, []map[string]any{{"name": service, "maxConns": 160, "healthPath": "/health", "engine": map[string]any{"stride": 1, "slots": 12, "kvCapacity": 490370}}})
	// A turn's events are the same whichever worker makes them, as of a model without chance: what is left out shows.
	serve := func(w *worker, out io.Writer, run workerRun) bool {
		after, _ := strconv.Atoi(run.Header.Get("Last-Event-Id"))
		answer := beginStream(w, out, run)
		for number := after + 1; number <= streamEvents; number++ {
			time.Sleep(20 * time.Millisecond)
			if answer.event(number, fmt.Sprintf("piece-%d", number)) != nil {
				return false
			}
		}
		return answer.end() == nil
	}
	var workers []*worker
	for index := range 3 {
		w, err := startWorker(fmt.Sprintf("i-7f3a91c%d", index), b.ip(100+index)+":0", serve)
		if err != nil {
			return err
		}
		workers = append(workers, w)
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
	time.Sleep(10 * time.Second) // a node that has just started refuses to resume streams
	var output string
	for number := 1; number <= streamEvents; number++ {
		output += fmt.Sprintf("piece-%d\n", number)
	}
	expected := map[string]string{}
	for program := range 10 {
		turn := func(input, previous, after, resumes string, stopAfter, number int) (string, reply) {
			header := map[string]string{"Program-Id": fmt.Sprintf("p%d", program), "Session-Id": fmt.Sprintf("s%d", program), "Finish-Ms": "9000",
				"Token-Budget": "4600", "Token-Usage": "840,40", "Model": "m", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,e440%04x:40", program)}
			if previous != "" {
				header["Previous-Turn"] = previous
			}
			if after != "" {
				header["Last-Event-Id"], header["Resumes"] = after, resumes
			}
			r := request{id: newID(), method: "POST", target: "/dialog/4b", host: "ficu95.example", header: header, body: input, deadline: 3 * time.Second}
			got := send(b.nodes[number%len(b.nodes)].front, r, stopAfter)
			b.note("program %d: turn %s (previous %q, after event %q) got status %d, whole %v, %.120q", program, r.id, previous, after, got.status, got.whole, got.body)
			return r.id, got
		}
		input := fmt.Sprintf("input-%d-1\n", program)
		id, got := "", reply{}
		if b.trouble {
			broken, _ := turn(input, "", "", "", 4, 0) // the client's connection breaks after four events
			time.Sleep(100 * time.Millisecond)
			id, got = turn(input, "", "4", broken, 0, 1)
		} else {
			id, got = turn(input, "", "", "", 0, 1)
		}
		if got.status != 200 || !got.whole {
			continue
		}
		second := fmt.Sprintf("input-%d-2\n", program)
		next, _ := turn(second, id, "", "", 0, 2)
		expected[next] = input + output + second
	}
	checked := 0
	for _, w := range workers {
		for _, run := range w.received() {
			b.note("worker %s got turn %s with body %q", w.id, run.ID, run.Body)
			want, ok := expected[run.ID]
			if !ok {
				continue
			}
			checked++
			if string(run.Body) != want {
				b.violated("UNASKED: turn %s ran with body %q, the chain is %q", run.ID, run.Body, want)
			}
		}
	}
	if checked == 0 {
		return fmt.Errorf("no second turn reached a worker")
	}
	return nil
}
