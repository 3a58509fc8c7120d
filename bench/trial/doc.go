// Package trial steps the decision cores against queue models of targets in
// virtual time, and measures them beside a naive variant.
//
// One Scene describes a fleet, its load and its faults. Run plays it once with
// the naive or the real variant from a seed; Compare plays both over several
// seeds. The variants see the same arrivals. The model has entries, targets
// with slots and a queue, constant network delays, and one leader; it is not a
// model of a cluster: replicated log, gossip and connections are delays.
//
// The naive variant: round robin over all targets, health checks (which pass,
// as in a gray failure), a fixed threshold per entry (five bad answers in a row
// take a target out for 30 s), three attempts per repeatable request, no queue.
package trial
