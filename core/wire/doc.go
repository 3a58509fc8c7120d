// Package wire defines the messages between the processes of the fleet and
// their CBOR encoding.
package wire
