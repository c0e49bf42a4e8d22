package server

import (
	"bytes"
	stdlog "log"

	"github.com/apex/log"
)

// httpErrors logs what net/http reports by itself, such as a handler that panicked:
// its client got neither an answer nor a refusal.
type httpErrors struct{ logger log.Interface }

// newErrorLog returns a logger for an http.Server.
func newErrorLog(logger log.Interface) *stdlog.Logger {
	return stdlog.New(httpErrors{logger}, "", 0)
}

// Write implements io.Writer. A report's first line says what happened, the others
// where.
func (h httpErrors) Write(report []byte) (int, error) {
	what, where, _ := bytes.Cut(bytes.TrimSpace(report), []byte("\n"))
	h.logger.WithField("where", string(where)).WithField("what", string(what)).Error("net/http reports an error")
	return len(report), nil
}
