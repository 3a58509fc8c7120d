// Package roster is the registry of targets on one instance.
//
// A target announces itself to any instance. Changes are published through
// package gossip; renewals stop at the two owners of the target, which are
// found by rendezvous hashing over the ready entries of its data centre and
// publish the end of a target that no longer renews.
package roster
