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
