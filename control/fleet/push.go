package fleet

import (
	"bytes"
	"context"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// installRevisions copies new revisions from the view to the store. Entries need the
// digests of keys only, and keep a copy of the text on their disk.
func (f *Fleet) installRevisions() {
	v := f.View()
	newest, current := v.Newest().Number, f.revisions.Number()
	if newest <= current {
		return
	}
	for number := max(current+1, newest-min(newest, maxInstallBacklog)+1); number <= newest; number++ {
		if text, ok := v.Text(number); ok {
			f.revisions.Install(number, spec.Redact(text))
		}
	}
	f.installedAt = f.Clock()
}

// pushInterval is the least time between two pushes. While many targets announce
// themselves at once, one push then carries several of them.
const pushInterval = 20 * time.Millisecond

// schedulePush pushes the changes of the view now, or later if the last push was
// less than pushInterval ago.
func (f *Fleet) schedulePush() {
	if wait := waitUntil(f.Clock(), f.lastPush.Add(pushInterval), pushInterval); wait > 0 {
		f.pushTimer.Reset(wait)
		return
	}
	f.pushChanges()
}

// pushChanges sends what has changed in the view to the linked instances.
func (f *Fleet) pushChanges() {
	f.lastPush = f.Clock()
	f.installRevisions()
	f.pushRevisions()
	f.pushAllTargets()
	f.pushOrders()
}

// pushRevisions sends the newest revision to each entry to which it has been neither
// sent nor announced. What one entry has got says nothing of the others.
func (f *Fleet) pushRevisions() {
	pushed := 0
	for c, s := range f.sessions {
		if s.isEntry && s.announced < f.revisions.Number() {
			f.pushRevision(c, s)
			pushed++
		}
	}
	if pushed > 0 {
		f.Log.WithField("revision", f.revisions.Number()).WithField("entries", pushed).
			WithField("age", f.Clock().Sub(f.View().Newest().Time).String()).Info("revision pushed")
	}
}

// pushRevision sends the newest revision as a splice if the revision of the peer is
// known and this replica is its primary or it has none. Other peers receive a
// digest and pull the revision.
func (f *Fleet) pushRevision(c *link.Conn, s *session) {
	digest := f.revisions.Digest()
	r := digest
	if s.peerRevision.Have != 0 && (s.isPrimary || !s.wantsTargets) {
		answer, err := f.revisions.Answer(s.peerRevision)
		if err != nil {
			f.Log.WithField(logs.FieldError, err.Error()).Error("splice not created")
			return
		}
		r = answer
		s.peerRevision = wire.Pull{Have: digest.Number, Checksum: digest.Checksum}
	}
	s.announced = digest.Number
	f.send(c, wire.KindRevision, r)
}

// announceRevision sends the number of the newest revision to an entry.
func (f *Fleet) announceRevision(c *link.Conn, s *session) {
	s.announced = f.revisions.Number()
	f.send(c, wire.KindRevision, f.revisions.Digest())
}

// currentOrders returns the orders for the current view and time.
func (f *Fleet) currentOrders() wire.Orders {
	v, now := f.View(), f.Clock()
	o := wire.Orders{Index: v.Index}
	if v.Time.After(now) {
		now = v.Time
	}
	for _, l := range v.Leases {
		remaining := min(l.Expires.Sub(now), f.observedLeases[leaseKeyOf(l)].remaining(f.Clock()))
		if l.Current && remaining > 0 {
			o.Grants = append(o.Grants, wire.Grant{
				Service: l.Service, Target: l.Target.Address, Start: l.Target.Start, Remaining: remaining, Score: l.Target.Score,
			})
		}
	}
	for _, d := range v.Drains {
		o.Drains = append(o.Drains, d.Name)
	}
	o.Watch = f.currentWatchList()
	return o
}

// pushOrders sends the orders to all entries if they differ from those sent last.
// The remaining time of leases is not compared.
func (f *Fleet) pushOrders() {
	f.observeLeases()
	o := f.currentOrders()
	f.shareWatchList(o)
	stableOrders := o
	stableOrders.Index = 0
	stableOrders.Grants = nil
	leases := []state.Lease{}
	for _, l := range f.View().Leases {
		if l.Current {
			leases = append(leases, l)
		}
	}
	encoded, err := wire.Encode([]any{stableOrders, leases})
	if err != nil {
		f.Log.WithField(logs.FieldError, err.Error()).Error("orders not encoded")
		return
	}
	if bytes.Equal(encoded, f.sentOrders) {
		return
	}
	f.sentOrders = encoded
	for c, s := range f.sessions {
		if s.isEntry {
			f.send(c, wire.KindOrders, o)
		}
	}
}

// tick runs the periodic work: decisions, orders, digests and counts. Every
// refreshInterval it also expires replicated state and removes instances that are
// neither linked nor reported.
func (f *Fleet) tick(ctx context.Context) {
	now := f.Clock()
	f.publishInstances()
	f.proposeDecisions(ctx, now)
	f.pushOrders()
	f.pushDigests(now)
	f.pushCounts(now)
	f.ticks++
	if f.ticks%int(ticksPerRefresh) != 0 {
		return
	}
	f.remindLaggingEntries(now)
	due := f.View().NextExpiry
	if f.IsLeader() && !due.IsZero() && !due.After(now) {
		f.proposeInBackground(ctx, []state.Command{{Tick: &state.Tick{}}}, false)
	}
	for name, i := range f.instances {
		if now.Sub(i.LastSeen) > instanceRetention && !f.isLinked(name) {
			delete(f.instances, name)
			delete(f.relayedReports, name)
			f.instancesChanged = true
		}
	}
}

func (f *Fleet) isLinked(name string) bool {
	for c := range f.sessions {
		if c.Peer().Instance == name {
			return true
		}
	}
	return false
}

// proposeDecisions asks the hook for commands and proposes them, unless those of
// the previous call are still pending.
func (f *Fleet) proposeDecisions(ctx context.Context, now time.Time) {
	if f.hooks.Decide == nil || f.decisionPending {
		return
	}
	if commands := f.hooks.Decide(now, f.IsLeader(), f.View()); len(commands) > 0 {
		f.decisionPending = true
		f.proposeInBackground(ctx, commands, true)
	}
}

// proposeInBackground proposes commands one after another in a separate goroutine,
// since a lost majority would block the goroutine of Run. The outcomes of decisions
// are handed to the hook.
func (f *Fleet) proposeInBackground(ctx context.Context, commands []state.Command, isDecision bool) {
	go func() {
		for _, c := range commands {
			proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
			result, err := f.Propose(proposeCtx, c)
			cancel()
			if isDecision && f.hooks.CommandDone != nil {
				f.post(func() { f.hooks.CommandDone(f.Clock(), c, result, err) })
			}
		}
		if isDecision {
			f.post(func() { f.decisionPending = false })
		}
	}()
}

// proposeTimeout limits a proposal. It is shorter than a lease, so that a decision
// is not applied long after it was made.
const proposeTimeout = 3 * time.Second
