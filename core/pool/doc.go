// Package pool is an HTTP/1.1 client that pools connections to targets and never
// resends a request.
//
// It writes requests itself and reads responses with net/http. http.Transport is
// not used: when a reused connection fails, it resends a GET, HEAD, OPTIONS or
// TRACE request, or any request that carries an Idempotency-Key, if it can send
// the body again; and it does not report whether a byte of a failed request was
// sent.
//
// A connection is reused only after its request was written in full, its
// response was read in full and nothing else arrived on it. An unsolicited
// response is therefore discarded together with its connection.
package pool
