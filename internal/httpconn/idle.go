package httpconn

import (
	"net"
	"syscall"
)

// isIdle reports whether a connection is open and has no data to read. Unread data
// belongs to no request, and end of file means that the peer has closed the connection.
func isIdle(connection net.Conn) bool {
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
