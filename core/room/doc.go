// Package room estimates the free capacity of a service at one entry and decides
// which requests use it.
//
// Entries queue few requests themselves: requests queue at the targets, which do
// not know priorities and shed requests when their queue is full. An Estimator
// therefore collects what the responses of the targets say: requests at the target,
// slots, time taken, and whether the request was shed. A Pacer limits the rate at
// which the entry admits requests while the targets queue them, so that the
// requests that have to wait do so at the entry, where they can be ordered.
//
// The admitted share of the arrivals is a function of the utilization that the
// targets report, and has no memory of its own. The queues of the targets integrate
// the difference of arrivals and capacity, so a proportional rule is stable and
// settles where admissions equal the capacity. All entries see about the same
// utilization and need no messages between each other.
//
// Targets are in tiers by their distance. The utilization is that of the nearest tier, and
// of further ones if they are full too. While a nearer tier is full, requests may be
// admitted to one that has room, or to one of which nothing is known to learn its load.
//
// Neither type uses a clock or locks: now is an argument, and the owner (package
// limit) serializes the calls.
package room
