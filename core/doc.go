// Package core is the root of the library shared by the galenalock programs.
//
// Decision packages below it are pure: they take the time as an argument,
// start no goroutine and open no socket. The programs carry messages and bytes
// between them.
//
// The packages by concern:
//
//   - routing: route, health, eject, susp, quota, poison, reach, pool
//   - limits: limit, room, bucket, budget, refuse
//   - retries: retry, claim
//   - membership: enrol, roster, gossip, quorum, drain
//   - state: raft, group, store, state, delta, update, spec
//   - recovery: chart, boot, pace
//   - between processes: wire, link, mesh, mutate
//   - plumbing: auth, certs, conf, logs, meter, prog, serve, value
package core

// Version is the version of the protocols between the programs.
const Version = 1
