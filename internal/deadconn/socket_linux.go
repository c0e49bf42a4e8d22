package deadconn

import (
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, in milliseconds; package syscall lacks it.
const tcpUserTimeout = 0x12

func setUserTimeout(connection *net.TCPConn, timeout time.Duration) error {
	control, err := connection.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = control.Control(func(descriptor uintptr) {
		sockErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return os.NewSyscallError("setsockopt", sockErr)
}

// sendStateOf reads the send state of a socket from the kernel.
func sendStateOf(descriptor uintptr) (SendState, error) {
	info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return SendState{}, os.NewSyscallError("getsockopt", err)
	}
	bytes, err := unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ)
	if err != nil {
		return SendState{}, os.NewSyscallError("ioctl", err)
	}
	return SendState{
		Unacknowledged:     bytes > 0,
		BytesAcknowledged:  info.Bytes_acked,
		SinceLastSend:      time.Duration(info.Last_data_sent) * time.Millisecond,
		RoundTrip:          time.Duration(info.Rtt) * time.Microsecond,
		RoundTripVariation: time.Duration(info.Rttvar) * time.Microsecond,
	}, nil
}
