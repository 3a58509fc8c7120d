// Package link carries messages between processes over WebSocket.
//
// Each side sends a Hello first. Both sides ping, and a side that receives
// nothing for a while closes the link, so that a path that works in one
// direction only is given up by both. Plain messages are handled one after
// another in the order of arrival, which lets a full queue behind the handler
// slow the sender down. Calls are handled concurrently up to a bound.
package link
