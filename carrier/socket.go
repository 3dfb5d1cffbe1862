package carrier

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis is how long sent bytes may stay unacknowledged before the system
// drops the connection.
const userTimeoutMillis = 2500

// setUserTimeout sets TCP_USER_TIMEOUT on a new connection.
func setUserTimeout(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// PeerClosed reports whether the other end of a connection has closed it and there is
// nothing left to read. It does not wait.
func PeerClosed(socket net.Conn) bool {
	n, err := peek(socket)
	return err == nil && n == 0 || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, errNoSocket)
}

// PeerLeft reports whether the other end of a connection has closed it, also if there is
// something left to read. It does not wait.
func PeerLeft(socket net.Conn) bool {
	return poll(socket, unix.POLLRDHUP)
}

// readable reports whether a read would return at once, with bytes, the end of the connection
// or its error. Unlike HasUnread it leaves the error of a reset, which a socket reports once.
func readable(socket net.Conn) bool { return poll(socket, unix.POLLIN|unix.POLLRDHUP) }

// poll reports whether one of the events, a hang-up or an error has occurred on a connection.
// It does not wait, and reads nothing.
func poll(socket net.Conn, events int16) bool {
	connection, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	occurred := false
	err = raw.Control(func(descriptor uintptr) {
		descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: events}}
		n, pollErr := unix.Poll(descriptors, 0)
		occurred = pollErr == nil && n > 0 && descriptors[0].Revents&(events|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && occurred
}

// HasUnread reports whether a connection has unread bytes, of TLS records if it is
// encrypted. It does not wait.
func HasUnread(socket net.Conn) bool {
	if encrypted, ok := socket.(interface{ NetConn() net.Conn }); ok {
		socket = encrypted.NetConn()
	}
	n, err := peek(socket)
	return err == nil && n > 0
}

// errNoSocket means that a connection has no descriptor, as in tests over pipes.
var errNoSocket = errors.New("the connection has no socket")

// peek returns the number of bytes that can be read at once, at most one; zero
// without an error is the end of the connection.
func peek(socket net.Conn) (int, error) {
	connection, ok := socket.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return 0, err
	}
	var buffer [1]byte
	n := 0
	var peekErr error
	err = raw.Control(func(descriptor uintptr) {
		n, _, peekErr = unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.Join(err, peekErr)
}

// openAndEmpty reports whether a connection is open and has no bytes to read. It
// does not wait.
func openAndEmpty(socket net.Conn) bool {
	_, err := peek(socket)
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, errNoSocket)
}
