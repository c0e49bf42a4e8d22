package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// garbleX and garbleFor are doses of the site file: { kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0 }.
	garbleX   = 0.03
	garbleFor = 5 * time.Second
	// garbleTimes is how often the disruption comes, at one worker and the other by turns, and garbleGap the time between.
	garbleTimes = 4
	garbleGap   = 2 * time.Second

	shedSlots   = 6
	shedQueue   = 2
	shedClients = 22
	shedWork    = 39 * time.Millisecond // mean, as that of lot-receipt
)

// sheddingWorker is a worker of a plain service that works on some requests at once, holds a few more, and sheds others. In a disruption
// it sends a second answer, late, after some of its answers.
type sheddingWorker struct {
	*worker
	system *system
	slots  chan struct{}

	state    sync.Mutex
	inside   int  // requests that run or wait
	garbling bool // the disruption goes on
	answers  int  // since it began
	spoiled  int  // of these, those after which a second one came
}

// start serves requests and records the worker in the store.
func (w *sheddingWorker) start(t *table) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(connection)
		}
	}()
	w.list(t, "ready")
	return nil
}

// serve answers the requests of one connection, one at a time.
func (w *sheddingWorker) serve(connection net.Conn) {
	defer connection.Close()
	var writing sync.Mutex // a late second answer does not get into another one
	send := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(connection, text)
	}
	reader := bufio.NewReader(connection)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		switch {
		case r.URL.Path == "/health":
			send("HTTP/1.1 200 OK\r\nInstance-Id: " + w.id + "\r\nContent-Length: 0\r\n\r\n")
			continue
		case r.Header.Get("Expect-Instance") != w.id:
			send("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id + "\r\nInstance-Id: " + w.id + "\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !w.enter() {
			text := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			send(text)
			if w.count(true) {
				delay := 15*time.Millisecond + rand.N(20*time.Millisecond)
				w.system.note("worker %s shed %s; a second answer follows %d ms later", w.id, id, delay.Milliseconds())
				time.AfterFunc(delay, func() { send(text) })
			}
			continue
		}
		w.slots <- struct{}{}
		begun := &run{id: id, worker: w.id, method: r.Method, target: r.RequestURI, bodyBytes: len(body), at: time.Now()}
		w.mutex.Lock()
		w.runs = append(w.runs, begun)
		w.mutex.Unlock()
		time.Sleep(shedWork/2 + rand.N(shedWork))
		<-w.slots
		w.leave()
		w.count(false)
		answer := plainAnswer(id)
		send(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, w.id, id, len(answer), answer))
	}
}

func plainAnswer(id string) string { return strings.Repeat("answer to "+id+"\n", 29) }

// enter lets a request in if there is room for it.
func (w *sheddingWorker) enter() bool {
	w.state.Lock()
	defer w.state.Unlock()
	if w.inside >= shedSlots+shedQueue {
		return false
	}
	w.inside++
	return true
}

func (w *sheddingWorker) leave() {
	w.state.Lock()
	defer w.state.Unlock()
	w.inside--
}

// count counts an answer, and reports whether a second one is to follow it: after refusals only, and after garbleX of all answers at most.
func (w *sheddingWorker) count(refusal bool) (again bool) {
	w.state.Lock()
	defer w.state.Unlock()
	if !w.garbling {
		return false
	}
	w.answers++
	if !refusal || float64(w.spoiled+1) > garbleX*float64(w.answers) {
		return false
	}
	w.spoiled++
	return true
}

// setGarbling begins or ends the disruption at the worker.
func (w *sheddingWorker) setGarbling(garbling bool) {
	w.state.Lock()
	defer w.state.Unlock()
	w.garbling = garbling
}

// secondAnswer: clients keep two workers at the limit of what they take. One of them at a time sends a second answer, late, after some refusals.
func secondAnswer(s *system) (broken bool, err error) {
	unsafe := map[string]any{"name": "r-unsafe", "host": hostName, "pathPrefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 2000, "targetMs": 200, "priority": 2, "service": "wuno96b", "maxAttempts": 2}
	if err := s.startStore(configuration(7, unsafe)); err != nil {
		return false, err
	}
	var shedding []*sheddingWorker
	for index := range 2 {
		w := &worker{id: newID(), address: s.address(100+index, portWorker), service: "wuno96b", zone: zoneNames[index], slots: shedSlots}
		one := &sheddingWorker{worker: w, system: s, slots: make(chan struct{}, shedSlots)}
		if err := one.start(s.table); err != nil {
			return false, err
		}
		shedding, s.workers = append(shedding, one), append(s.workers, w)
	}
	if err := s.addNodes(4); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	type outcome struct {
		id   string
		got  answer
		node string
	}
	var mutex sync.Mutex
	var outcomes []outcome
	var group sync.WaitGroup
	end := time.Now().Add(garbleTimes * (garbleFor + garbleGap))
	for index := range shedClients {
		group.Go(func() {
			n := s.nodes[index%len(s.nodes)]
			for time.Now().Before(end) {
				q := request{id: newID(), method: http.MethodPost, target: "/puxa403/2f", body: text("receipt", 600), deadline: 2 * time.Second}
				got := s.send(n, q)
				mutex.Lock()
				outcomes = append(outcomes, outcome{q.id, got, n.name})
				mutex.Unlock()
				time.Sleep(max(5*time.Millisecond+rand.N(10*time.Millisecond), got.retryAfter))
			}
		})
	}
	for occasion := range garbleTimes {
		time.Sleep(garbleGap / 2)
		one := shedding[occasion%len(shedding)] // one of two: within the share of 0.6
		if s.trouble {
			s.note("worker %s begins to send second answers", one.id)
		}
		one.setGarbling(s.trouble)
		time.Sleep(garbleFor)
		one.setGarbling(false)
		time.Sleep(garbleGap / 2)
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	twice, refused, served := 0, 0, 0
	for _, one := range outcomes {
		runs := allRuns(s.workers, one.id)
		if one.got.status == http.StatusOK {
			served++
		}
		s.note("sent %s to %s: status %d, whole %v, after %d ms; %s", one.id, one.node, one.got.status, one.got.whole, one.got.took.Milliseconds(), describeRuns(s, runs))
		if len(runs) > 1 {
			twice++
			s.note("TWICE: request %s ran %d times, at %s and %s, %d ms apart; the client of %s got %s", one.id, len(runs), runs[0].worker, runs[1].worker, runs[1].at.Sub(runs[0].at).Abs().Milliseconds(), one.node, one.got.describe())
		}
		if len(runs) > 0 && (one.got.status == http.StatusServiceUnavailable || one.got.status == http.StatusTooManyRequests) {
			refused++
			s.note("REFUSED: request %s ran at %s, and the client of %s got %s", one.id, runs[0].worker, one.node, one.got.describe())
		}
	}
	for _, one := range shedding {
		s.note("worker %s: %d runs; answers in the disruption: %d, with a second one after them: %d", one.id, len(one.runs), one.answers, one.spoiled)
	}
	s.note("%d requests, %d served; ran twice: %d; refused though they ran: %d", len(outcomes), served, twice, refused)
	if served < len(outcomes)/4 {
		return false, errors.New("too few requests were served")
	}
	return twice > 0, nil
}
