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
	eventQueueLength  = 1024 // events, for each of the two queues
	maxInstallBacklog = 8    // revisions installed after a burst of changes, the number that delta.RevisionStore can splice from
	refreshInterval   = time.Second
	instanceRetention = time.Hour // how long an instance that is neither linked nor reported is listed
	decisionInterval  = 100 * time.Millisecond
	watchListTTL      = 3 * time.Second // validity of the leader's watch list, which is repeated every refreshInterval
	ticksPerRefresh   = refreshInterval / decisionInterval
)

// ReportRelayInterval is the interval at which a replica relays unchanged reports
// to the other replicas.
const ReportRelayInterval = 20 * time.Second

// Hooks connect the decisions about ejections to the fleet. All are called by the
// goroutine of Run only. Each may be nil.
type Hooks struct {
	Evidence    func(now time.Time, e wire.Evidence)                                 // receives evidence, on the leader
	Decide      func(now time.Time, leader bool, v *state.View) []state.Command      // returns commands to propose, called every decisionInterval
	CommandDone func(now time.Time, c state.Command, result state.Result, err error) // receives the outcome of each command from Decide
	WatchList   func(now time.Time) []wire.Watched                                   // returns the leader's watch list for the orders
}

// Dependencies are what a Fleet uses of the replica.
type Dependencies struct {
	View             func() *state.View
	IsLeader         func() bool
	Propose          func(ctx context.Context, c state.Command) (state.Result, error)
	SendReport       func(r wire.Report)     // sends a report to the other replicas
	SendWatchList    func(o wire.Orders)     // sends the leader's watch list to the other replicas; may be nil
	ReplicaAddresses func() []netip.AddrPort // returns the addresses of the control replicas
	// SendNotices sends notices to the other replicas of a region, or to all if it
	// is empty.
	SendNotices  func(region string, kind wire.Kind, body any)
	CountDropped func() // counts an event dropped from the full queue of reports, evidence and suspects
	Clock        func() time.Time
	Log          *logrus.Entry
	Hooks        func() Hooks // called once, when Run starts; may be nil
}

// session is the state of one link.
type session struct {
	isEntry      bool
	peerRevision wire.Pull // latest revision sent to the peer, zero if it has not pulled one
	announced    uint64    // latest revision sent or announced to the peer
	wantsTargets bool      // the entry receives its targets from control
	isPrimary    bool      // this replica is the entry's primary and sends it the targets
	sentIndex    uint64    // index of the targets sent last
}

// takesNotices reports whether this replica sends the notices for a region, or for
// all if it is empty, to the peer. An entry that receives its targets from control
// gets them from its primary only. Others get none for a region.
func (s *session) takesNotices(peer wire.Hello, region string) bool {
	if !s.wantsTargets {
		return s.isEntry && region == ""
	}
	return s.isPrimary && (region == "" || region == peer.Region)
}

// relayedReport is the last report of a linked instance that was sent to the
// other replicas.
type relayedReport struct {
	report wire.Report
	at     time.Time
}

// Fleet holds the state of instances and of the links to them. Only the goroutine
// of Run accesses this state; exported methods queue events for it.
type Fleet struct {
	Dependencies
	hooks       Hooks
	events      chan func()
	statsEvents chan func()
	viewChanged chan struct{}
	stopped     chan struct{}
	published   atomic.Pointer[[]Instance]

	revisions         delta.RevisionStore
	sessions          map[*link.Conn]*session
	instances         map[string]*Instance
	instancesChanged  bool // since they were published
	relayedReports    map[string]relayedReport
	sentOrders        []byte // encoding of the last orders, with the expiry of leases instead of their remaining time
	observedLeases    map[leaseKey]observedLease
	watchList         []wire.Watched // received from the leader, or last sent as leader
	watchListReceived time.Time      // when watchList was received
	watchListSent     time.Time      // when watchList was sent
	ticks             int
	decisionPending   bool

	digestIndex  uint64 // index of the targets in the last digest
	digestTime   time.Time
	lastCount    time.Time
	lastReplicas wire.Replicas
	lastEntries  wire.Entries
	suspects     *notices[wire.Suspect]
	limits       *notices[wire.Limit]
	demands      *notices[wire.Demand]
	crashes      *notices[wire.Crash]
	noticeTimer  *time.Timer // runs while notices wait
	installedAt  time.Time   // when the newest revision was installed
	lastPush     time.Time
	pushTimer    *time.Timer // runs while a change of the view waits
}

// New creates a fleet. Run processes its events.
func New(deps Dependencies) *Fleet {
	f := &Fleet{
		Dependencies: deps,
		events:       make(chan func(), eventQueueLength), statsEvents: make(chan func(), eventQueueLength), viewChanged: make(chan struct{}, 1), stopped: make(chan struct{}),
		sessions:       map[*link.Conn]*session{},
		instances:      map[string]*Instance{},
		relayedReports: map[string]relayedReport{},
		observedLeases: map[leaseKey]observedLease{},
		suspects:       newSuspects(),
		limits:         newLimits(),
		demands:        newDemands(),
		crashes:        newCrashes(),
		noticeTimer:    time.NewTimer(0),
		pushTimer:      time.NewTimer(0),
	}
	f.noticeTimer.Stop()
	f.pushTimer.Stop()
	f.published.Store(&[]Instance{})
	return f
}

// Run processes events until ctx ends. Events that are queued later are dropped.
func (f *Fleet) Run(ctx context.Context) {
	defer close(f.stopped)
	if f.Hooks != nil {
		f.hooks = f.Hooks()
	}
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		if f.handlePriorityEvent() {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case event := <-f.events:
			event()
		case <-f.viewChanged:
			f.schedulePush()
		case <-f.pushTimer.C:
			f.pushChanges()
		case <-ticker.C:
			f.tick(ctx)
		case <-f.noticeTimer.C:
			f.scheduleNotices(f.Clock())
		case event := <-f.statsEvents:
			event()
		}
	}
}

// handlePriorityEvent handles one event that takes precedence over statistics and
// reports whether there was one.
func (f *Fleet) handlePriorityEvent() bool {
	select {
	case event := <-f.events:
		event()
	case <-f.viewChanged:
		f.schedulePush()
	default:
		return false
	}
	return true
}

// postStats queues an event with reports, evidence or suspects. If the queue is
// full, the oldest event is dropped.
func (f *Fleet) postStats(event func()) {
	for {
		select {
		case f.statsEvents <- event:
			return
		default:
		}
		select {
		case <-f.statsEvents:
			f.CountDropped()
		default:
		}
	}
}

// ViewChanged notifies the fleet that the view has changed. It does not block.
func (f *Fleet) ViewChanged() {
	select {
	case f.viewChanged <- struct{}{}:
	default:
	}
}

// Instances returns the known instances, sorted by name, as they were at most
// decisionInterval ago. It is safe for concurrent use.
func (f *Fleet) Instances() []Instance { return *f.published.Load() }

// LinkOpened registers a new link. An entry receives the digest of the newest
// revision and the orders, a replica the reports that were relayed earlier.
func (f *Fleet) LinkOpened(c *link.Conn) {
	f.post(func() {
		p := c.Peer()
		f.sessions[c] = &session{isEntry: p.Role == wire.RoleEntry}
		i := f.instanceNamed(p.Instance)
		if !p.Start.Before(i.Start) {
			i.Start = p.Start
			i.Role, i.Region, i.DataCentre, i.Peer = p.Role, p.Region, p.DataCentre, p.PeerAddress
			i.LastSeen = f.Clock()
		}
		f.instancesChanged = true
		if p.Role != wire.RoleEntry {
			// Reports relayed before the link was opened did not reach this replica.
			for _, known := range f.relayedReports {
				f.send(c, wire.KindReport, known.report)
			}
			f.catchUpNotices(c)
			return
		}
		f.installRevisions()
		f.announceRevision(c, f.sessions[c])
		f.send(c, wire.KindOrders, f.currentOrders())
		f.catchUpNotices(c)
	})
}

// LinkClosed removes a link.
func (f *Fleet) LinkClosed(c *link.Conn) {
	f.post(func() {
		delete(f.sessions, c)
		f.instancesChanged = true
	})
}

// ReceiveReport records a report. A direct report, received from the instance
// itself, is relayed to the other replicas; others are not, so that reports do not
// loop between replicas.
func (f *Fleet) ReceiveReport(r wire.Report, direct bool) {
	f.postStats(func() {
		now := f.Clock()
		i := f.instanceNamed(r.Instance)
		previous := *i
		if !i.applyReport(r, now) {
			return
		}
		unchanged := previous.Revision == i.Revision && previous.State == i.State && previous.Start.Equal(i.Start)
		if direct && (!unchanged || now.Sub(f.relayedReports[r.Instance].at) >= ReportRelayInterval) {
			f.relayedReports[r.Instance] = relayedReport{report: r, at: now}
			f.SendReport(r)
		}
		f.instancesChanged = true
	})
}

// ReceiveEvidence hands evidence to the hook. It is called on the leader.
func (f *Fleet) ReceiveEvidence(e wire.Evidence) {
	f.postStats(func() {
		if f.hooks.Evidence != nil {
			f.hooks.Evidence(f.Clock(), e)
		}
	})
}

// Pull returns the update from the revision of the pull to the newest one and
// records that the peer has it.
func (f *Fleet) Pull(ctx context.Context, c *link.Conn, p wire.Pull) (wire.Revision, error) {
	return postAndWait(ctx, f, func() (wire.Revision, error) {
		f.installRevisions()
		r, err := f.revisions.Answer(p)
		if s := f.sessions[c]; s != nil && err == nil {
			s.peerRevision = wire.Pull{Have: r.Number, Checksum: r.Checksum}
			s.announced = r.Number
		}
		return r, err
	})
}

// postAndWait queues an event and returns its result, unless ctx or the fleet ends
// first.
func postAndWait[T any](ctx context.Context, f *Fleet, event func() (T, error)) (T, error) {
	var none T
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	f.post(func() {
		value, err := event()
		results <- result{value, err}
	})
	select {
	case r := <-results:
		return r.value, r.err
	case <-ctx.Done():
		return none, ctx.Err()
	case <-f.stopped:
		return none, &link.ClosedError{Reason: "replica stops"}
	}
}

// post queues an event. It blocks while the queue is full, which applies
// backpressure to the link that caused the event.
func (f *Fleet) post(event func()) {
	select {
	case f.events <- event:
	case <-f.stopped:
	}
}

func (f *Fleet) instanceNamed(name string) *Instance {
	i := f.instances[name]
	if i == nil {
		i = &Instance{Name: name, Role: wire.RoleEntry, LastSeen: f.Clock()}
		f.instances[name] = i
	}
	return i
}

// publishInstances publishes the instances if they have changed. It sorts and copies
// all of them, so it is not called for each change.
func (f *Fleet) publishInstances() {
	if !f.instancesChanged {
		return
	}
	f.instancesChanged = false
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
	f.published.Store(&out)
}

func (f *Fleet) send(c *link.Conn, kind wire.Kind, body any) {
	f.logSendError(c, c.Send(kind, body))
}

// logSendError logs the error of a message to a link, if there is one.
func (f *Fleet) logSendError(c *link.Conn, err error) {
	if err != nil {
		f.Log.WithField(logs.FieldError, err.Error()).WithField("peer", c.Peer().Instance).Debug("message not sent")
	}
}
