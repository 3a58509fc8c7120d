package gossip

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Option configures a Core.
type Option func(*Core)

// WithSelf sets the name, the start time (incarnation) and the description of
// this instance.
func WithSelf(name string, start time.Time, body Instance) Option {
	return func(c *Core) { c.name, c.start, c.body = name, start, body }
}

// WithSeeds sets the peer addresses that are dialled while no instance is
// linked, and at rejoinInterval otherwise, which rejoins parts of the fleet after
// a partition.
func WithSeeds(seeds ...netip.AddrPort) Option { return func(c *Core) { c.seeds = seeds } }

// WithRand sets the source of randomness, which selects the seed or lost instance
// to dial.
func WithRand(r *rand.Rand) Option { return func(c *Core) { c.rand = r } }

// WithNewer replaces Newer as the order of versions, for tests that show which
// faults versions prevent.
func WithNewer(newer func(stored, arrived *Record) bool) Option {
	return func(c *Core) { c.newer = newer }
}

// WithTombstones sets which dead records are kept as tombstones; by default
// all are. It is for tests that show which faults tombstones prevent.
func WithTombstones(keep func(*Record) bool) Option { return func(c *Core) { c.keepTombstone = keep } }
