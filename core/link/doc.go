// Package link carries messages between processes over WebSocket.
//
// Each side first sends a Hello. Both sides send pings, and a side that receives
// nothing for the receive timeout closes the link, so both sides drop a path
// that works in one direction only. Plain messages are handled sequentially in
// order of arrival, so a handler that blocks on a full queue applies
// backpressure to the sender. Calls are handled concurrently up to a limit.
package link
