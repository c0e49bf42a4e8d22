package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is a process of the project.
type node struct {
	name, ip, front, ready string
	command                *exec.Cmd
	ended                  chan struct{}
	settings               string
	system                 *system
}

// deployedCommand returns the words of `run` in the deploy file.
func deployedCommand(root string) []string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	must(err)
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(rest, "\""))
		}
	}
	panic("deploy/system.toml has no run")
}

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	must(err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// newNode prepares a node with settings as on a page.
func (s *system) newNode(number int) *node {
	zone := s.zones[number%len(s.zones)]
	ip := fmt.Sprintf("127.0.1.%d", number+1)
	n := &node{name: fmt.Sprintf("front-%s-%d", zone, number+1), ip: ip, system: s}
	n.front, n.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	zones := map[string]string{}
	for _, each := range s.zones {
		zones[each] = "selenge"
	}
	peers := freePort(ip)
	fields := map[string]any{
		"nodeName": n.name, "role": "node", "machineClass": "front", "serves": []string{"front"}, "ip": ip, "zone": zone, "region": "selenge", "zones": zones,
		"listen": map[string]string{"front": n.front, "ready": n.ready}, "portRange": []int{s.peerPort(peers), s.peerPort(peers) + 15}, "seeds": []string{}, "bootstrap": true,
		"limits": map[string]any{"cpuShare": 0.688, "cores": 1, "memoryMb": 314, "maxFds": 8200, "linkMbps": 1000.0, "diskMb": 0}, "dataDir": nil,
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.8, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "deadlineS": 10, "settleMs": 1000},
		"provider": map[string]any{"address": s.store.address, "form": "table", "writesPerS": 800, "readsPerS": 2000, "tx_ms": 5.0, "part_writes_per_s": 200,
			"row_bytes": 65536, "across": false, "historyS": 20},
	}
	text, err := json.Marshal(fields)
	must(err)
	n.settings = filepath.Join(s.folder, n.name+".json")
	must(os.WriteFile(n.settings, text, 0o600))
	return n
}

// peerPort returns one port for the nodes to talk to each other, the same on all machines.
func (s *system) peerPort(free int) int {
	if s.peers == 0 {
		s.peers = free
	}
	return s.peers
}

// start starts the process and waits until it is ready.
func (n *node) start() {
	words := deployedCommand(n.system.root)
	n.command = exec.Command(filepath.Join(n.system.root, words[0]), words[1:]...)
	n.command.Env = []string{"CLOVERWHEEL_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH")}
	log, err := os.OpenFile(filepath.Join(n.system.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.command.Start())
	n.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}(n.command, n.ended)
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady() {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/cloverwheel/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	notRun("node " + n.name + " did not become ready")
}

// signal sends a signal to the process, which this program started.
func (n *node) signal(signal syscall.Signal) { _ = n.command.Process.Signal(signal) }

// kill ends the process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}
