package pool

import (
	"errors"
	"fmt"
	"net/netip"
)

// DialError is a connection that could not be opened.
type DialError struct {
	Target netip.AddrPort
	Err    error
}

// Error names the target and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Target, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// WriteError is a request that could not be written in full.
type WriteError struct {
	Target netip.AddrPort
	Sent   int64 // bytes that the operating system accepted
	Err    error
}

// Error names the target, the bytes sent and the cause.
func (e *WriteError) Error() string {
	return fmt.Sprintf("write to %s after %d bytes: %v", e.Target, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// SourceError is a request whose body could not be read to its end, so that
// its connection was closed before the target saw a complete body.
type SourceError struct {
	Target netip.AddrPort
	Err    error
}

// Error names the target and the cause.
func (e *SourceError) Error() string { return fmt.Sprintf("request body for %s: %v", e.Target, e.Err) }

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Err }

// ReadError is a response that did not arrive or did not arrive in full.
type ReadError struct {
	Target netip.AddrPort
	Reused bool // the connection had carried a request before
	Err    error
}

// Error names the target and the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("response of %s: %v", e.Target, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// HeldError is a request that Ready stopped.
type HeldError struct{ Err error }

// Error gives the cause.
func (e *HeldError) Error() string { return "held back: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *HeldError) Unwrap() error { return e.Err }

// RequestError is a request that cannot be expressed in HTTP/1.1.
type RequestError struct{ Reason string }

// Error gives the reason.
func (e *RequestError) Error() string { return "request: " + e.Reason }

// ErrUnframed is a response body that ends with the connection, so that a
// complete body cannot be told from a truncated one.
var ErrUnframed = errors.New("the response has neither a length nor chunks")

// ErrUpgrade is a switch of protocols that was not asked for.
var ErrUpgrade = errors.New("the target switched protocols")

// ErrHead is a response head that exceeds the limit.
var ErrHead = errors.New("the response head is too long")

// ErrInformational is an excess of 1xx responses.
var ErrInformational = errors.New("too many informational responses")

// Unsent reports whether the error proves that no byte of the request left
// this process.
func Unsent(err error) bool {
	var dial *DialError
	var write *WriteError
	var request *RequestError
	var held *HeldError
	switch {
	case errors.As(err, &dial), errors.As(err, &request), errors.As(err, &held):
		return true
	case errors.As(err, &write):
		return write.Sent == 0
	}
	return false
}
