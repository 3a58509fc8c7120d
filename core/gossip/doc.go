// Package gossip replicates versioned records of instances and targets over an
// overlay of links between all processes of the fleet.
//
// The core is pure: methods take the time and return actions. Changes are
// flooded over the links; every second the dialling side of a link compares a
// digest of all records, and an exchange of bucket digests repairs what a lost
// message left out.
package gossip
