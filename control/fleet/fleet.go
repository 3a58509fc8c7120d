package fleet

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	queueLength  = 1024 // events
	spliceRange  = 8    // revisions taken one by one after a burst, as many as a keeper can splice from
	orderEvery   = time.Second
	passOnEvery  = 20 * time.Second // unchanged reports are passed on to other replicas this often
	forgetAfter  = time.Hour        // an instance that is neither linked nor heard of
	decideEvery  = 100 * time.Millisecond
	watchLife    = 3 * time.Second // of a watch list of the leader, which repeats it each second
	pushInterval = orderEvery / decideEvery
)

// Hooks are the parts of the fleet's work that other packages decide. All are
// called from the fleet's goroutine only, and each may be nil.
type Hooks struct {
	Evidence func(now time.Time, e wire.Evidence)                                 // evidence for the leader
	Decide   func(now time.Time, leader bool, v *state.View) []state.Command      // commands to propose, ten times a second
	Decided  func(now time.Time, c state.Command, result state.Result, err error) // what became of each
	Watch    func(now time.Time) []wire.Watched                                   // watch list for the orders
}

// Seams are the surroundings of a fleet.
type Seams struct {
	View    func() *state.View
	Leads   func() bool
	Propose func(ctx context.Context, c state.Command) (state.Result, error)
	PassOn  func(r wire.Report)     // to the other replicas
	Advise  func(o wire.Orders)     // the leader's watch list, to the other replicas
	Members func() []netip.AddrPort // addresses of the control replicas
	// PassSuspects passes suspects on to the other replicas of a region.
	PassSuspects func(s wire.Suspects)
	Dropped      func() // counts reports and evidence dropped from the full queue
	Clock        func() time.Time
	Log          *logrus.Entry
	Hooks        func() Hooks // read once, when Run starts; may be nil
}

type session struct {
	entry   bool
	have    wire.Pull // revision that the other side is known to have
	follows bool      // the entry takes its targets from control
	primary bool      // and from this replica
	sent    uint64    // index of the targets that it was sent
}

// passed is the report of a linked instance that was passed on last.
type passed struct {
	report wire.Report
	at     time.Time
}

// Fleet owns the state of the links to instances. One goroutine, Run, touches
// it; the methods hand events to it.
type Fleet struct {
	Seams
	hooks   Hooks
	events  chan func()
	stats   chan func()
	changed chan struct{}
	over    chan struct{}
	public  atomic.Pointer[[]Instance]

	keeper    delta.RevisionStore
	sessions  map[*link.Conn]*session
	instances map[string]*Instance
	passed    map[string]passed
	orders    []byte // encoding of the orders sent last, without their index
	leases    map[leaseKey]leaseSeen
	watch     []wire.Watched // from the leader
	advised   time.Time      // when the watch list arrived
	advising  time.Time      // when this replica sent its watch list
	ticks     int
	deciding  bool

	digested     uint64 // index of the targets in the last digest
	digestedAt   time.Time
	counted      time.Time
	lastReplicas wire.Replicas
	lastEntries  wire.Entries
}

// New returns a fleet.
func New(seams Seams) *Fleet {
	f := &Fleet{
		Seams:  seams,
		events: make(chan func(), queueLength), stats: make(chan func(), queueLength), changed: make(chan struct{}, 1), over: make(chan struct{}),
		sessions:  map[*link.Conn]*session{},
		instances: map[string]*Instance{},
		passed:    map[string]passed{},
		leases:    map[leaseKey]leaseSeen{},
	}
	f.public.Store(&[]Instance{})
	return f
}

// Run works until ctx ends. Events after that are dropped.
func (f *Fleet) Run(ctx context.Context) {
	defer close(f.over)
	if f.Hooks != nil {
		f.hooks = f.Hooks()
	}
	ticker := time.NewTicker(decideEvery)
	defer ticker.Stop()
	for {
		if f.urgent() {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case event := <-f.events:
			event()
		case <-f.changed:
			f.update()
		case <-ticker.C:
			f.tick(ctx)
		case event := <-f.stats:
			event()
		}
	}
}

// urgent handles one event that goes before statistics, if there is one.
func (f *Fleet) urgent() bool {
	select {
	case event := <-f.events:
		event()
	case <-f.changed:
		f.update()
	default:
		return false
	}
	return true
}

// count hands an event about statistics to the fleet's goroutine. A full queue
// drops the oldest one.
func (f *Fleet) count(event func()) {
	for {
		select {
		case f.stats <- event:
			return
		default:
		}
		select {
		case <-f.stats:
			f.Dropped()
		default:
		}
	}
}

// Changed tells the fleet that the view has changed. It does not block.
func (f *Fleet) Changed() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Instances returns what is known of the instances, by name.
func (f *Fleet) Instances() []Instance { return *f.public.Load() }

// Opened notes a new link and announces the newest revision on it.
func (f *Fleet) Opened(c *link.Conn) {
	f.post(func() {
		p := c.Peer()
		f.sessions[c] = &session{entry: p.Role == wire.RoleEntry}
		i := f.instance(p.Instance)
		if !p.Start.Before(i.Start) {
			i.Start = p.Start
			i.Role, i.Region, i.DataCentre, i.Peer = p.Role, p.Region, p.DataCentre, p.Peer
			i.Heard = f.Clock()
		}
		f.publish()
		if p.Role != wire.RoleEntry {
			// What was passed on before did not reach this replica.
			for _, known := range f.passed {
				f.send(c, wire.KindReport, known.report)
			}
			return
		}
		f.install()
		f.send(c, wire.KindRevision, f.keeper.Digest())
		f.send(c, wire.KindOrders, f.compose())
	})
}

// Closed forgets a link.
func (f *Fleet) Closed(c *link.Conn) {
	f.post(func() {
		delete(f.sessions, c)
		f.publish()
	})
}

// Report takes a report. Only one that came from the instance itself is passed
// on to the other replicas, so that none circles.
func (f *Fleet) Report(r wire.Report, direct bool) {
	f.count(func() {
		now := f.Clock()
		i := f.instance(r.Instance)
		before := *i
		if !i.merge(r, now) {
			return
		}
		same := before.Number == i.Number && before.State == i.State && before.Start.Equal(i.Start)
		if direct && (!same || now.Sub(f.passed[r.Instance].at) >= passOnEvery) {
			f.passed[r.Instance] = passed{report: r, at: now}
			f.PassOn(r)
		}
		f.publish()
	})
}

// Evidence takes evidence for the leader.
func (f *Fleet) Evidence(e wire.Evidence) {
	f.count(func() {
		if f.hooks.Evidence != nil {
			f.hooks.Evidence(f.Clock(), e)
		}
	})
}

// Pull returns what a linked process with the given revision needs.
func (f *Fleet) Pull(ctx context.Context, c *link.Conn, p wire.Pull) (wire.Revision, error) {
	type answer struct {
		r   wire.Revision
		err error
	}
	answers := make(chan answer, 1)
	event := func() {
		f.install()
		r, err := f.keeper.Answer(p)
		if s := f.sessions[c]; s != nil && err == nil {
			s.have = wire.Pull{Have: r.Number, Sum: r.Sum}
		}
		answers <- answer{r, err}
	}
	f.post(event)
	select {
	case a := <-answers:
		return a.r, a.err
	case <-ctx.Done():
		return wire.Revision{}, ctx.Err()
	case <-f.over:
		return wire.Revision{}, &link.ClosedError{Reason: "replica stops"}
	}
}

// post hands an event to the fleet's goroutine. A full queue blocks, which
// slows the link down that the event came from.
func (f *Fleet) post(event func()) {
	select {
	case f.events <- event:
	case <-f.over:
	}
}

func (f *Fleet) instance(name string) *Instance {
	i := f.instances[name]
	if i == nil {
		i = &Instance{Name: name, Role: wire.RoleEntry, Heard: f.Clock()}
		f.instances[name] = i
	}
	return i
}

func (f *Fleet) publish() {
	linked := map[string]bool{}
	for c := range f.sessions {
		linked[c.Peer().Instance] = true
	}
	out := make([]Instance, 0, len(f.instances))
	for _, name := range slices.Sorted(maps.Keys(f.instances)) {
		i := *f.instances[name]
		i.Linked = linked[name]
		out = append(out, i)
	}
	f.public.Store(&out)
}

func (f *Fleet) send(c *link.Conn, kind wire.Kind, body any) {
	if err := c.Send(kind, body); err != nil {
		f.Log.WithField(logs.FieldError, err.Error()).WithField("peer", c.Peer().Instance).Debug("send")
	}
}
