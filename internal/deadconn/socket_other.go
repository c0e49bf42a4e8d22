//go:build !linux

package deadconn

import (
	"errors"
	"net"
	"time"
)

// setUserTimeout does nothing: the option exists on Linux only. Keep-alive probes still apply.
func setUserTimeout(*net.TCPConn, time.Duration) error { return nil }

func sendStateOf(uintptr) (SendState, error) {
	return SendState{}, errors.New("the state of unacknowledged bytes is unavailable on this platform; run on Linux")
}
