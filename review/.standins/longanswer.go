package main

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	longAnswerBytes  = 600_000
	longAnswerPieces = 60
	pieceInterval    = 25 * time.Millisecond // the whole answer takes 1.5 s
)

// longAnswerBody is the body of the worker's answer to a request.
func longAnswerBody(id string) []byte { return text("answer to "+id, longAnswerBytes) }

// sendInPieces sends a long answer with its length, in pieces of the same size at the same intervals.
func sendInPieces(_ *worker, out http.ResponseWriter, r *http.Request, _ []byte) {
	body := longAnswerBody(r.Header.Get("Request-Id"))
	if strings.Contains(r.URL.Path, "short") {
		body = body[:800]
		_, _ = out.Write(body)
		return
	}
	out.Header().Set("Content-Type", "application/octet-stream")
	out.Header().Set("Content-Length", "600000")
	for piece := range longAnswerPieces {
		select {
		case <-time.After(pieceInterval):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := out.Write(body[piece*longAnswerBytes/longAnswerPieces : (piece+1)*longAnswerBytes/longAnswerPieces]); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(out).Flush()
	}
}

// longAnswer: a node gets SIGTERM while it passes on a safe request's answer of 600,000 bytes, which the worker sends without a pause.
func longAnswer(s *system) (broken bool, err error) {
	safe := map[string]any{"name": "r-safe", "host": hostName, "pathPrefix": "/pule252/", "kind": "safe", "timeoutMs": 3000, "targetMs": 80, "priority": 2, "service": "wuno96b", "maxAttempts": 2}
	if err := s.startStore(configuration(7, safe)); err != nil {
		return false, err
	}
	if err := s.addWorkers("wuno96b", 0, 3, 6, sendInPieces); err != nil {
		return false, err
	}
	if err := s.addNodes(2); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for range 20 { // usual requests
		q := request{id: newID(), method: http.MethodGet, target: "/pule252/short", deadline: 1200 * time.Millisecond}
		if got := s.send(s.nodes[0], q); got.status != http.StatusOK || !got.whole {
			return false, errors.New("a usual request was not answered: " + got.describe())
		}
	}
	q := request{id: newID(), method: http.MethodGet, target: "/pule252/long", deadline: 3 * time.Second}
	answers := make(chan answer, 1)
	sent := time.Now()
	go func() { answers <- s.send(s.nodes[0], q) }()
	time.Sleep(100 * time.Millisecond)
	if s.trouble {
		s.nodes[0].signal(syscall.SIGTERM)
	}
	got := <-answers
	whole := got.status == http.StatusOK && got.whole && bytes.Equal(got.body, longAnswerBody(q.id))
	s.note("request %s: %s; body equal to the worker's: %v", q.id, got.describe(), whole)
	time.Sleep(100 * time.Millisecond)
	runs := allRuns(s.workers, q.id)
	for _, ran := range runs {
		s.note("worker %s ran it from %d ms after it was sent; its part ended %d ms after; all sent: %v", ran.worker, ran.at.Sub(sent).Milliseconds(), ran.ended.Sub(sent).Milliseconds(), ran.whole)
	}
	if len(runs) == 0 {
		return false, errors.New("the request reached no worker")
	}
	cut := got.status == http.StatusOK && !got.whole
	inTime := got.took < q.deadline-lossSlack
	s.note("cut: %v, before its deadline and its route's timeout: %v, time without bytes before the cut: %d ms, planned work: %v", cut, inTime, got.lastGap.Milliseconds(), s.trouble)
	if !s.trouble {
		return false, nil // LOST judges requests around planned work only
	}
	return cut && inTime, nil
}
