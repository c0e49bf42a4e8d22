// Command standins runs the cases of the review: stand-ins of clients, workers and the platform's store, and the project's own program as
// separate processes.
//
//	standins CASE ROOT RECORD
package main

import (
	"fmt"
	"os"
	"runtime"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*system) (broken bool, err error){
	"second-answer": secondAnswer,
	"long-turn":     longTurn,
	"silent-worker": silentWorker,
	"long-answer":   longAnswer,
	"torn-turn":     tornTurn,
}

func main() {
	runtime.LockOSThread() // the kernel kills the nodes when the thread that started them ends
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT RECORD")
		return exitNotRun
	}
	s, err := newSystem(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.stop()
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		s.note("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	s.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
