package roster

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	scanInterval = time.Second
	// askInterval is the time between requests to the other owner when the lease
	// of a target has expired.
	askInterval = 2 * time.Second
	// tombstoneAge is how long the roster rejects renewals of a target that ended.
	// It is twice the maximum TTL. Package gossip keeps tombstones longer.
	tombstoneAge = 2 * MaxTTL
)

// trackedTarget is the state of one target in a roster.
type trackedTarget struct {
	target      Target
	record      *gossip.Record // newest version
	hash        uint64
	ttl         time.Duration
	seq         uint64    // highest sequence number of the incarnation
	renewedHere bool      // this instance has received a renewal of the incarnation
	owned       bool      // this instance is an owner
	asking      bool      // the other owner was asked for a newer renewal
	expires     time.Time // when the lease ends if owned, when the target is removed if dead
	generation  uint64    // of the owners of the data centre when owned was computed
}

// Roster is the registry of targets on one instance. It is not safe for
// concurrent use.
type Roster struct {
	self            string
	newer           func(stored, arrived *gossip.Record) bool
	targets         map[string]*trackedTarget
	services        map[string]map[string]*trackedTarget
	members         map[string]*member
	byDataCentre    map[string]*memberSet
	changedServices map[string]struct{}
	lastSnapshot    *Snapshot
	nextScan        time.Time
	lastAnnounced   *gossip.Record
	allEntries      memberSet // ready entries of all data centres
}

// Option configures a Roster.
type Option func(*Roster)

// WithSelf sets the name of this instance.
func WithSelf(name string) Option { return func(r *Roster) { r.self = name } }

// WithNewer replaces gossip.Newer as the order of versions, for tests that show
// which faults versions prevent.
func WithNewer(newer func(stored, arrived *gossip.Record) bool) Option {
	return func(r *Roster) { r.newer = newer }
}

// New returns a roster without targets.
func New(opts ...Option) *Roster {
	r := &Roster{
		newer:           gossip.Newer,
		targets:         map[string]*trackedTarget{},
		services:        map[string]map[string]*trackedTarget{},
		members:         map[string]*member{},
		byDataCentre:    map[string]*memberSet{},
		changedServices: map[string]struct{}{},
		lastSnapshot:    &Snapshot{services: map[string][]Target{}},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Announce handles an announcement that a target has sent to this instance. The
// actions also forward it to the owners of the target.
func (r *Roster) Announce(now time.Time, renew wire.Renew) ([]Action, error) {
	if err := Check(renew); err != nil {
		return nil, err
	}
	out := r.accept(now, renew)
	key := xxhash.Sum64String(Key(renew.Service, renew.Address))
	for _, m := range r.owners(renew.DataCentre, key) {
		if m != nil && m.name != r.self {
			out = append(out, Action{Type: Forward, To: m.name, Address: m.address, Renew: renew})
		}
	}
	return out, nil
}

// Renew handles an announcement that another instance has forwarded.
func (r *Roster) Renew(now time.Time, renew wire.Renew) []Action {
	if Check(renew) != nil {
		return nil
	}
	return r.accept(now, renew)
}

// NewestRenewal answers the request of another owner for a renewal that is newer
// than the one it sent. It returns the same renewal if it has no newer one.
func (r *Roster) NewestRenewal(renew wire.Renew) wire.Renew {
	known := r.targets[Key(renew.Service, renew.Address)]
	if known == nil || known.record.State.Dead() || !known.target.Start.Equal(renew.Start) || known.seq <= renew.Seq {
		return renew
	}
	return known.renewal()
}

// HandleAnswer handles the answer of the other owner to an Ask action. If it holds
// no newer renewal, the target is declared gone.
func (r *Roster) HandleAnswer(now time.Time, renew wire.Renew) []Action {
	tracked := r.targets[Key(renew.Service, renew.Address)]
	if Check(renew) != nil || tracked == nil || !tracked.asking || !tracked.target.Start.Equal(renew.Start) {
		return nil
	}
	if renew.Seq > tracked.seq {
		return r.accept(now, renew)
	}
	return []Action{{Type: Publish, Record: tracked.tombstone(gossip.StateGone)}}
}

// leased reports whether this instance owns the target, has received a renewal of
// it and holds an unexpired lease.
func (tt *trackedTarget) leased(now time.Time) bool {
	return tt.owned && tt.renewedHere && !tt.asking && now.Before(tt.expires) && !tt.record.State.Dead()
}

// accept renews the lease of a target and publishes its record if the announcement
// changes it.
func (r *Roster) accept(now time.Time, renew wire.Renew) []Action {
	record := newRecord(renew)
	known := r.targets[record.Key]
	if known == nil {
		return r.publish(record)
	}
	if !r.newer(known.record, record) {
		return nil
	}
	same := known.target.Start.Equal(record.Start)
	if same && !known.record.State.Dead() && record.Seq >= known.seq {
		known.seq, known.renewedHere, known.asking = record.Seq, true, false
		known.expires = now.Add(known.ttl)
	}
	if same && (known.stale(record) || known.equal(record)) {
		return nil
	}
	return r.publish(record)
}

// publish returns the action that publishes a record. It stores the record, from
// which Learn sees that the target was announced to this instance.
func (r *Roster) publish(record *gossip.Record) []Action {
	r.lastAnnounced = record
	return []Action{{Type: Publish, Record: record}}
}

// stale reports whether a later renewal has arrived. A leaving record is never
// stale.
func (tt *trackedTarget) stale(record *gossip.Record) bool {
	return record.Seq < tt.seq && record.State != gossip.StateLeaving
}

// equal reports whether a record differs from the newest version at most in the
// sequence number.
func (tt *trackedTarget) equal(record *gossip.Record) bool {
	return record.State == tt.record.State && bytes.Equal(record.Body, tt.record.Body)
}

// Learn applies a record that the gossip core reported as changed.
func (r *Roster) Learn(now time.Time, record *gossip.Record) []Action {
	if record.Kind == gossip.KindInstance {
		r.updateMember(now, record)
		return nil
	}
	target, ttl, err := parseRecord(record)
	if err != nil {
		return nil
	}
	tracked := r.targets[record.Key]
	if tracked == nil && record.State.Dead() {
		return nil
	}
	if tracked == nil {
		tracked = r.add(record.Key, target.Service)
	}
	if refuted := r.refute(now, tracked, record); refuted != nil {
		return []Action{{Type: Publish, Record: refuted}}
	}
	if !tracked.target.Start.Equal(record.Start) {
		tracked.seq, tracked.renewedHere = 0, false
	}
	if tracked.target.DataCentre != target.DataCentre {
		tracked.generation = unknownGeneration
	}
	target.Since = now
	if tracked.record != nil && tracked.record.State == record.State && tracked.target.Start.Equal(record.Start) {
		target.Since = tracked.target.Since
	}
	tracked.target, tracked.ttl, tracked.record, tracked.asking = target, ttl, record, false
	tracked.seq = max(tracked.seq, record.Seq)
	tracked.renewedHere = tracked.renewedHere || record == r.lastAnnounced
	tracked.expires = now.Add(ttl)
	if record.State.Dead() {
		tracked.expires = now.Add(tombstoneAge)
	}
	r.changedServices[target.Service] = struct{}{}
	return nil
}

func (r *Roster) add(key, service string) *trackedTarget {
	tracked := &trackedTarget{hash: xxhash.Sum64String(key), generation: unknownGeneration}
	r.targets[key] = tracked
	if r.services[service] == nil {
		r.services[service] = map[string]*trackedTarget{}
	}
	r.services[service][key] = tracked
	return tracked
}

// refute returns a record that overrides a record which declares a target gone
// although its renewals arrive here. It returns nil if there is none to refute.
func (r *Roster) refute(now time.Time, tracked *trackedTarget, record *gossip.Record) *gossip.Record {
	if tracked.record == nil || record.State != gossip.StateGone || !tracked.leased(now) ||
		!tracked.target.Start.Equal(record.Start) || tracked.seq <= record.Seq {
		return nil
	}
	live := *tracked.record
	live.Seq = tracked.seq
	return &live
}

// renewal returns the newest renewal of the target.
func (tt *trackedTarget) renewal() wire.Renew {
	return wire.Renew{
		Service: tt.target.Service, Address: tt.target.Address, Region: tt.target.Region,
		DataCentre: tt.target.DataCentre, Slots: tt.target.Slots, Connections: tt.target.Connections,
		Start: tt.target.Start, Seq: tt.seq, State: string(tt.target.State), TTL: tt.ttl.Seconds(),
	}
}

// Tick removes expired tombstones, updates ownership and ends the leases of owned
// targets that are overdue. It has an effect once every scanInterval.
func (r *Roster) Tick(now time.Time) []Action {
	if now.Before(r.nextScan) {
		return nil
	}
	r.nextScan = now.Add(scanInterval)
	r.forgetMembers(now)
	var overdue []string
	for key, tracked := range r.targets {
		if tracked.record.State.Dead() {
			r.removeEnded(now, key, tracked)
			continue
		}
		r.updateOwnership(now, tracked)
		if tracked.owned && !now.Before(tracked.expires) {
			overdue = append(overdue, key)
		}
	}
	slices.Sort(overdue)
	var out []Action
	for _, key := range overdue {
		out = append(out, r.expire(now, r.targets[key])...)
	}
	return out
}

func (r *Roster) removeEnded(now time.Time, key string, tracked *trackedTarget) {
	if now.Before(tracked.expires) {
		return
	}
	delete(r.targets, key)
	delete(r.services[tracked.target.Service], key)
	if len(r.services[tracked.target.Service]) == 0 {
		delete(r.services, tracked.target.Service)
	}
}

// updateOwnership computes whether this instance owns a target if the owners may
// have changed. A new owner may have received no renewal yet, so it starts with a
// full lease.
func (r *Roster) updateOwnership(now time.Time, tracked *trackedTarget) {
	generation := r.generation(tracked.target.DataCentre)
	if tracked.generation == generation {
		return
	}
	firstCheck := tracked.generation == unknownGeneration
	tracked.generation = generation
	wasOwned := tracked.owned
	tracked.owned = false
	for _, m := range r.owners(tracked.target.DataCentre, tracked.hash) {
		if m != nil && m.name == r.self {
			tracked.owned = true
		}
	}
	if tracked.owned && !wasOwned {
		tracked.expires, tracked.asking, tracked.renewedHere = now.Add(tracked.ttl), false, tracked.renewedHere && firstCheck
	}
}

// expire handles the end of a lease. A leaving target has left. For other targets
// the other owner must first confirm that it has no newer renewal: an instance
// that is cut off gets no answer and ends nothing. If the other owner fails, it is
// replaced and its successor is asked.
func (r *Roster) expire(now time.Time, tracked *trackedTarget) []Action {
	if tracked.record.State == gossip.StateLeaving {
		return []Action{{Type: Publish, Record: tracked.tombstone(gossip.StateLeft)}}
	}
	if !r.hasMajority(now, tracked.target.DataCentre) || r.usesFallback(tracked.target.DataCentre) && !tracked.renewedHere {
		tracked.expires = now.Add(tracked.ttl)
		return nil
	}
	for _, m := range r.owners(tracked.target.DataCentre, tracked.hash) {
		if m != nil && m.name != r.self {
			tracked.asking, tracked.expires = true, now.Add(askInterval)
			return []Action{{Type: Ask, To: m.name, Address: m.address, Renew: tracked.renewal()}}
		}
	}
	return []Action{{Type: Publish, Record: tracked.tombstone(gossip.StateGone)}}
}

// tombstone returns the record that ends the target in the given state.
func (tt *trackedTarget) tombstone(state gossip.State) *gossip.Record {
	ended := *tt.record
	ended.Seq, ended.State = tt.seq, state
	return &ended
}

// Owners returns the names of the instances that own a target, in descending order
// of their rendezvous scores.
func (r *Roster) Owners(t Target) []string {
	var out []string
	for _, m := range r.owners(t.DataCentre, xxhash.Sum64String(Key(t.Service, t.Address))) {
		if m != nil {
			out = append(out, m.name)
		}
	}
	return out
}

// Instances returns the names of all live instances, sorted.
func (r *Roster) Instances() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		if !r.members[name].dead {
			out = append(out, name)
		}
	}
	return out
}
