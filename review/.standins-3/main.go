// Command standins3 plays the cases of the review: each starts the project's own processes beside stand-ins of the store, the workers and the
// clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*system){"resumed": resumedTurns, "comments": comments, "unframed": unframed, "returning": returning}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		workerProcess(os.Args[2])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	s := newSystem(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		notRun("the case was ended by a signal")
	}()
	time.AfterFunc(110*time.Second, func() { notRun("the case took too long") })
	cases[os.Args[1]](s)
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, fields map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": "log.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 3000, "targetMs": 200, "priority": 0, "service": service,
		"maxAttempts": 2, "retain": false, "retentionS": 60.0, "sticky": true, "resumable": false, "gapTargetMs": 300}
	for field, value := range fields {
		r[field] = value
	}
	return r
}

// configuration returns a configuration with a model service and a plain one.
func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "agents", "healthPath": "/health", "maxConns": 160, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 12, "kvCapacity": 490370, "stride": 25, "models": []map[string]any{{"name": "m"}}}},
			{"name": "desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

// turnHeaders are the headers of a turn of a program.
func turnHeaders(program, previous string) map[string]string {
	headers := map[string]string{"Model": "m", "Token-Usage": "300,575", "Program-Id": program, "Session-Id": program + "1", "Finish-Ms": "20000",
		"Token-Budget": "46000", "Prompt-Prefix": "5c1e07a2:200," + program + ":100"}
	if previous != "" {
		headers["Previous-Turn"] = previous
	}
	return headers
}
