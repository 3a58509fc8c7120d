// Package mesh simulates a whole fleet of gossip cores in one process and in
// virtual time, with links that lose, delay, duplicate and reorder messages.
package mesh
