package silence

import (
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is the option TCP_USER_TIMEOUT, in milliseconds; package syscall lacks it.
const tcpUserTimeout = 0x12

func setUnacknowledged(connection *net.TCPConn, bound time.Duration) error {
	control, err := connection.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = control.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(bound.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return os.NewSyscallError("setsockopt", failure)
}

// arrivalOf asks the kernel.
func arrivalOf(descriptor uintptr) (Arrival, error) {
	info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return Arrival{}, os.NewSyscallError("getsockopt", err)
	}
	bytes, err := unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ)
	if err != nil {
		return Arrival{}, os.NewSyscallError("ioctl", err)
	}
	return Arrival{
		Waiting:      bytes > 0,
		Acknowledged: info.Bytes_acked,
		SinceSent:    time.Duration(info.Last_data_sent) * time.Millisecond,
		RoundTrip:    time.Duration(info.Rtt) * time.Microsecond,
		Variation:    time.Duration(info.Rttvar) * time.Microsecond,
	}, nil
}
