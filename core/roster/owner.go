package roster

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// owners is the number of owners of a target. With two, one failure loses no
	// renewal and each announcement costs two forwarded messages.
	owners = 2
	// recent is how long an instance that disappeared counts among those of its
	// data centre. Expiry needs a majority of them, so that an instance that is
	// cut off does not declare every target gone and spread that afterwards.
	recent = 10 * time.Minute
	// unknown is a generation that no data centre has.
	unknown = ^uint64(0)
)

// member is an instance.
type member struct {
	name       string
	hash       uint64
	dataCentre string
	address    netip.AddrPort
	start      time.Time
	ready      bool      // an entry that may own targets
	gone       time.Time // when it disappeared without notice
	dead       bool
}

// centre is what the roster knows of the instances of a data centre.
type centre struct {
	ready      []*member // sorted by name
	generation uint32    // raised whenever ready changes
}

func mix(x uint64) uint64 { // finalizer of SplitMix64
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// owners returns the members with the highest rendezvous scores for a key.
func (c *centre) owners(key uint64) [owners]*member {
	var best [owners]*member
	var scores [owners]uint64
	for _, m := range c.ready {
		score := mix(key + m.hash)
		candidate := m
		for i := range best {
			if best[i] == nil || score > scores[i] {
				best[i], candidate = candidate, best[i]
				scores[i], score = score, scores[i]
			}
			if candidate == nil {
				break
			}
		}
	}
	return best
}

// place follows the record of an instance.
func (r *Roster) place(now time.Time, record *gossip.Record) {
	body, err := record.Instance()
	if err != nil {
		return
	}
	m := r.members[record.Key]
	if m == nil {
		m = &member{name: record.Key, hash: xxhash.Sum64String(record.Key), dataCentre: body.DataCentre}
		r.members[record.Key] = m
	}
	if record.State == gossip.StateSuspect && record.Start.Equal(m.start) {
		return // ownership does not move for a suspicion
	}
	wasReady, was := m.ready, m.dataCentre
	m.dataCentre, m.address, m.start = body.DataCentre, body.Peer, record.Start
	m.ready = body.Role == wire.RoleEntry && record.State == gossip.StateReady
	m.dead = record.State.Dead()
	m.gone = time.Time{}
	if record.State == gossip.StateGone {
		m.gone = now
	}
	moved := was != m.dataCentre
	if wasReady && (!m.ready || moved) {
		r.centre(was).remove(m)
		r.all.remove(m)
	}
	if m.ready && (!wasReady || moved) {
		r.centre(m.dataCentre).add(m)
		r.all.add(m)
	}
}

func (c *centre) add(m *member) {
	c.ready = append(c.ready, m)
	slices.SortFunc(c.ready, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	c.generation++
}

func (c *centre) remove(m *member) {
	c.ready = slices.DeleteFunc(c.ready, func(o *member) bool { return o == m })
	c.generation++
}

// fallback reports whether a data centre has no ready entry, so that entries of
// others own its targets. They end only targets whose renewals they hear: after
// a partition the far side still has its own owners.
func (r *Roster) fallback(dataCentre string) bool { return len(r.centre(dataCentre).ready) == 0 }

// owners returns the owners of a target.
func (r *Roster) owners(dataCentre string, key uint64) [owners]*member {
	if r.fallback(dataCentre) {
		return r.all.owners(key)
	}
	return r.centre(dataCentre).owners(key)
}

// generation changes whenever the owners of a data centre's targets may change.
func (r *Roster) generation(dataCentre string) uint64 {
	generation := uint64(r.centre(dataCentre).generation) << 32
	if r.fallback(dataCentre) {
		generation |= uint64(r.all.generation)
	}
	return generation
}

func (r *Roster) centre(name string) *centre {
	c := r.centres[name]
	if c == nil {
		c = new(centre)
		r.centres[name] = c
	}
	return c
}

// majority reports whether most of the instances lately known in a data centre,
// or in all when it has none, are alive.
func (r *Roster) majority(now time.Time, dataCentre string) bool {
	alive, known := 0, 0
	fallback := r.fallback(dataCentre)
	for _, m := range r.members {
		switch {
		case m.dataCentre != dataCentre && !fallback:
		case !m.dead:
			alive++
			known++
		case !m.gone.IsZero() && now.Sub(m.gone) < recent:
			known++
		}
	}
	return 2*alive > known
}

// forget removes instances that ended long ago.
func (r *Roster) forget(now time.Time) {
	for name, m := range r.members {
		if m.dead && now.Sub(m.gone) >= recent {
			delete(r.members, name)
		}
	}
}
