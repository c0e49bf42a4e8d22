package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryClients  = 112
	memoryRate     = 280 // turns a second
	memorySeconds  = 100
	memoryTurns    = 11 // of a conversation
	firstEventTime = 150 * time.Millisecond
)

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// memoryPlay is what the clients of playMemory share.
type memoryPlay struct {
	*bench
	served, failed atomic.Int64
	over           atomic.Bool // the node was killed

	mutex   sync.Mutex
	unended map[string]bool // requests on kept connections that ended without any byte of an answer
}

// playMemory lets conversations of short inputs run at one node. With trouble the inputs come in chunks, else with a length. The node is
// killed when it takes more than its memory, as the platform does.
func playMemory(b *bench) error {
	const service = "agent-models"
	b.memory = 144
	b.config(1, []map[string]any{
		{"name": "review", "host": "ficu95.example", "pathPrefix": "/dialog/", "kind": "streaming", "timeoutMs": 5000, "targetMs": 200, "gapTargetMs": 400, "priority": 0, "maxAttempts": 2,
			"sticky": true, "retain": true, "retentionS": 60, "service": service},
	}, []map[string]any{{"name": service, "maxConns": 370, "healthPath": "/health", "engine": map[string]any{"stride": 1, "slots": 64, "kvCapacity": 211374}}})
	serve := func(w *worker, out io.Writer, run workerRun) bool {
		time.Sleep(firstEventTime)
		answer := beginStream(w, out, run)
		for number := 1; number <= 3; number++ {
			if answer.event(number, "one line of an answer") != nil {
				return false
			}
		}
		return answer.end() == nil
	}
	var workers []*worker
	for index := range 12 {
		w, err := startWorker(fmt.Sprintf("i-7f3a91%02d", index), b.ip(100+index)+":0", serve)
		if err != nil {
			return err
		}
		w.bodiless = true
		workers = append(workers, w)
		b.entry(w, service, zoneNames[index%3], "ready", 0)
	}
	if err := b.startNode(0); err != nil {
		return err
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	play := &memoryPlay{bench: b, unended: map[string]bool{}}
	end := time.Now().Add(memorySeconds * time.Second)
	var group sync.WaitGroup
	for client := range memoryClients {
		group.Go(func() { play.converse(client, end) })
	}
	pid, resident, noted := b.nodes[0].command.Process.Pid, 0, time.Now()
	for time.Now().Before(end) && !play.over.Load() {
		time.Sleep(200 * time.Millisecond)
		resident = residentMB(pid)
		if time.Since(noted) > 4*time.Second || resident > b.memory {
			noted = time.Now()
			b.note("%d turns served, %d not; resident memory %d MB of %d MB", play.served.Load(), play.failed.Load(), resident, b.memory)
		}
		if resident > b.memory {
			play.over.Store(true)
			b.note("the process is over its memory, and is killed as by the platform")
			b.nodes[0].command.Process.Kill()
		}
	}
	group.Wait()
	if !play.over.Load() {
		return nil
	}
	lost := 0
	for _, w := range workers {
		for _, run := range w.received() {
			if play.unended[run.ID] && !run.Declined {
				lost++
				b.note("request %s, from a kept connection, was at worker %s and got no answer", run.ID, w.id)
			}
		}
	}
	if lost > 3 {
		b.violated("LOST: the process ended by itself at %d MB of %d MB; %d requests from kept connections had been passed on to sound workers and got no answer", resident, b.memory, lost)
	}
	return nil
}

// converse sends the turns of one conversation after the other on a kept connection.
func (p *memoryPlay) converse(client int, end time.Time) {
	var connection net.Conn
	var reader *bufio.Reader
	used, previous := 0, ""
	time.Sleep(time.Duration(client) * time.Second / memoryRate)
	for index := 0; time.Now().Before(end) && !p.over.Load(); index++ {
		begun := time.Now()
		if connection == nil {
			var err error
			if connection, err = net.DialTimeout("tcp", p.nodes[0].front, time.Second); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader, used = bufio.NewReader(connection), 0
		}
		if index%memoryTurns == 0 {
			previous = ""
		}
		id, program := newID(), index/memoryTurns
		p.note("sent %s", id)
		connection.SetDeadline(time.Now().Add(6 * time.Second))
		_, err := io.WriteString(connection, p.turn(id, previous, client, program, index))
		var answer *http.Response
		if err == nil {
			answer, err = http.ReadResponse(reader, nil)
		}
		if err != nil && used > 0 {
			p.mutex.Lock()
			p.unended[id] = true
			p.mutex.Unlock()
		}
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
		}
		used++
		status := 0
		if answer != nil {
			status = answer.StatusCode
		}
		p.note("answered %s: status %d, whole %v", id, status, err == nil)
		if err != nil || answer.StatusCode != http.StatusOK {
			p.failed.Add(1)
			previous, index = "", index-index%memoryTurns+memoryTurns-1 // the conversation ends
		} else {
			p.served.Add(1)
			previous = id
		}
		if err != nil {
			connection.Close()
			connection = nil
		}
		time.Sleep(time.Until(begun.Add(memoryClients * time.Second / memoryRate)))
	}
	if connection != nil {
		connection.Close()
	}
}

// turn returns a turn as it goes over the wire.
func (p *memoryPlay) turn(id, previous string, client, program, index int) string {
	input := fmt.Sprintf("a short question, number %d of client %d\n", index, client)
	var text strings.Builder
	fmt.Fprintf(&text, "POST /dialog/4b HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nModel: m\r\nProgram-Id: p%dx%d\r\nSession-Id: s%dx%d\r\nFinish-Ms: 9000\r\n", id, client, program, client, program)
	fmt.Fprintf(&text, "Token-Budget: 4600\r\nToken-Usage: 100,40\r\nPrompt-Prefix: 5c1e07a2:60,e440%04x%04x:40\r\n", client, program)
	if previous != "" {
		fmt.Fprintf(&text, "Previous-Turn: %s\r\n", previous)
	}
	if p.trouble {
		fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(input), input)
	} else {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(input), input)
	}
	return text.String()
}
