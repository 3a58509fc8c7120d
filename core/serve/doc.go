// Package serve provides HTTP servers with limits on body size, header size,
// timeouts and connections. It also provides the router and the problem+json
// error responses (RFC 9457) of administration interfaces.
package serve
