package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// digestEvery paces the digests to entries that have another primary.
	digestEvery = 100 * time.Millisecond
	// countEvery paces the lists of replicas and the counts of entries.
	countEvery = time.Second
	// countedFor is how long an entry that another replica reported counts; it
	// covers a lost report.
	countedFor = 2*passOnEvery + 5*time.Second
)

// Follow takes what an entry wants and sends what it lacks.
func (f *Fleet) Follow(c *link.Conn, w wire.Follow) {
	f.post(func() {
		s := f.sessions[c]
		if s == nil {
			return
		}
		s.follows, s.primary, s.sent = true, w.Primary, w.Have
		f.send(c, wire.KindReplicas, f.replicas())
		if s.primary {
			f.send(c, wire.KindEntries, f.entries())
		}
		f.pushTargets(c, s)
	})
}

// pushTargets sends the rows that a session lacks.
func (f *Fleet) pushTargets(c *link.Conn, s *session) {
	targets := f.View().Targets
	if !s.follows || !s.primary || targets.Index <= s.sent {
		return
	}
	f.send(c, wire.KindTargets, targets.Since(s.sent))
	s.sent = targets.Index
}

// digest tells entries with another primary how far this replica is.
func (f *Fleet) digest(now time.Time) {
	index := f.View().Targets.Index
	if index == f.digested || now.Sub(f.digestedAt) < digestEvery {
		return
	}
	f.digested, f.digestedAt = index, now
	targets := f.View().Targets
	for c, s := range f.sessions {
		if s.follows && !s.primary {
			f.send(c, wire.KindTargets, targets.Since(index))
		}
	}
}

// replicas lists the members of the control group with their places, as far as
// they are known.
func (f *Fleet) replicas() wire.Replicas {
	places := map[netip.AddrPort]*Instance{}
	for _, i := range f.instances {
		if i.Role == wire.RoleControl {
			places[i.Peer] = i
		}
	}
	var out wire.Replicas
	for _, address := range f.Members() {
		r := wire.Replica{Address: address}
		if i := places[address]; i != nil {
			r.Region, r.DataCentre = i.Region, i.DataCentre
		}
		out.List = append(out.List, r)
	}
	slices.SortFunc(out.List, func(a, b wire.Replica) int { return a.Address.Compare(b.Address) })
	return out
}

// entries counts the live entries by region.
func (f *Fleet) entries() wire.Entries {
	now := f.Clock()
	out := wire.Entries{Regions: map[string]int{}}
	linked := map[string]bool{}
	for c := range f.sessions {
		linked[c.Peer().Instance] = true
	}
	for name, i := range f.instances {
		if i.Role == wire.RoleEntry && i.Region != "" && (linked[name] || now.Sub(i.Heard) < countedFor) {
			out.Regions[i.Region]++
		}
	}
	return out
}

// recount tells the entries what has changed among replicas and entries.
func (f *Fleet) recount(now time.Time) {
	if now.Sub(f.counted) < countEvery {
		return
	}
	f.counted = now
	replicas, entries := f.replicas(), f.entries()
	newReplicas := !slices.Equal(replicas.List, f.lastReplicas.List)
	newEntries := !maps.Equal(entries.Regions, f.lastEntries.Regions)
	f.lastReplicas, f.lastEntries = replicas, entries
	for c, s := range f.sessions {
		if s.follows && newReplicas {
			f.send(c, wire.KindReplicas, replicas)
		}
		if s.follows && s.primary && newEntries {
			f.send(c, wire.KindEntries, entries)
		}
	}
}

// Suspects passes what an entry has seen on to the other entries of its region.
// What another replica passed on goes to the entries linked here only.
func (f *Fleet) Suspects(c *link.Conn, s wire.Suspects, direct bool) {
	f.count(func() {
		for other, session := range f.sessions {
			if other != c && session.follows && session.primary && other.Peer().Region == s.Region {
				f.send(other, wire.KindSuspects, s)
			}
		}
		if direct {
			f.PassSuspects(s)
		}
	})
}
