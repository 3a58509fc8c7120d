package pool

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"syscall"
)

// DialError reports a connection that could not be opened.
type DialError struct {
	Target netip.AddrPort
	Err    error
}

// Error returns the target and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Target, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// WriteError reports a request that could not be written in full.
type WriteError struct {
	Target netip.AddrPort
	Sent   int64 // bytes accepted by the operating system
	Err    error
}

// Error returns the target, the number of bytes sent and the cause.
func (e *WriteError) Error() string {
	return fmt.Sprintf("write to %s after %d bytes: %v", e.Target, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// RequestBodyError reports a request body that could not be read to its end. Its
// connection was closed before the target received a complete body.
type RequestBodyError struct {
	Target netip.AddrPort
	Err    error
}

// Error returns the target and the cause.
func (e *RequestBodyError) Error() string {
	return fmt.Sprintf("request body for %s: %v", e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *RequestBodyError) Unwrap() error { return e.Err }

// ReadError reports a response that did not arrive or did not arrive in full.
type ReadError struct {
	Target netip.AddrPort
	Reused bool // the connection had carried a request before
	Err    error
}

// Error returns the target and the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("read response from %s: %v", e.Target, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// BeforeSendError reports a request that was not sent because BeforeSend returned
// an error.
type BeforeSendError struct{ Err error }

// Error returns the cause.
func (e *BeforeSendError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BeforeSendError) Unwrap() error { return e.Err }

// RequestError reports a request that is not valid in HTTP/1.1.
type RequestError struct{ Reason string }

// Error returns the reason.
func (e *RequestError) Error() string { return "invalid request: " + e.Reason }

// ErrCloseDelimited reports a response body that is delimited by the close of the
// connection, so a truncated body is not distinguishable from a complete one.
var ErrCloseDelimited = errors.New("response has neither a content length nor chunked encoding")

// ErrUpgrade reports a protocol switch that was not requested.
var ErrUpgrade = errors.New("target sent 101 Switching Protocols without an upgrade request")

// ErrHeadTooLong reports a response head that exceeds the limit.
var ErrHeadTooLong = errors.New("response head is too long")

// ErrInvalidStatus reports a response whose status lies outside 100 to 599, which RFC
// 9110 calls invalid.
var ErrInvalidStatus = errors.New("response has an invalid status")

// ErrTooManyInformational reports more 1xx responses than are accepted.
var ErrTooManyInformational = errors.New("too many informational responses")

// Unsent reports whether the error proves that no byte of the request left this
// process.
func Unsent(err error) bool {
	var dial *DialError
	var write *WriteError
	var request *RequestError
	var notSent *BeforeSendError
	switch {
	case errors.As(err, &dial), errors.As(err, &request), errors.As(err, &notSent):
		return true
	case errors.As(err, &write):
		return write.Sent == 0
	}
	return false
}

// ConnectionLost reports whether the connection ended after bytes of the request
// were sent and before the response was complete. Responses that are malformed are
// not included.
func ConnectionLost(err error) bool {
	var read *ReadError
	var write *WriteError
	if !errors.As(err, &read) && (!errors.As(err, &write) || write.Sent == 0) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
