package httpconn

import (
	"net"
	"syscall"
)

// quiet reports whether an idle connection is open and has nothing to read:
// bytes that wait on it belong to no request, and an end means that the peer
// has closed it.
func quiet(connection net.Conn) bool {
	raw, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, received := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = received == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
