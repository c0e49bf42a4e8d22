package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	longInputBytes  = 420_000
	shortInputBytes = 2_000
	otherPrograms   = 6
	recovery        = 12 * time.Second
	downTime        = 800 * time.Millisecond
)

// conversation is a program whose first turn was answered whole.
type conversation struct {
	name        string
	program     string
	first       string // Request-Id of its first turn
	input       []byte
	reached     bool // a later turn has reached a worker with the right body
	wrongBodies int
	tries       int
}

// turn builds a turn of a program.
func (c *conversation) turn(previous string, input []byte) request {
	prompt := len(input) // a token has one byte in the site file
	if previous != "" {
		prompt += len(c.input)
	}
	header := map[string]string{
		"Program-Id": c.program, "Session-Id": c.program + "-1", "Finish-Ms": "20000", "Token-Budget": "20000", "Token-Usage": fmt.Sprintf("%d,250", prompt), "Model": "m",
		"Prompt-Prefix": fmt.Sprintf("%s:%d", c.program, prompt),
	}
	if previous != "" {
		header["Previous-Turn"] = previous
	}
	return request{id: newID(), method: http.MethodPost, target: "/pufi791/2f", header: header, body: input, deadline: 3 * time.Second}
}

// text returns an input of a given size.
func text(name string, size int) []byte {
	var input bytes.Buffer
	for line := 0; input.Len() < size; line++ {
		fmt.Fprintf(&input, "%s line %d: lot %d of the harvest was weighed and logged.\n", name, line, line*7919%100_003)
	}
	return input.Bytes()[:size]
}

// begin sends the program's first turn until it is answered whole.
func (c *conversation) begin(s *system, n *node) error {
	for range 5 {
		q := c.turn("", c.input)
		got := s.send(n, q)
		s.note("%s: first turn %s of %d bytes to %s: %s", c.name, q.id, len(q.body), n.name, got.describe())
		if got.isWholeStream(q.id) {
			c.first = q.id
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("the first turn of " + c.name + " was not answered whole")
}

// goOn sends a turn that goes on from the first one, and looks at what the workers got.
func (c *conversation) goOn(s *system, n *node) (served bool) {
	input := []byte("and what of the next lot?\n")
	q := c.turn(c.first, input)
	got := s.send(n, q)
	c.tries++
	want := append(append(append([]byte{}, c.input...), streamOutput(c.first)...), input...)
	sum := sha256.Sum256(want)
	note := "reached no worker"
	for _, ran := range allRuns(s.workers, q.id) {
		if ran.bodyHash == hex.EncodeToString(sum[:8]) {
			note = "reached a worker with the right body"
			c.reached = true
		} else {
			note = fmt.Sprintf("reached a worker with a wrong body of %d bytes", ran.bodyBytes)
			c.wrongBodies++
		}
	}
	s.note("%s: turn %s after %s to %s: %s; %s", c.name, q.id, c.first, n.name, got.describe(), note)
	return got.isWholeStream(q.id)
}

// longTurn: a turn whose input has 420,000 bytes is answered whole. All processes are killed at once and start again. The program goes on.
func longTurn(s *system) (broken bool, err error) {
	if err := s.startStore(configuration(7, dialogRoute(false))); err != nil {
		return false, err
	}
	if err := s.addWorkers("huvo11a", 0, 3, 12, streamAnswer(steadyPause)); err != nil {
		return false, err
	}
	if err := s.addNodes(3); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	long := &conversation{name: "long", program: "3fa81c", input: text("long", longInputBytes)}
	if err := long.begin(s, s.nodes[0]); err != nil {
		return false, err
	}
	var others []*conversation
	for index := range otherPrograms {
		other := &conversation{name: fmt.Sprintf("other-%d", index), program: fmt.Sprintf("77d20%d", index), input: text(fmt.Sprint("other", index), shortInputBytes)}
		if err := other.begin(s, s.nodes[index%len(s.nodes)]); err != nil {
			return false, err
		}
		others = append(others, other)
	}
	if s.trouble {
		s.note("final fault: all processes are killed, for %v", downTime)
		for _, n := range s.nodes {
			n.signal(9)
		}
		for _, n := range s.nodes {
			<-n.ended
		}
		time.Sleep(downTime)
		for _, n := range s.nodes {
			if err := n.start(false); err != nil {
				return false, err
			}
		}
	}
	back := time.Now()
	late, lateServed := 0, 0
	for round := 0; time.Since(back) < recovery; round++ {
		n := s.nodes[round%len(s.nodes)]
		if !long.reached {
			long.goOn(s, n)
		}
		inLast := time.Since(back) > recovery-4*time.Second
		served := others[round%len(others)].goOn(s, n)
		if inLast {
			late++
			if served {
				lateServed++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.note("long: %d tries in %v, reached a worker with the right body: %v, wrong bodies: %d; other turns of the last 4 s: %d of %d served", long.tries, recovery, long.reached, long.wrongBodies, lateServed, late)
	noteRuns(s)
	wrong := long.wrongBodies
	for _, other := range others {
		wrong += other.wrongBodies
	}
	if late == 0 {
		return false, errors.New("no other turns were sent in the last 4 s")
	}
	return wrong > 0 || !long.reached && 5*lateServed >= 4*late, nil
}
