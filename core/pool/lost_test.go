package pool_test

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/pool"
)

// Guards against malformed responses and refused connections that count as lost
// connections, and against lost ones that do not.
func TestConnectionLost(t *testing.T) {
	for _, c := range []struct {
		err  error
		lost bool
	}{
		{&pool.ReadError{Err: io.ErrUnexpectedEOF}, true},
		{&pool.ReadError{Err: fmt.Errorf("read tcp: %w", syscall.ECONNRESET)}, true},
		{&pool.WriteError{Sent: 10, Err: syscall.EPIPE}, true},
		{&pool.WriteError{Sent: 0, Err: syscall.EPIPE}, false},
		{&pool.ReadError{Err: errors.New("malformed HTTP response")}, false},
		{&pool.ReadError{Err: pool.ErrHeadTooLong}, false},
		{&pool.DialError{Err: syscall.ECONNREFUSED}, false},
		{nil, false},
	} {
		is.New(t).Equal(pool.ConnectionLost(c.err), c.lost) // for c.err
	}
}
