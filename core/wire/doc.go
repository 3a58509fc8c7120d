// Package wire defines the messages that processes of a fleet exchange, and their
// CBOR encoding.
package wire
