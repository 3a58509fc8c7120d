// Package pool keeps connections to targets and sends each request exactly
// once.
//
// It writes HTTP/1.1 requests itself and reads responses with net/http.
// http.Transport is not used: it resends a request that carries an
// Idempotency-Key, and any request without a body, when a reused connection
// fails, and it does not tell whether a byte of a failed request was sent.
//
// A connection is reused only after its request was written in full, its
// response was read in full and nothing else arrived on it. A response that
// nobody waits for is therefore dropped together with its connection.
package pool
