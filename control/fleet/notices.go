package fleet

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/control/batch"
	"github.com/galenalock/galenalock/control/board"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// limitLifetime is how long the limit of a target is kept for instances that link
	// later. Entries send it again more often than that.
	limitLifetime = 30 * time.Second
	// limitInterval is the interval after which a limit that has not changed is
	// passed on again.
	limitInterval = 2 * time.Second
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

// notices passes the notices of one kind on to entries. A notice for a region goes
// to the entries and replicas there, one without a region to all.
type notices[N batch.Notice[N]] struct {
	kind  wire.Kind
	batch *batch.Batch[N]
	board noticeBoard[N] // for instances that link later; nil: notices are not kept
	body  func(region string, list []N) any
}

// noticeBoard is a board.Board with any type of subject.
type noticeBoard[N any] interface {
	Add(now time.Time, list []N) []N
	List(now time.Time) []N
}

// noticeRelay is a notices of any kind.
type noticeRelay interface {
	next() (time.Time, bool)
	flush(f *Fleet, now time.Time)
	catchUp(f *Fleet, c *link.Conn, now time.Time)
}

func newNotices[N batch.Notice[N]](kind wire.Kind, b noticeBoard[N]) *notices[N] {
	return &notices[N]{
		kind: kind, batch: batch.New[N](), board: b,
		body: func(_ string, list []N) any { return wire.List[N]{List: list} },
	}
}

func newSuspects() *notices[wire.Suspect] {
	n := newNotices[wire.Suspect](wire.KindSuspects, nil)
	n.body = func(region string, list []wire.Suspect) any { return wire.Suspects{Region: region, List: list} }
	return n
}

func newLimits() *notices[wire.Limit] {
	return newNotices(wire.KindLimits, board.New(
		func(l wire.Limit) limitSubject { return limitSubject{l.Target, l.Start} },
		func(l wire.Limit) time.Duration { return l.Age },
		board.WithLifetime[limitSubject, wire.Limit](limitLifetime),
		board.WithRepeats[limitSubject](limitInterval, isSameLimit)))
}

func isSameLimit(known, l wire.Limit) bool {
	return quota.Report{Limited: known.Limited, Rate: known.Rate}.IsClose(quota.Report{Limited: l.Limited, Rate: l.Rate})
}

func newDemands() *notices[wire.Demand] {
	return newNotices(wire.KindDemands, board.New(
		func(d wire.Demand) demandSubject { return demandSubject{d.Service, d.Entry} },
		func(d wire.Demand) time.Duration { return d.Age },
		board.WithLifetime[demandSubject, wire.Demand](quota.DemandLifetime)))
}

func newCrashes() *notices[wire.Crash] {
	return newNotices(wire.KindCrashes, board.New(
		func(c wire.Crash) crashSubject { return crashSubject{c.Print, c.Target, c.Start, c.Answered} },
		func(c wire.Crash) time.Duration { return c.Age },
		board.WithLifetime[crashSubject, wire.Crash](crashLifetime), board.WithCapacity[crashSubject, wire.Crash](maxCrashes),
		board.WithRepeats[crashSubject](crashLifetime, func(_, c wire.Crash) bool { return !c.Answered })))
}

// ReceiveSuspects forwards the suspects that an entry reports to the entries of its
// region, together with others that arrive shortly after. Direct notices, received
// from the entry itself, are also sent to the other replicas.
func (f *Fleet) ReceiveSuspects(c *link.Conn, s wire.Suspects, direct bool) {
	if s.Region == "" {
		return // would reach all regions
	}
	f.postStats(func() { receiveNotices(f, f.suspects, c, s.Region, s.List, direct) })
}

// ReceiveLimits forwards the limits of targets that an entry reports to all entries
// in the same way.
func (f *Fleet) ReceiveLimits(c *link.Conn, list []wire.Limit, direct bool) {
	f.postStats(func() { receiveNotices(f, f.limits, c, "", list, direct) })
}

// ReceiveDemands forwards the demands of entries in the same way.
func (f *Fleet) ReceiveDemands(c *link.Conn, list []wire.Demand, direct bool) {
	f.postStats(func() { receiveNotices(f, f.demands, c, "", list, direct) })
}

// ReceiveCrashes forwards the crashes that an entry reports in the same way.
func (f *Fleet) ReceiveCrashes(c *link.Conn, list []wire.Crash, direct bool) {
	f.postStats(func() { receiveNotices(f, f.crashes, c, "", list, direct) })
}

func receiveNotices[N batch.Notice[N]](f *Fleet, n *notices[N], c *link.Conn, region string, list []N, direct bool) {
	now := f.Clock()
	if n.board != nil {
		list = n.board.Add(now, list)
	}
	if len(list) > 0 {
		n.batch.Add(now, c.Peer().Instance, region, list, direct)
		f.scheduleNotices(now)
	}
}

// scheduleNotices flushes the notices that are due and starts the timer for the
// others.
func (f *Fleet) scheduleNotices(now time.Time) {
	least := time.Duration(0)
	for _, n := range f.noticeRelays() {
		due, ok := n.next()
		if !ok {
			continue
		}
		wait := waitUntil(now, due, batch.Delay)
		if wait == 0 {
			n.flush(f, now)
		} else if least == 0 || wait < least {
			least = wait
		}
	}
	if least > 0 {
		f.noticeTimer.Reset(least)
	}
}

// waitUntil returns the time until due, or 0 if it is due. A time longer than limit
// means that the clock was set back.
func waitUntil(now, due time.Time, limit time.Duration) time.Duration {
	if wait := due.Sub(now); wait <= limit {
		return max(0, wait)
	}
	return 0
}

func (f *Fleet) noticeRelays() []noticeRelay {
	return []noticeRelay{f.suspects, f.limits, f.demands, f.crashes}
}

// catchUpNotices sends what is known to an instance that has linked.
func (f *Fleet) catchUpNotices(c *link.Conn) {
	for _, n := range f.noticeRelays() {
		n.catchUp(f, c, f.Clock())
	}
}

func (n *notices[N]) next() (time.Time, bool) { return n.batch.Next() }

// flush sends the collected notices to the linked entries, and the direct ones to
// the other replicas.
func (n *notices[N]) flush(f *Fleet, now time.Time) {
	for region, group := range n.batch.Flush(now) {
		shared, err := link.Encode(n.kind, n.body(region, group.All()))
		if err != nil {
			f.Log.WithField(logs.FieldError, err.Error()).WithField("kind", n.kind).Error("notices not encoded")
			continue
		}
		for c, s := range f.sessions {
			switch {
			case !s.takesNotices(c.Peer(), region):
			case !group.Reported(c.Peer().Instance):
				f.logSendError(c, c.SendEncoded(shared))
			default:
				if list := group.Except(c.Peer().Instance); len(list) > 0 {
					f.send(c, n.kind, n.body(region, list))
				}
			}
		}
		if list := group.Direct(); len(list) > 0 {
			f.SendNotices(region, n.kind, n.body(region, list))
		}
	}
}

func (n *notices[N]) catchUp(f *Fleet, c *link.Conn, now time.Time) {
	if n.board == nil {
		return
	}
	if list := n.board.List(now); len(list) > 0 {
		f.send(c, n.kind, n.body("", list))
	}
}
