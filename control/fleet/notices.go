package fleet

import (
	"math"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/control/batch"
	"github.com/galenalock/galenalock/control/board"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// limitLifetime and demandLifetime are how long notices are kept for instances
	// that link later. Entries send them again more often than that.
	limitLifetime  = 30 * time.Second
	demandLifetime = 12 * time.Second
	// limitInterval is the interval after which a limit that has not changed is
	// passed on again.
	limitInterval = 2 * time.Second
	// limitTolerance is the relative difference up to which two limits are the same.
	limitTolerance = 0.1
	// crashLifetime covers the first quarantines of a request.
	crashLifetime = time.Hour
	// maxCrashes bounds what an entry gets when it links.
	maxCrashes = 512
)

// Subjects of notices, of which a board keeps the newest one each.
type (
	limitSubject struct {
		target netip.AddrPort
		start  int64
	}
	demandSubject struct {
		service string
		entry   uint64
	}
	crashSubject struct {
		print    [16]byte
		target   netip.AddrPort
		start    int64
		answered bool
	}
)

// notices passes the notices of one kind on to all entries.
type notices[K comparable, N batch.Notice[N]] struct {
	kind  wire.Kind
	batch *batch.Batch[N]
	board *board.Board[K, N]
}

func newLimits() *notices[limitSubject, wire.Limit] {
	return &notices[limitSubject, wire.Limit]{
		kind: wire.KindLimits, batch: batch.New[wire.Limit](),
		board: board.New(
			func(l wire.Limit) limitSubject { return limitSubject{l.Target, l.Start} },
			func(l wire.Limit) time.Duration { return l.Age }, board.WithLifetime[limitSubject, wire.Limit](limitLifetime),
			board.WithRepeats[limitSubject](limitInterval, isSameLimit)),
	}
}

func isSameLimit(known, l wire.Limit) bool {
	return known.Limited == l.Limited && math.Abs(known.Rate-l.Rate) <= limitTolerance*known.Rate
}

func newDemands() *notices[demandSubject, wire.Demand] {
	return &notices[demandSubject, wire.Demand]{
		kind: wire.KindDemands, batch: batch.New[wire.Demand](),
		board: board.New(
			func(d wire.Demand) demandSubject { return demandSubject{d.Service, d.Entry} },
			func(d wire.Demand) time.Duration { return d.Age }, board.WithLifetime[demandSubject, wire.Demand](demandLifetime)),
	}
}

func newCrashes() *notices[crashSubject, wire.Crash] {
	return &notices[crashSubject, wire.Crash]{
		kind: wire.KindCrashes, batch: batch.New[wire.Crash](),
		board: board.New(
			func(c wire.Crash) crashSubject { return crashSubject{c.Print, c.Target, c.Start, c.Answered} },
			func(c wire.Crash) time.Duration { return c.Age },
			board.WithLifetime[crashSubject, wire.Crash](crashLifetime), board.WithCapacity[crashSubject, wire.Crash](maxCrashes),
			board.WithRepeats[crashSubject](crashLifetime, func(_, c wire.Crash) bool { return !c.Answered })),
	}
}

// noticeRelay is a notices of any kind.
type noticeRelay interface {
	next() (time.Time, bool)
	flush(f *Fleet, now time.Time)
	catchUp(f *Fleet, c *link.Conn, now time.Time)
}

// ReceiveLimits forwards the limits of targets that an entry reports to all
// entries. Direct notices, received from the entry itself, are also sent to the
// other replicas.
func (f *Fleet) ReceiveLimits(c *link.Conn, list []wire.Limit, direct bool) {
	f.postStats(func() { receiveNotices(f, f.limits, c, list, direct) })
}

// ReceiveDemands forwards the demands of entries in the same way.
func (f *Fleet) ReceiveDemands(c *link.Conn, list []wire.Demand, direct bool) {
	f.postStats(func() { receiveNotices(f, f.demands, c, list, direct) })
}

// ReceiveCrashes forwards the crashes that an entry reports in the same way.
func (f *Fleet) ReceiveCrashes(c *link.Conn, list []wire.Crash, direct bool) {
	f.postStats(func() { receiveNotices(f, f.crashes, c, list, direct) })
}

func receiveNotices[K comparable, N batch.Notice[N]](f *Fleet, n *notices[K, N], c *link.Conn, list []N, direct bool) {
	now := f.Clock()
	if fresh := n.board.Add(now, list); len(fresh) > 0 {
		n.batch.Add(now, c.Peer().Instance, "", fresh, direct)
		f.scheduleNotices(now)
	}
}

// scheduleNotices flushes the notices that are due and starts the timer for the
// others.
func (f *Fleet) scheduleNotices(now time.Time) {
	for _, n := range f.noticeRelays() {
		due, ok := n.next()
		if !ok {
			continue
		}
		if wait := due.Sub(now); wait > 0 && wait <= batch.Delay { // a longer one means that the clock was set back
			f.noticeTimer.Reset(wait)
			continue
		}
		n.flush(f, now)
	}
}

func (f *Fleet) noticeRelays() []noticeRelay { return []noticeRelay{f.limits, f.demands, f.crashes} }

// catchUpNotices sends what is known to an instance that has linked.
func (f *Fleet) catchUpNotices(c *link.Conn) {
	for _, n := range f.noticeRelays() {
		n.catchUp(f, c, f.Clock())
	}
}

func (n *notices[K, N]) next() (time.Time, bool) { return n.batch.Next() }

// flush sends the collected notices to the linked entries, and the direct ones to
// the other replicas.
func (n *notices[K, N]) flush(f *Fleet, now time.Time) {
	for _, group := range n.batch.Flush(now) {
		shared, err := link.Encode(n.kind, wire.List[N]{List: group.All()})
		if err != nil {
			f.Log.WithField(logs.FieldError, err.Error()).WithField("kind", n.kind).Error("notices not encoded")
			continue
		}
		for c, s := range f.sessions {
			switch {
			case !s.takesNotices():
			case !group.Reported(c.Peer().Instance):
				f.logSendError(c, c.SendEncoded(shared))
			default:
				if list := group.Except(c.Peer().Instance); len(list) > 0 {
					f.send(c, n.kind, wire.List[N]{List: list})
				}
			}
		}
		if list := group.Direct(); len(list) > 0 {
			f.SendNotices(n.kind, wire.List[N]{List: list})
		}
	}
}

func (n *notices[K, N]) catchUp(f *Fleet, c *link.Conn, now time.Time) {
	if list := n.board.List(now); len(list) > 0 {
		f.send(c, n.kind, wire.List[N]{List: list})
	}
}
