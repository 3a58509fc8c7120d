package gossip

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Option configures a core.
type Option func(*Core)

// WithSelf sets the name, the incarnation and the description of the own instance.
func WithSelf(name string, start time.Time, body Instance) Option {
	return func(c *Core) { c.name, c.start, c.body = name, start, body }
}

// WithSeeds sets the peer addresses that are dialled when no instance is linked
// and, now and then, to join parts of the fleet that a partition separated.
func WithSeeds(seeds ...netip.AddrPort) Option { return func(c *Core) { c.seeds = seeds } }

// WithRand sets the source of randomness.
func WithRand(r *rand.Rand) Option { return func(c *Core) { c.rand = r } }

// WithNewer replaces Newer. Tests use it to show what versions prevent.
func WithNewer(newer func(stored, arrived *Record) bool) Option {
	return func(c *Core) { c.newer = newer }
}

// WithBury replaces the rule which dead records are kept as tombstones (all).
// Tests use it to show what tombstones prevent.
func WithBury(bury func(*Record) bool) Option { return func(c *Core) { c.bury = bury } }
