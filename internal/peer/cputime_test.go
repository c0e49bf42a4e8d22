package peer

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
