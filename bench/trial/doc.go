// Package trial is a discrete-event simulation that runs the decision cores
// against queue models of targets in virtual time and compares them with a
// naive variant.
//
// A Scenario describes a fleet, its load and its faults. Run simulates it once
// from a seed, with the naive or the real variant; Compare simulates both over
// several seeds. Both variants see the same arrivals. The model has entries,
// targets with slots and a queue, constant network delays, and one leader. The
// replicated log and the network are modelled as delays, and knowledge of the
// targets is exact; gossip and connections are not modelled.
//
// The naive variant uses round robin over all targets, health checks (which
// pass, as in a gray failure), a fixed threshold per entry (five bad answers in
// a row eject a target for 30 s), three attempts per repeatable request, and no
// queue.
package trial
