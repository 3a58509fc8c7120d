// Package mesh steps gossip cores of a whole fleet in one process through
// virtual time, with links that lose, delay, repeat and reorder messages.
package mesh
