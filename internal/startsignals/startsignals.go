// Package startsignals receives the signals of a process from its start on. Until a program registers for a signal, the signal ends it;
// a package without other imports is initialized before the libraries of the program, which take some milliseconds.
package startsignals

import (
	"os"
	"os/signal"
	"syscall"
)

// buffer is the number of signals that are kept until they are read; further ones are dropped.
const buffer = 16

var received = register()

// register registers for the signals that stop a process or let it reload, and ignores SIGPIPE: a reader of the log that goes away must not
// end the process.
func register() chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, buffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Received returns the signals SIGTERM, SIGINT and SIGHUP that the process has received.
func Received() <-chan os.Signal { return received }
