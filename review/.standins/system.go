package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Ports of each machine. Machines have loopback addresses of their own.
const (
	portFront   = 8149
	portReady   = 8141
	portControl = 8144
	portPeers   = 7380
	portMetrics = 7391
	portStore   = 8142
	portWorker  = 8080
)

var zoneNames = []string{"shaamar", "zuunkharaa", "sukhbaatar"}

// system is a small deployment on loopback addresses.
type system struct {
	root    string // of the repository
	folder  string // temporary
	prefix  string // of the loopback addresses: 127.x.y
	trouble bool
	table   *table
	workers []*worker
	nodes   []*node

	mutex  sync.Mutex
	record *bufio.Writer
	begun  time.Time
}

// node is a machine of the system with its process.
type node struct {
	system  *system
	name    string
	ip      string
	zone    string
	command *exec.Cmd
	ended   chan struct{}
}

func newSystem(root, recordPath string) (*system, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "cloverwheel-review")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", table: newTable(), record: bufio.NewWriter(file), begun: time.Now()}
	s.prefix, err = freePrefix()
	s.note("trouble: %v", s.trouble)
	return s, err
}

// freePrefix returns a prefix of loopback addresses at which the ports are free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{portFront, portReady, portPeers, portMetrics, portStore, portWorker} {
			for _, host := range []int{1, 2, 3, 4, 100, 101, 102, 103, 200} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
				if err != nil {
					free = false
					break
				}
				listener.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// note writes a line to the record.
func (s *system) note(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(s.begun).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Fprintln(s.record, line)
	s.record.Flush()
}

func (s *system) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", s.prefix, host, port) }

// startStore starts the store and writes the configuration.
func (s *system) startStore(configuration any) error {
	s.table.put("op", "config", configuration)
	return s.table.serve(s.address(200, portStore))
}

// addWorkers starts workers of a service, the first at host 100+from.
func (s *system) addWorkers(service string, from, count, slots int, answer func(*worker, http.ResponseWriter, *http.Request, []byte)) error {
	for index := from; index < from+count; index++ {
		w := &worker{id: fmt.Sprintf("i-%08x", rand.Uint32()), address: s.address(100+index, portWorker), service: service, zone: zoneNames[index%len(zoneNames)], slots: slots, answer: answer}
		if err := w.start(s.table); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	return nil
}

// addNodes starts the nodes for the first time.
func (s *system) addNodes(count int) error {
	for index := range count {
		n := &node{system: s, name: fmt.Sprintf("front-%s-%d", zoneNames[index%len(zoneNames)], 1+index/len(zoneNames)), ip: fmt.Sprintf("%s.%d", s.prefix, index+1), zone: zoneNames[index%len(zoneNames)]}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings of a node, as DEPLOY.md shows them.
func (n *node) settings(bootstrap bool) map[string]any {
	s := n.system
	zones := map[string]string{}
	for _, zone := range zoneNames {
		zones[zone] = "selenge"
	}
	return map[string]any{
		"nodeName": n.name, "role": "node", "machineClass": "front", "serves": []string{"front"}, "ip": n.ip, "zone": n.zone, "region": "selenge", "zones": zones,
		"listen":    map[string]string{"front": n.at(portFront), "ready": n.at(portReady), "control": n.at(portControl)},
		"portRange": []int{portPeers, portPeers + 15}, "seeds": []string{}, "bootstrap": bootstrap, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.688, "cores": 1, "memoryMb": 314, "maxFds": 8200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.8, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
			"rollbackSlackMs": 250, "outerMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "deadlineS": 10, "settleMs": 1000},
		"provider": map[string]any{"address": s.address(200, portStore), "form": "table", "writesPerS": 800, "readsPerS": 2000, "tx_ms": 5.0, "part_writes_per_s": 200, "row_bytes": 65536,
			"across": false, "historyS": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0},
	}
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// start starts the node's process with the command of deploy/system.toml.
func (n *node) start(bootstrap bool) error {
	encoded, err := json.MarshalIndent(n.settings(bootstrap), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(n.system.folder, n.name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(n.system.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	n.command = exec.Command("target/cloverwheeld", "serve", "--metrics-port", fmt.Sprint(portMetrics))
	n.command.Dir = n.system.root
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLOVERWHEEL_SETTINGS=" + path}
	n.command.Stdout, n.command.Stderr = output, output
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // main keeps its thread
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(n.command, n.ended)
	n.system.note("%s started, process %d", n.name, n.command.Process.Pid)
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(which syscall.Signal) {
	n.system.note("%s gets signal %v", n.name, which)
	_ = n.command.Process.Signal(which)
}

// kill kills the node's process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// ready asks the node whether it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + n.at(portReady) + "/cloverwheel/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (s *system) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		all := true
		for _, n := range s.nodes {
			all = all && n.ready()
		}
		if all {
			s.note("all nodes are ready")
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the nodes did not become ready")
}

// stop ends all processes that the case started.
func (s *system) stop() {
	for _, n := range s.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Kill()
			<-n.ended
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs in", s.folder)
	}
}

// request is a request of a client.
type request struct {
	id, method, target string
	header             map[string]string
	body               []byte
	deadline           time.Duration
}

// answer is what a client got.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	whole      bool
	err        error
	took       time.Duration
	lastGap    time.Duration // from the last bytes to the end
	retryAfter time.Duration
}

const hostName = "ficu95.example"

// send sends a request on a connection of its own and reads the answer. A stream is given up after a gap of two seconds, four times the
// objective or eight times the longest pause, whichever is the longest: 2.4 s here.
func (s *system) send(n *node, q request) answer {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	outgoing, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.at(portFront)+q.target, strings.NewReader(string(q.body)))
	if err != nil {
		return answer{err: err}
	}
	outgoing.Host = hostName
	outgoing.Header.Set("Request-Id", q.id)
	outgoing.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for name, value := range q.header {
		outgoing.Header.Set(name, value)
	}
	got, err := transport.RoundTrip(outgoing)
	if err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	defer got.Body.Close()
	result := answer{status: got.StatusCode, header: got.Header}
	last := time.Now()
	buffer := make([]byte, 32<<10)
	for {
		count, err := got.Body.Read(buffer)
		if count > 0 {
			last = time.Now()
			result.body = append(result.body, buffer[:count]...)
		}
		if errors.Is(err, io.EOF) {
			result.whole = true
			break
		}
		if err != nil {
			result.err = err
			break
		}
	}
	result.took, result.lastGap = time.Since(begun), time.Since(last)
	if text := got.Header.Get("Retry-After"); text != "" {
		var seconds float64
		if _, err := fmt.Sscan(text, &seconds); err == nil {
			result.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	return result
}

// describe returns a short description of an answer for the record.
func (a answer) describe() string {
	text := fmt.Sprintf("status %d, %d bytes, whole %v, after %d ms", a.status, len(a.body), a.whole, a.took.Milliseconds())
	if a.err != nil {
		text += ", error: " + a.err.Error()
	}
	if a.status >= 400 && len(a.body) < 400 {
		text += ": " + string(a.body)
	}
	return text
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// isWholeStream reports whether an answer is a complete stream of the request with that id.
func (a answer) isWholeStream(id string) bool {
	if a.status != http.StatusOK || !a.whole {
		return false
	}
	for event := 1; event <= streamEvents; event++ {
		if !strings.Contains(string(a.body), "data: "+eventData(id, event)+"\n") {
			return false
		}
	}
	return true
}

// configuration returns a configuration with the given routes.
func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConns": 160, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 12, "kvCapacity": 490370, "kvTokenBytes": 327680, "linkMbps": 2900000.0, "migrations": true, "backups": true, "stride": 25, "most": 12,
					"pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "wuno96b", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// dialogRoute is a route whose turns the system keeps.
func dialogRoute(resumable bool) map[string]any {
	return map[string]any{"name": "r-2b9wu3f", "host": hostName, "pathPrefix": "/pufi791/", "kind": "streaming", "timeoutMs": 3000, "targetMs": 200, "priority": 0, "service": "huvo11a", "maxAttempts": 2,
		"retain": true, "retentionS": 60.0, "sticky": true, "resumable": resumable, "gapTargetMs": 300}
}
