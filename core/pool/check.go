package pool

import (
	"errors"
	"net"
	"syscall"
)

// openWithoutData reports whether an idle connection is open and has nothing to
// read. Bytes on an idle connection belong to no request. A connection without a
// file descriptor passes unchecked.
func openWithoutData(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var peek error
	var n int
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peek = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && n <= 0 && (errors.Is(peek, syscall.EAGAIN) || errors.Is(peek, syscall.EWOULDBLOCK))
}

// wasReset reports whether the connection was reset by the target, after a read that
// returned the end of the stream. The operating system reports a reset once. If a write
// of the request body got that error, a read sees the end, as after an orderly close. A
// connection without a file descriptor passes unchecked; TLS reports a missing end itself.
func wasReset(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	var send error
	// Sending no bytes fails if the connection is closed in both directions.
	err = raw.Control(func(fd uintptr) {
		send = syscall.Sendto(int(fd), nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil)
	})
	return err != nil || errors.Is(send, syscall.EPIPE) || errors.Is(send, syscall.ECONNRESET)
}
