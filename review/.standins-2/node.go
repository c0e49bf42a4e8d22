package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// bench is one play of a case: nodes as processes of the build of the deploy file, and stand-ins in this process.
type bench struct {
	folder  string // of the case
	trouble bool
	network string // first three octets of the addresses of this play
	memory  int    // memoryMb of each node
	temp    string
	store   *metadataStore
	nodes   []*node

	mutex  sync.Mutex
	record *os.File
	start  time.Time
	broken []string
}

// played is the play of this process. Clients and workers note there what they send, answer and run.
var played *bench

// node is one process of the system.
type node struct {
	name, front, ready string
	command            *exec.Cmd
}

// note writes a line to record.txt.
func (b *bench) note(format string, values ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, values...))
}

// violated notes that the rule was broken.
func (b *bench) violated(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	b.note("BROKEN: %s", text)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.broken = append(b.broken, text)
}

func newBench(folder string) (*bench, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	b := &bench{folder: folder, trouble: os.Getenv("TROUBLE") != "0", memory: 314, record: record, temp: temp, start: time.Now()}
	for range 20 {
		b.network = fmt.Sprintf("127.%d.%d", 30+rand.IntN(60), rand.IntN(250))
		probe, err := net.Listen("tcp", b.ip(1)+":7391")
		if err == nil {
			probe.Close()
			break
		}
	}
	played = b
	b.store, err = startStore(b.ip(1))
	return b, err
}

func (b *bench) ip(number int) string { return fmt.Sprintf("%s.%d", b.network, number) }

// config writes a configuration as the operator does and returns when it was acknowledged.
func (b *bench) config(version int, routes, services []map[string]any) time.Time {
	return b.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 4000, "idleTimeoutMs": 20000},
	})
}

// worker writes the entry of a worker as the worker does.
func (b *bench) entry(w *worker, service, zone, state string, born int64) time.Time {
	value := map[string]any{"service": service, "address": w.address, "zone": zone, "version": "v1", "slots": 12, "state": state, "coldLeftMs": 0, "callSeq": 0}
	if born > 0 {
		value["born"] = born
	}
	return b.store.put("servers", w.id, value)
}

var zoneNames = []string{"shaamar", "zuunkharaa", "sukhbaatar", "mandal"}

// startNode starts a node with the command of the deploy file and settings as on a front machine of usan-tuuh.
func (b *bench) startNode(number int) error {
	address := b.ip(10 + number)
	name := fmt.Sprintf("front-%s-1", zoneNames[number%len(zoneNames)])
	zones := map[string]string{}
	for _, zone := range zoneNames {
		zones[zone] = "selenge"
	}
	n := &node{name: name, front: address + ":8149", ready: address + ":8141"}
	settings, _ := json.Marshal(map[string]any{
		"nodeName": name, "role": "node", "machineClass": "front", "serves": []string{"front"}, "ip": address,
		"zone": zoneNames[number%len(zoneNames)], "region": "selenge", "zones": zones,
		"listen":    map[string]string{"front": n.front, "ready": n.ready, "control": address + ":8144"},
		"portRange": []int{7380, 7390}, "bootstrap": true, "heartbeatMs": 1200, "discovery": "platform", "entry": "vip",
		"limits":    map[string]any{"cpuShare": 0.688, "cores": 1, "memoryMb": b.memory, "maxFds": 8200, "linkMbps": 1000.0, "diskMb": 0},
		"contracts": []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.8, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "recoveryS": 12, "passMs": 120, "deadlineS": 10, "settleMs": 1000},
		"provider": map[string]any{"address": b.store.address, "form": "table", "writesPerS": 800, "readsPerS": 2000, "tx_ms": 5.0, "part_writes_per_s": 200,
			"row_bytes": 65536, "across": false, "historyS": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0},
	})
	path := filepath.Join(b.temp, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	root, words := filepath.Join(b.folder, "..", ".."), deployCommand(filepath.Join(b.folder, "..", "..", "deploy", "system.toml"))
	n.command = exec.Command(filepath.Join(root, words[0]), words[1:]...)
	n.command.Dir = root
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.temp, "CLOVERWHEEL_SETTINGS=" + path}
	output, err := os.Create(filepath.Join(b.temp, name+".log"))
	if err != nil {
		return err
	}
	n.command.Stdout, n.command.Stderr = output, output
	if err := n.command.Start(); err != nil {
		return err
	}
	b.nodes = append(b.nodes, n)
	return nil
}

// deployCommand returns the command of the role in the deploy file.
func deployCommand(path string) []string {
	text, _ := os.ReadFile(path)
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	return []string{"target/cloverwheeld", "serve"}
}

// awaitReady waits until all nodes say that they are ready, and as long again as contactMs.
func (b *bench) awaitReady() error {
	deadline := time.Now().Add(25 * time.Second)
	for _, n := range b.nodes {
		for {
			answer, err := http.Get("http://" + n.ready + "/cloverwheel/ready")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %v", n.name, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(3500 * time.Millisecond)
	return nil
}

// stop ends all processes that this play started.
func (b *bench) stop() {
	for _, n := range b.nodes {
		n.command.Process.Kill()
		n.command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(b.temp)
	} else {
		fmt.Println("logs in", b.temp)
	}
	b.record.Close()
}
