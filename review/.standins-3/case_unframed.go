package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	unframedEvents   = 10
	unframedPrograms = 6
	unframedReceipts = 18  // plain requests that run at the same time
	receiptPieces    = 8   // in which a worker writes a receipt
	receiptPiece     = 100 // bytes
	unframedKillAt   = 4   // events of the first stream at a worker when its process is killed
)

// workerProcess is the main function of a worker that is a process of its own: it prints its address, then a line for each request that it runs.
// Its answers have no length and end with their connection.
func workerProcess(id string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(exitNotRun)
	}
	fmt.Println(listener.Addr())
	var lines sync.Mutex
	say := func(format string, words ...any) {
		lines.Lock()
		defer lines.Unlock()
		fmt.Printf(format+"\n", words...)
	}
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go serveUnframed(connection, id, say)
	}
}

// serveUnframed answers one request on a connection.
func serveUnframed(connection net.Conn, id string, say func(string, ...any)) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	body := new(strings.Builder)
	if _, err := bufio.NewReader(request.Body).WriteTo(body); err != nil {
		return
	}
	name := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != id {
		fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", name, id)
		return
	}
	say("runs %s last event %q body %q", name, request.Header.Get("Last-Event-Id"), body.String())
	if strings.HasPrefix(request.URL.Path, "/receipt/") {
		writeReceipt(connection, name, id, say)
		return
	}
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: 3e1b.07.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", name, id)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= unframedEvents; number++ {
		time.Sleep(80 * time.Millisecond)
		if _, err := fmt.Fprintf(connection, "id: %d\ndata: %s\n\n", number, eventData(body.String(), number)); err != nil {
			say("%s ends after event %d, the connection is closed", name, number-1)
			return
		}
	}
	say("%s is whole", name)
}

// writeReceipt writes a plain answer without a length, piece by piece.
func writeReceipt(connection net.Conn, name, id string, say func(string, ...any)) {
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: 3e1b.07.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", name, id)
	for range receiptPieces {
		time.Sleep(60 * time.Millisecond)
		if _, err := io.WriteString(connection, strings.Repeat("r", receiptPiece)); err != nil {
			say("%s ends early, the connection is closed", name)
			return
		}
	}
	say("%s is whole", name)
}

// startWorkerProcess starts a worker as a process of its own and lists it.
func (s *system) startWorkerProcess(id, zone string) *exec.Cmd {
	program, err := os.Executable()
	must(err)
	command := exec.Command(program, "worker", id)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	must(err)
	must(command.Start())
	reader := bufio.NewReader(output)
	address, err := reader.ReadString('\n')
	must(err)
	go func() {
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				_ = command.Wait()
				return
			}
			s.note("worker %s: %s", id, strings.TrimSpace(line))
		}
	}()
	w := &worker{id: id, service: "agents", zone: zone, version: "v1", address: strings.TrimSpace(address), system: s, state: "ready", crashed: true}
	w.list()
	s.processes = append(s.processes, command)
	return command
}

// unframed: workers answer without a length. One of them is killed in the middle of its streams, which may be resumed.
func unframed(s *system) {
	s.configure(configuration(1, route("check", "/check/", "streaming", "agents", map[string]any{"resumable": true}),
		route("receipt", "/receipt/", "unsafe", "agents", map[string]any{"maxAttempts": 1})))
	workers := map[string]*exec.Cmd{}
	for number := range 6 {
		id := fmt.Sprintf("i-%d", number)
		workers[id] = s.startWorkerProcess(id, s.zones[number%3])
	}
	s.startNodes(3)
	time.Sleep(12 * time.Second) // on the sites, traffic starts 10 s after the machines do
	var once sync.Once
	answers := make([]answer, unframedPrograms)
	var clients sync.WaitGroup
	for number := range answers {
		clients.Go(func() {
			answers[number] = s.send(call{node: s.nodes[number%3], host: "log.example", path: "/check/a", body: fmt.Sprintf("check %d", number),
				headers: turnHeaders(fmt.Sprintf("3fa81%x", number), ""), deadline: 3 * time.Second, onStampedEvent: func(stamp string, events int) {
					if events != unframedKillAt || !s.trouble {
						return
					}
					once.Do(func() {
						id := stamp[strings.LastIndex(stamp, ".")+1:]
						s.note("worker %s is killed", id)
						_ = workers[id].Process.Kill()
					})
				}})
		})
	}
	receipts := make([]answer, unframedReceipts)
	for number := range receipts {
		clients.Go(func() {
			receipts[number] = s.send(call{node: s.nodes[number%3], host: "log.example", path: "/receipt/a", body: fmt.Sprintf("lot %d", number), deadline: 2 * time.Second})
		})
	}
	clients.Wait()
	var broken []string
	for _, a := range receipts {
		if a.status == 200 && a.whole && len(a.body) < receiptPieces*receiptPiece {
			broken = append(broken, fmt.Sprintf("MIXED: the receipt %s is a success with %d of its %d bytes", a.id, len(a.body), receiptPieces*receiptPiece))
		}
	}
	for _, a := range answers {
		if a.status == 200 && a.whole && len(a.events) < unframedEvents {
			broken = append(broken, fmt.Sprintf("ORDER, MIXED: the stream of %s ends as complete after %d of %d events", a.id, len(a.events), unframedEvents))
		}
	}
	s.finish(broken)
}
