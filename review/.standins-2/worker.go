package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerRun is what a worker received and ran.
type workerRun struct {
	At       time.Time
	Worker   string
	ID       string // Request-Id
	Method   string
	Target   string // as it stands in the request line
	Header   http.Header
	Body     []byte
	Declined bool
}

// worker is a stand-in for one worker process. It reads the request line itself and takes the target as it is.
type worker struct {
	id, address string
	listener    net.Listener
	// serve writes the answer of a request that is run. It may close the connection by returning false.
	serve func(w *worker, out io.Writer, run workerRun) (keep bool)

	bodiless bool // it does not keep the bodies that it received

	mutex       sync.Mutex
	runs        []workerRun
	connections map[net.Conn]bool
	ended       bool
}

func startWorker(id, address string, serve func(*worker, io.Writer, workerRun) bool) (*worker, error) {
	var listener net.Listener
	var err error
	for range 50 { // a process that ended a moment ago may hold the port
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, address: listener.Addr().String(), listener: listener, serve: serve, connections: map[net.Conn]bool{}}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			w.mutex.Lock()
			w.connections[connection] = true
			w.mutex.Unlock()
			go w.converse(connection)
		}
	}()
	return w, nil
}

// end ends the worker as a process ends: its port is free and its connections are reset.
func (w *worker) end() {
	w.listener.Close()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
	for connection := range w.connections {
		if tcp, ok := connection.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		connection.Close()
	}
}

// received returns what the worker has received so far.
func (w *worker) received() []workerRun {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]workerRun{}, w.runs...)
}

func (w *worker) converse(connection net.Conn) {
	defer func() {
		connection.Close()
		w.mutex.Lock()
		delete(w.connections, connection)
		w.mutex.Unlock()
	}()
	reader := bufio.NewReader(connection)
	for {
		run, err := readRequest(reader)
		if err != nil {
			return
		}
		run.At, run.Worker = time.Now(), w.id
		expected := run.Header.Get("Expect-Instance")
		run.Declined = run.ID == "" || expected != "" && expected != w.id
		w.mutex.Lock()
		if w.ended {
			w.mutex.Unlock()
			return
		}
		kept := run
		if w.bodiless {
			kept.Body, kept.Header = nil, nil
		}
		w.runs = append(w.runs, kept)
		w.mutex.Unlock()
		if run.Declined {
			played.note("declined %s at %s", run.ID, w.id)
			status := "421 Misdirected Request"
			if run.ID == "" {
				status = "400 Bad Request"
			}
			fmt.Fprintf(connection, "HTTP/1.1 %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", status, w.id, run.ID)
			continue
		}
		played.note("runs %s at %s", run.ID, w.id)
		keep := w.serve(w, connection, run)
		played.note("run ended %s at %s, answer written %v", run.ID, w.id, keep)
		if !keep {
			return
		}
	}
}

// readRequest reads one request. The target is not parsed: it is what stands in the request line.
func readRequest(reader *bufio.Reader) (run workerRun, err error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return run, err
	}
	words := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	if len(words) != 3 {
		return run, fmt.Errorf("request line %q", line)
	}
	run.Method, run.Target, run.Header = words[0], words[1], http.Header{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return run, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		run.Header.Add(name, strings.TrimSpace(value))
	}
	run.ID = run.Header.Get("Request-Id")
	length, _ := strconv.Atoi(run.Header.Get("Content-Length"))
	run.Body = make([]byte, length)
	_, err = io.ReadFull(reader, run.Body)
	return run, err
}

// answerPlain answers a plain request whole.
func answerPlain(w *worker, out io.Writer, run workerRun) bool {
	body := "done " + run.ID
	_, err := fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", run.ID, w.id, run.ID, len(body), body)
	return err == nil
}

// stream writes a chunked event stream, one event a call.
type stream struct{ out io.Writer }

func beginStream(w *worker, out io.Writer, run workerRun) stream {
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", run.ID, w.id, run.ID)
	return stream{out}
}

func (s stream) raw(text string) error {
	_, err := fmt.Fprintf(s.out, "%x\r\n%s\r\n", len(text), text)
	return err
}

func (s stream) event(id int, data string) error {
	return s.raw(fmt.Sprintf("id: %d\ndata: %s\n\n", id, data))
}

func (s stream) end() error {
	_, err := io.WriteString(s.out, "0\r\n\r\n")
	return err
}

// streamEvents is the number of events of a whole stream.
const streamEvents = 10
