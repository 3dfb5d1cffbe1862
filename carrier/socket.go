package carrier

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may stay unacknowledged before the
// connection is dropped.
const userTimeout = 2500 // milliseconds

// dropSilent sets the limit on unacknowledged bytes of a new connection.
func dropSilent(_, _ string, socket syscall.RawConn) error {
	var set error
	err := socket.Control(func(descriptor uintptr) {
		set = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
	})
	if err != nil {
		return err
	}
	return set
}

// nothingToRead reports whether a connection is open and has no bytes to read.
// It does not wait.
func nothingToRead(socket net.Conn) bool {
	connection, ok := socket.(syscall.Conn)
	if !ok {
		return true // no way to look, as in tests over pipes
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var look [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, err := unix.Recvfrom(int(descriptor), look[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
