package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

func must(err error) {
	if err != nil {
		notRun(err.Error())
	}
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var current *system

func notRun(reason string) {
	fmt.Fprintln(os.Stderr, "could not run:", reason)
	if current != nil {
		current.note("could not run: %s", reason)
		current.stop()
	}
	os.Exit(exitNotRun)
}

// system is a small deployment: a store, workers, nodes, and the record of what happens.
type system struct {
	root, folder string
	zones        []string
	store        *store
	nodes        []*node
	workers      []*worker
	processes    []*exec.Cmd // workers that are processes of their own
	peers        int
	trouble      bool
	begun        time.Time

	mutex  sync.Mutex
	record *os.File
}

// newSystem prepares a deployment whose record is written to a file.
func newSystem(root, record string, trouble bool) *system {
	folder, err := os.MkdirTemp("", "review-")
	must(err)
	file, err := os.Create(record)
	must(err)
	s := &system{root: root, folder: folder, zones: []string{"shaamar", "zuunkharaa", "sukhbaatar"}, trouble: trouble, begun: time.Now(), record: file}
	current = s
	s.store = newStore("127.0.0.1")
	return s
}

// note writes a line of the record.
func (s *system) note(format string, words ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(s.begun).Seconds()) + fmt.Sprintf(format, words...)
	fmt.Fprintln(s.record, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

// configure writes a configuration as the operator.
func (s *system) configure(configuration map[string]any) {
	text, err := json.Marshal(configuration)
	must(err)
	s.store.put(row{rowKey: rowKey{Table: "op", Key: "config"}, Value: text})
	s.note("operator: configuration version %v", configuration["version"])
}

// startNodes starts that many nodes and waits until they are ready.
func (s *system) startNodes(count int) {
	for number := range count {
		n := s.newNode(number)
		s.nodes = append(s.nodes, n)
		n.start()
	}
	for _, n := range s.nodes {
		n.awaitReady()
	}
}

// stop ends all processes and removes the temporary folder.
func (s *system) stop() {
	for _, w := range s.workers {
		w.crash()
	}
	for _, process := range s.processes {
		_ = process.Process.Kill()
	}
	for _, n := range s.nodes {
		if n.command != nil {
			n.kill()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o700)
		names, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
		for _, name := range names {
			text, _ := os.ReadFile(name)
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(name)), text, 0o600)
		}
	}
	_ = os.RemoveAll(s.folder)
	_ = s.record.Close()
}

// finish ends the case with its verdict.
func (s *system) finish(broken []string) {
	for _, each := range broken {
		s.note("BROKEN %s", each)
		fmt.Println("BROKEN", each)
	}
	if len(broken) == 0 {
		s.note("HELD")
		fmt.Println("HELD")
	}
	s.stop()
	if len(broken) > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
