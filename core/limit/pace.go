package limit

import (
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/room"
)

// Event is something that a gate does because the targets queue requests.
type Event string

// Events of a gate. The values are attributes of a counter.
const (
	Held     Event = "held"     // a request waits at the entry
	Released Event = "released" // a request that waited is admitted
	Diverted Event = "diverted" // a request is admitted to targets further away
	Turned   Event = "refused"  // a request is refused, since it could not end in time
)

// maxHeld bounds the requests that wait at one entry because the targets queue
// requests. An entry has 2 to 10 requests a second, and goals are 0.6 to 3 s.
const maxHeld = 64

// probeInterval is the time between two requests to a tier of which nothing is known,
// about the time until their responses.
const probeInterval = 500 * time.Millisecond

// probeShare bounds these requests to a share of the arrivals, since they are not held
// back. Otherwise entries with one request a second would hold back none.
const probeShare = 0.1

// SetTiers sets which tiers have targets in service.
func (g *Gate) SetTiers(present map[room.Tier]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.SetTiers(present)
}

// ObserveTarget records the requests that a target of a tier had and its slots, as it
// reported them in any response.
func (g *Gate) ObserveTarget(now time.Time, tier room.Tier, requests, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.RecordLoad(now, tier, requests, slots)
}

// ObserveShed records that a target shed a request at a time.
func (g *Gate) ObserveShed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.RecordShed(now)
}

// Room returns what the gate knows of the capacity of the service.
func (g *Gate) Room(now time.Time) room.Estimate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.room.At(now)
}

// RetryAfter returns the time after which a request of the rank that no target took may
// find room, and false if the targets do not report their load or the gate does not pace.
func (g *Gate) RetryAfter(now time.Time, rank int) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pacing {
		return 0, false
	}
	e := g.room.At(now)
	return g.pacer.RetryAfter(now, &e, rank, g.ahead(rank)), e.Known() || e.Sheds()
}

// Reserve returns the number of extra attempts, per request of any rank, that more
// urgent requests than those of the rank need because targets shed them.
func (g *Gate) Reserve(now time.Time, rank int) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pacing {
		return 0
	}
	e := g.room.At(now)
	return g.pacer.Reserve(&e, rank)
}

// acquirePaced is Acquire while the targets queue requests. A request that would not
// meet its goal by waiting is refused at once; one that waits is kept until it can no
// longer end by its deadline, since a refusal after a wait costs its caller most.
func (g *Gate) acquirePaced(now time.Time, e *room.Estimate, t *Ticket) (Decision, []*Ticket) {
	t.latestEnd, t.queueRank = t.Deadline, t.Rank
	g.probeCredit = min(1, g.probeCredit+probeShare)
	work := t.expectedTime(e)
	if now.Add(work).After(t.Deadline) {
		if !g.divert(now, e, t, true) {
			g.turnAway(now, t)
		}
		return t.Decision, nil
	}
	g.enqueue(t)
	decided := g.admitWaiting(now, g.shedWaiting(now, nil))
	if t.Decision != Waiting {
		return t.Decision, without(decided, t)
	}
	goal := t.Goal
	if goal.IsZero() || goal.After(t.Deadline) {
		goal = t.Deadline
	}
	wait := g.pacer.Wait(now, e, t.Rank, g.aheadOf(t))
	tooLong := wait > goal.Sub(now)-work || len(g.queue) > maxHeld
	switch {
	case g.divert(now, e, t, tooLong):
	case tooLong:
		g.queue = without(g.queue, t)
		g.turnAway(now, t)
	}
	if t.Decision != Waiting {
		return t.Decision, decided
	}
	t.held = true
	g.onEvent(Held)
	return Waiting, decided
}

// divert admits a waiting request to a further tier and reports whether it did: to one
// of the region that has room, to one of another region that has room if the request
// would wait too long, or, from time to time, to one of which nothing is known.
func (g *Gate) divert(now time.Time, e *room.Estimate, t *Ticket, tooLong bool) bool {
	switch {
	case float64(g.inflight) >= g.limit:
		return false
	case e.Free == room.SameRegion, e.Free != room.SameDataCentre && tooLong:
		t.Tier = e.Free
	case e.Unknown != room.SameDataCentre && g.probeCredit >= 1 && now.Sub(g.lastProbe) >= probeInterval:
		t.Tier, g.lastProbe, g.probeCredit = e.Unknown, now, 0
	default:
		return false
	}
	g.queue = without(g.queue, t)
	g.startRequest(now, t)
	g.onEvent(Diverted)
	return true
}

// refuseHeld refuses the held requests that can no longer end in time.
func (g *Gate) refuseHeld(now time.Time) (decided []*Ticket) {
	e := g.room.At(now)
	for _, t := range slices.Clone(g.queue) {
		if !t.held || !now.Add(t.expectedTime(&e)).After(t.Deadline) {
			continue
		}
		if !g.divert(now, &e, t, true) {
			g.queue = without(g.queue, t)
			g.turnAway(now, t)
		}
		decided = append(decided, t)
	}
	return decided
}

func (g *Gate) turnAway(now time.Time, t *Ticket) {
	g.refuse(now, t, refuse.Overload)
	g.onEvent(Turned)
}

// nextRank returns the index of the first waiting request of the next rank.
func (g *Gate) nextRank(index int) int {
	rank := g.queue[index].queueRank
	for index < len(g.queue) && g.queue[index].queueRank == rank {
		index++
	}
	return index
}

// held returns the number of requests that wait because the targets queue requests.
func (g *Gate) held() int {
	n := 0
	for _, t := range g.queue {
		if t.held {
			n++
		}
	}
	return n
}

// ahead returns the number of held requests of a rank.
func (g *Gate) ahead(rank int) int {
	n := 0
	for _, t := range g.queue {
		if t.held && t.Rank == rank {
			n++
		}
	}
	return n
}

// aheadOf returns the number of waiting requests of the same rank before a request.
func (g *Gate) aheadOf(t *Ticket) int {
	n := 0
	for _, o := range g.queue {
		if o == t {
			break
		}
		if o.queueRank == t.queueRank {
			n++
		}
	}
	return n
}

func without(tickets []*Ticket, t *Ticket) []*Ticket {
	return slices.DeleteFunc(tickets, func(o *Ticket) bool { return o == t })
}
