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
	// ownerCount is the number of owners of a target. With two, one failure loses
	// no renewal, and each announcement costs at most two forwarded messages.
	ownerCount = 2
	// goneRetention is how long a gone instance counts as a member of its data
	// centre. Expiry of targets requires that a majority of the members is alive,
	// so that an instance that is cut off does not declare every target gone and
	// publish that when it reconnects.
	goneRetention = 10 * time.Minute
	// unknownGeneration is a generation that no data centre has.
	unknownGeneration = ^uint64(0)
)

// member is an instance known from gossip.
type member struct {
	name       string
	hash       uint64
	dataCentre string
	address    netip.AddrPort
	start      time.Time
	ready      bool      // an entry that may own targets
	goneAt     time.Time // when it was declared gone; zero otherwise
	dead       bool
}

// memberSet holds the ready entries among which owners are selected.
type memberSet struct {
	ready      []*member // sorted by name
	generation uint32    // incremented whenever ready changes
}

func mix(x uint64) uint64 { // finalizer of SplitMix64
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// owners returns the members with the highest rendezvous scores for a key.
func (s *memberSet) owners(key uint64) [ownerCount]*member {
	var best [ownerCount]*member
	var scores [ownerCount]uint64
	for _, m := range s.ready {
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

// updateMember applies a changed record of an instance.
func (r *Roster) updateMember(now time.Time, record *gossip.Record) {
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
		return // a suspicion does not change ownership
	}
	wasReady, oldDataCentre := m.ready, m.dataCentre
	m.dataCentre, m.address, m.start = body.DataCentre, body.Peer, record.Start
	m.ready = body.Role == wire.RoleEntry && record.State == gossip.StateReady
	m.dead = record.State.Dead()
	m.goneAt = time.Time{}
	if record.State == gossip.StateGone {
		m.goneAt = now
	}
	moved := oldDataCentre != m.dataCentre
	if wasReady && (!m.ready || moved) {
		r.membersOf(oldDataCentre).remove(m)
		r.allEntries.remove(m)
	}
	if m.ready && (!wasReady || moved) {
		r.membersOf(m.dataCentre).add(m)
		r.allEntries.add(m)
	}
}

func (s *memberSet) add(m *member) {
	s.ready = append(s.ready, m)
	slices.SortFunc(s.ready, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	s.generation++
}

func (s *memberSet) remove(m *member) {
	s.ready = slices.DeleteFunc(s.ready, func(o *member) bool { return o == m })
	s.generation++
}

// usesFallback reports whether a data centre has no ready entry, so that entries
// of other data centres own its targets. These end only targets whose renewals
// have reached them: after a partition the other side still has its own owners.
func (r *Roster) usesFallback(dataCentre string) bool { return len(r.membersOf(dataCentre).ready) == 0 }

// owners returns the owners of a target.
func (r *Roster) owners(dataCentre string, key uint64) [ownerCount]*member {
	if r.usesFallback(dataCentre) {
		return r.allEntries.owners(key)
	}
	return r.membersOf(dataCentre).owners(key)
}

// generation returns a number that changes whenever the owners of the targets of
// a data centre may change.
func (r *Roster) generation(dataCentre string) uint64 {
	generation := uint64(r.membersOf(dataCentre).generation) << 32
	if r.usesFallback(dataCentre) {
		generation |= uint64(r.allEntries.generation)
	}
	return generation
}

func (r *Roster) membersOf(name string) *memberSet {
	s := r.byDataCentre[name]
	if s == nil {
		s = new(memberSet)
		r.byDataCentre[name] = s
	}
	return s
}

// hasMajority reports whether most of the recent members of a data centre, or of
// all data centres if it has no ready entry, are alive.
func (r *Roster) hasMajority(now time.Time, dataCentre string) bool {
	alive, known := 0, 0
	fallback := r.usesFallback(dataCentre)
	for _, m := range r.members {
		switch {
		case m.dataCentre != dataCentre && !fallback:
		case !m.dead:
			alive++
			known++
		case !m.goneAt.IsZero() && now.Sub(m.goneAt) < goneRetention:
			known++
		}
	}
	return 2*alive > known
}

// forgetMembers removes dead instances: gone ones after goneRetention, those that
// left at once.
func (r *Roster) forgetMembers(now time.Time) {
	for name, m := range r.members {
		if m.dead && now.Sub(m.goneAt) >= goneRetention {
			delete(r.members, name)
		}
	}
}
