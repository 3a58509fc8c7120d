// Package roster implements the registry of targets on one instance.
//
// A target announces itself to any instance. Changes are published through
// package gossip. Renewals that change nothing are only forwarded to the two
// owners of the target, which are selected by rendezvous hashing among the ready
// entries of its data centre. The owners publish the end of a target that no
// longer renews its lease.
package roster
