package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// digestInterval is the interval of target digests to entries that have another
	// primary.
	digestInterval = 100 * time.Millisecond
	// countInterval is the interval at which the list of replicas and the counts of
	// entries are updated.
	countInterval = time.Second
	// relayedEntryTTL is how long an entry that is linked to another replica is
	// counted after its last report. It covers one lost report.
	relayedEntryTTL = 2*ReportRelayInterval + 5*time.Second
)

// ReceiveFollow registers which messages an entry wants and sends those it lacks.
func (f *Fleet) ReceiveFollow(c *link.Conn, w wire.Follow) {
	f.post(func() {
		s := f.sessions[c]
		if s == nil {
			return
		}
		hasNotices := s.takesNotices(c.Peer(), "")
		s.wantsTargets, s.isPrimary, s.sentIndex = true, w.Primary, w.Have
		f.send(c, wire.KindReplicas, f.replicaList())
		if s.isPrimary {
			f.send(c, wire.KindEntries, f.entryCounts())
		} else {
			f.announceTargets(c)
		}
		if s.isPrimary && !hasNotices {
			f.catchUpNotices(c)
		}
		f.pushTargets(c, s)
	})
}

// pushTargets sends the rows of the targets that the entry does not have yet.
func (f *Fleet) pushTargets(c *link.Conn, s *session) {
	targets := f.View().Targets
	if !s.wantsTargets || !s.isPrimary || targets.Index <= s.sentIndex {
		return
	}
	f.send(c, wire.KindTargets, targets.Since(s.sentIndex))
	s.sentIndex = targets.Index
}

// pushAllTargets sends each entry the rows of the targets that it does not have
// yet. Most entries lack the same rows, which are encoded once.
func (f *Fleet) pushAllTargets() {
	targets := f.View().Targets
	updates := map[uint64]link.Encoded{} // by the index that the entry has
	for c, s := range f.sessions {
		if !s.wantsTargets || !s.isPrimary || targets.Index <= s.sentIndex {
			continue
		}
		update, ok := updates[s.sentIndex]
		if !ok {
			var err error
			if update, err = link.Encode(wire.KindTargets, targets.Since(s.sentIndex)); err != nil {
				f.Log.WithField(logs.FieldError, err.Error()).Error("targets not encoded")
				return
			}
			updates[s.sentIndex] = update
		}
		f.logSendError(c, c.SendEncoded(update))
		s.sentIndex = targets.Index
	}
}

// pushDigests sends the index of the targets to entries that have another primary,
// so that they notice if their primary lags.
func (f *Fleet) pushDigests(now time.Time) {
	index := f.View().Targets.Index
	if index == f.digestIndex || now.Sub(f.digestTime) < digestInterval {
		return
	}
	f.digestIndex, f.digestTime = index, now
	for c, s := range f.sessions {
		if s.wantsTargets && !s.isPrimary {
			f.announceTargets(c)
		}
	}
}

// announceTargets sends the index of the targets to an entry.
func (f *Fleet) announceTargets(c *link.Conn) {
	targets := f.View().Targets
	f.send(c, wire.KindTargets, targets.Since(targets.Index))
}

// replicaList returns the members of the control group with their region and data
// centre, if known.
func (f *Fleet) replicaList() wire.Replicas {
	byAddress := map[netip.AddrPort]*Instance{}
	for _, i := range f.instances {
		if i.Role == wire.RoleControl {
			byAddress[i.Peer] = i
		}
	}
	var out wire.Replicas
	for _, address := range f.ReplicaAddresses() {
		r := wire.Replica{Address: address}
		if i := byAddress[address]; i != nil {
			r.Region, r.DataCentre = i.Region, i.DataCentre
		}
		out.List = append(out.List, r)
	}
	slices.SortFunc(out.List, func(a, b wire.Replica) int { return a.Address.Compare(b.Address) })
	return out
}

// entryCounts returns the number of live entries of each region.
func (f *Fleet) entryCounts() wire.Entries {
	now := f.Clock()
	out := wire.Entries{Regions: map[string]int{}}
	linked := map[string]bool{}
	for c := range f.sessions {
		linked[c.Peer().Instance] = true
	}
	for name, i := range f.instances {
		if i.Role == wire.RoleEntry && i.Region != "" && (linked[name] || now.Sub(i.LastSeen) < relayedEntryTTL) {
			out.Regions[i.Region]++
		}
	}
	return out
}

// pushCounts sends the list of replicas and the counts of entries if they changed.
func (f *Fleet) pushCounts(now time.Time) {
	if now.Sub(f.lastCount) < countInterval {
		return
	}
	f.lastCount = now
	replicas, entries := f.replicaList(), f.entryCounts()
	newReplicas := !slices.Equal(replicas.List, f.lastReplicas.List)
	newEntries := !maps.Equal(entries.Regions, f.lastEntries.Regions)
	f.lastReplicas, f.lastEntries = replicas, entries
	for c, s := range f.sessions {
		if s.wantsTargets && newReplicas {
			f.send(c, wire.KindReplicas, replicas)
		}
		if s.wantsTargets && s.isPrimary && newEntries {
			f.send(c, wire.KindEntries, entries)
		}
	}
}
