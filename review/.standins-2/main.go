// Command standins plays a case of the review: it starts nodes as processes, with small stand-ins for clients, workers and the
// platform's store. Usage: standins CASE FOLDER. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the plays by name.
var cases = map[string]func(*bench) error{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return 2
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		return 2
	}
	b, err := newBench(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.stop()
	ended := time.AfterFunc(118*time.Second, func() {
		b.note("took too long")
		b.stop()
		os.Exit(2)
	})
	defer ended.Stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		b.stop()
		os.Exit(2)
	}()
	b.note("trouble: %v", b.trouble)
	if err := cases[os.Args[1]](b); err != nil {
		b.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if len(b.broken) > 0 {
		b.note("the rule was broken (%d)", len(b.broken))
		fmt.Println("broken:", b.broken[0])
		return 1
	}
	b.note("the rule held")
	fmt.Println("held")
	return 0
}
