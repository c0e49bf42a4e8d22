package server

import (
	"bytes"
	stdlog "log"

	"github.com/apex/log"
)

// httpErrorWriter forwards the errors that net/http logs itself, such as a panic in a handler,
// whose client got no response.
type httpErrorWriter struct{ logger log.Interface }

// newErrorLog returns a logger for http.Server.ErrorLog.
func newErrorLog(logger log.Interface) *stdlog.Logger {
	return stdlog.New(httpErrorWriter{logger}, "", 0)
}

// Write implements io.Writer. The first line of a report is the message, the rest the stack.
func (h httpErrorWriter) Write(report []byte) (int, error) {
	message, stack, _ := bytes.Cut(bytes.TrimSpace(report), []byte("\n"))
	h.logger.WithField("where", string(stack)).WithField("what", string(message)).Error("net/http reported an error")
	return len(report), nil
}
