// Package gossip replicates versioned records of instances and targets over an
// overlay of links between all processes of the fleet.
//
// Core performs no I/O: its methods take the current time and return actions
// for the caller to carry out. Changes are flooded over the links. Every second
// the dialling side of each link sends a digest of all its records; when digests
// differ, the two sides exchange bucket digests and then the records that a lost
// message left out.
package gossip
