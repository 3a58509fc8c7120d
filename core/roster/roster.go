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
	// askInterval is the time between questions to the other owner when a target
	// has not renewed.
	askInterval = 2 * time.Second
	// graveAge is how long the roster refuses renewals of a target that ended;
	// it is twice the longest time to live. Package gossip keeps tombstones longer.
	graveAge = 2 * MaxTTL
)

// row is what the roster knows of one target.
type row struct {
	target     Target
	record     *gossip.Record // newest known
	hash       uint64
	ttl        time.Duration
	seq        uint64    // highest sequence number of the incarnation
	heard      bool      // a renewal of the incarnation has arrived here
	owned      bool      // this instance is an owner
	asked      bool      // the other owner is being asked about missing renewals
	due        time.Time // end of the lease when owned, removal when dead
	generation uint64    // of the data centre's owners, when owned was worked out
}

// Roster is the registry on one instance. It is not safe for concurrent use.
type Roster struct {
	self     string
	newer    func(stored, arrived *gossip.Record) bool
	rows     map[string]*row
	services map[string]map[string]*row
	members  map[string]*member
	centres  map[string]*centre
	dirty    map[string]struct{}
	last     *Snapshot
	nextScan time.Time
	arrived  *gossip.Record
	all      centre // the entries of all data centres
}

// Option configures a roster.
type Option func(*Roster)

// WithSelf sets the name of the own instance.
func WithSelf(name string) Option { return func(r *Roster) { r.self = name } }

// WithNewer replaces gossip.Newer. Tests use it to show what versions prevent.
func WithNewer(newer func(stored, arrived *gossip.Record) bool) Option {
	return func(r *Roster) { r.newer = newer }
}

// New returns an empty roster.
func New(opts ...Option) *Roster {
	r := &Roster{
		newer:    gossip.Newer,
		rows:     map[string]*row{},
		services: map[string]map[string]*row{},
		members:  map[string]*member{},
		centres:  map[string]*centre{},
		dirty:    map[string]struct{}{},
		last:     &Snapshot{services: map[string][]Target{}},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Announce takes in an announcement that a target has sent to this instance.
func (r *Roster) Announce(now time.Time, renew wire.Renew) ([]Action, error) {
	if err := Check(renew); err != nil {
		return nil, err
	}
	out := r.accept(now, renew)
	key := xxhash.Sum64String(Key(renew.Service, renew.Address))
	for _, m := range r.owners(renew.DataCentre, key) {
		if m != nil && m.name != r.self {
			out = append(out, Action{Do: Forward, To: m.name, Address: m.address, Renew: renew})
		}
	}
	return out, nil
}

// Renew takes in an announcement that another instance has forwarded.
func (r *Roster) Renew(now time.Time, renew wire.Renew) []Action {
	if Check(renew) != nil {
		return nil
	}
	return r.accept(now, renew)
}

// Asked answers the question of another owner for a renewal that is newer than
// the one it sent. The same renewal comes back when none is known.
func (r *Roster) Asked(renew wire.Renew) wire.Renew {
	known := r.rows[Key(renew.Service, renew.Address)]
	if known == nil || known.record.State.Dead() || !known.target.Start.Equal(renew.Start) || known.seq <= renew.Seq {
		return renew
	}
	return known.renew()
}

// Answered takes in the answer to a question. Without a newer renewal the
// target is gone.
func (r *Roster) Answered(now time.Time, renew wire.Renew) []Action {
	w := r.rows[Key(renew.Service, renew.Address)]
	if Check(renew) != nil || w == nil || !w.asked || !w.target.Start.Equal(renew.Start) {
		return nil
	}
	if renew.Seq > w.seq {
		return r.accept(now, renew)
	}
	return []Action{{Do: Publish, Record: w.end(gossip.StateGone)}}
}

// leased reports whether renewals arrive here.
func (w *row) leased(now time.Time) bool {
	return w.owned && w.heard && !w.asked && now.Before(w.due) && !w.record.State.Dead()
}

// accept publishes what an announcement changes and renews the lease.
func (r *Roster) accept(now time.Time, renew wire.Renew) []Action {
	record := pack(renew)
	known := r.rows[record.Key]
	if known == nil {
		return r.publish(record)
	}
	if !r.newer(known.record, record) {
		return nil
	}
	same := known.target.Start.Equal(record.Start)
	if same && !known.record.State.Dead() && record.Seq >= known.seq {
		known.seq, known.heard, known.asked = record.Seq, true, false
		known.due = now.Add(known.ttl)
	}
	if same && (known.stale(record) || known.equal(record)) {
		return nil
	}
	return r.publish(record)
}

// publish remembers the record, so that Learn knows that it was announced here.
func (r *Roster) publish(record *gossip.Record) []Action {
	r.arrived = record
	return []Action{{Do: Publish, Record: record}}
}

// stale reports whether a later renewal has arrived. A departure is never stale.
func (w *row) stale(record *gossip.Record) bool {
	return record.Seq < w.seq && record.State != gossip.StateLeaving
}

// equal reports whether a record changes nothing but the sequence number.
func (w *row) equal(record *gossip.Record) bool {
	return record.State == w.record.State && bytes.Equal(record.Body, w.record.Body)
}

// Learn takes in a change of the gossip core.
func (r *Roster) Learn(now time.Time, record *gossip.Record) []Action {
	if record.Kind == gossip.KindInstance {
		r.place(now, record)
		return nil
	}
	target, ttl, err := unpack(record)
	if err != nil {
		return nil
	}
	w := r.rows[record.Key]
	if w == nil && record.State.Dead() {
		return nil
	}
	if w == nil {
		w = r.add(record.Key, target.Service)
	}
	if refuted := r.refute(now, w, record); refuted != nil {
		return []Action{{Do: Publish, Record: refuted}}
	}
	if !w.target.Start.Equal(record.Start) {
		w.seq, w.heard = 0, false
	}
	if w.target.DataCentre != target.DataCentre {
		w.generation = unknown
	}
	target.Since = now
	if w.record != nil && w.record.State == record.State && w.target.Start.Equal(record.Start) {
		target.Since = w.target.Since
	}
	w.target, w.ttl, w.record, w.asked = target, ttl, record, false
	w.seq = max(w.seq, record.Seq)
	w.heard = w.heard || record == r.arrived
	w.due = now.Add(ttl)
	if record.State.Dead() {
		w.due = now.Add(graveAge)
	}
	r.dirty[target.Service] = struct{}{}
	return nil
}

func (r *Roster) add(key, service string) *row {
	w := &row{hash: xxhash.Sum64String(key), generation: unknown}
	r.rows[key] = w
	if r.services[service] == nil {
		r.services[service] = map[string]*row{}
	}
	r.services[service][key] = w
	return w
}

// refute returns the record that corrects the end of a target whose renewals
// arrive here, or nil.
func (r *Roster) refute(now time.Time, w *row, record *gossip.Record) *gossip.Record {
	if w.record == nil || record.State != gossip.StateGone || !w.leased(now) ||
		!w.target.Start.Equal(record.Start) || w.seq <= record.Seq {
		return nil
	}
	live := *w.record
	live.Seq = w.seq
	return &live
}

// renew rebuilds the newest renewal.
func (w *row) renew() wire.Renew {
	return wire.Renew{
		Service: w.target.Service, Address: w.target.Address, Region: w.target.Region,
		DataCentre: w.target.DataCentre, Slots: w.target.Slots, Connections: w.target.Connections,
		Start: w.target.Start, Seq: w.seq, State: string(w.target.State), TTL: w.ttl.Seconds(),
	}
}

// Tick publishes the end of owned targets that no longer renew.
func (r *Roster) Tick(now time.Time) []Action {
	if now.Before(r.nextScan) {
		return nil
	}
	r.nextScan = now.Add(scanInterval)
	r.forget(now)
	var due []string
	for key, w := range r.rows {
		if w.record.State.Dead() {
			r.bury(now, key, w)
			continue
		}
		r.own(now, w)
		if w.owned && !now.Before(w.due) {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	var out []Action
	for _, key := range due {
		out = append(out, r.expire(now, r.rows[key])...)
	}
	return out
}

func (r *Roster) bury(now time.Time, key string, w *row) {
	if now.Before(w.due) {
		return
	}
	delete(r.rows, key)
	delete(r.services[w.target.Service], key)
	if len(r.services[w.target.Service]) == 0 {
		delete(r.services, w.target.Service)
	}
}

// own works out whether this instance owns a target. A new owner has seen no
// renewals yet and starts a whole lease.
func (r *Roster) own(now time.Time, w *row) {
	generation := r.generation(w.target.DataCentre)
	if w.generation == generation {
		return
	}
	fresh := w.generation == unknown
	w.generation = generation
	was := w.owned
	w.owned = false
	for _, m := range r.owners(w.target.DataCentre, w.hash) {
		if m != nil && m.name == r.self {
			w.owned = true
		}
	}
	if w.owned && !was {
		w.due, w.asked, w.heard = now.Add(w.ttl), false, w.heard && fresh
	}
}

// expire ends a lease. A leaving target has left. For another one the other
// owner must confirm that it has no newer renewal: an instance that is cut off
// gets no answer and ends nothing. An owner that fails is replaced soon.
func (r *Roster) expire(now time.Time, w *row) []Action {
	if w.record.State == gossip.StateLeaving {
		return []Action{{Do: Publish, Record: w.end(gossip.StateLeft)}}
	}
	if !r.majority(now, w.target.DataCentre) || r.fallback(w.target.DataCentre) && !w.heard {
		w.due = now.Add(w.ttl)
		return nil
	}
	for _, m := range r.owners(w.target.DataCentre, w.hash) {
		if m != nil && m.name != r.self {
			w.asked, w.due = true, now.Add(askInterval)
			return []Action{{Do: Ask, To: m.name, Address: m.address, Renew: w.renew()}}
		}
	}
	return []Action{{Do: Publish, Record: w.end(gossip.StateGone)}}
}

// end returns the tombstone of a target.
func (w *row) end(state gossip.State) *gossip.Record {
	end := *w.record
	end.Seq, end.State = w.seq, state
	return &end
}

// Owners returns the names of the instances that own a target, best first.
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
