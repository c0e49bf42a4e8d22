//go:build !linux

package silence

import (
	"errors"
	"net"
	"time"
)

// setUnacknowledged leaves the bound to the kernel; keep-alive probes are set all the same.
func setUnacknowledged(*net.TCPConn, time.Duration) error { return nil }

func arrivalOf(uintptr) (Arrival, error) {
	return Arrival{}, errors.New("this kernel does not tell what is unacknowledged; run on Linux")
}
