package eject_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/wire"
)

// site is a process that learns of targets and floors with a delay.
type site struct {
	keeper   *eject.Keeper // nil for the leader
	inbox    []parcel
	last     time.Time // arrival of the last message: links keep the order
	cut      bool
	cutSince time.Time
}

type parcel struct {
	at      time.Time
	fact    bool // knowledge waits for the end of a partition, orders are lost
	deliver func(now time.Time)
}

// world steps a leader and several entries through random faults.
type world struct {
	draws   *rand.Rand
	now     time.Time
	naive   bool
	stable  bool // no target and no floor changes
	hasty   bool // new leaders wait for the delay of messages only
	targets []eject.Target
	floor   eject.Floor
	leader  *eject.Leader
	control *site
	entries []*site
	index   uint64
	set     eject.Set // replicated
	quorum  bool
	commits []parcel
	ejected int // entries times ticks with a target out
}

func unlimited(time.Time, eject.Floor, []eject.Member) float64 { return 1e9 }

func newWorld(seed uint64, naive, stable bool) *world {
	w := &world{draws: rand.New(rand.NewPCG(seed, 1)), now: start, naive: naive, stable: stable, quorum: true, floor: eject.Floor{Share: 0.6}}
	for i := range 10 {
		t := ready(i)
		t.Slots = 4 + w.draws.IntN(5)
		w.targets = append(w.targets, t)
	}
	w.control = &site{}
	w.lead()
	for range 4 {
		e := &site{}
		w.entries = append(w.entries, e)
		w.boot(e)
	}
	return w
}

// lead starts a new leader that knows the replicated set.
func (w *world) lead() {
	var opts []eject.Option
	if w.naive {
		opts = append(opts, eject.WithBudget(unlimited))
	}
	if w.hasty {
		opts = append(opts, eject.WithSilence(eject.Delay))
	}
	l, err := eject.New(w.now, w.index, opts...)
	if err != nil {
		panic(err)
	}
	w.leader, w.commits, w.control.inbox = l, nil, nil
	l.Service("tables", w.floor, health.Fast)
	for _, t := range w.targets {
		l.Target(w.now, t)
	}
	l.Restore(w.now, w.set)
}

// boot restarts an entry without leases.
func (w *world) boot(e *site) {
	var opts []eject.KeeperOption
	if w.naive || w.stable {
		opts = append(opts, eject.WithRecheck(unlimited))
	}
	e.keeper, e.inbox = eject.NewKeeper(opts...), nil
	e.keeper.Service("tables", w.floor)
	for _, t := range w.targets {
		e.keeper.Target(w.now, t)
	}
}

func (w *world) send(s *site, fact bool, deliver func(now time.Time)) {
	at := w.now.Add(time.Duration(w.draws.Int64N(int64(eject.Delay))))
	if at.Before(s.last) {
		at = s.last
	}
	s.last = at
	s.inbox = append(s.inbox, parcel{at: at, fact: fact, deliver: deliver})
}

func (s *site) receive(now time.Time) {
	var rest []parcel
	for _, p := range s.inbox {
		switch {
		case s.cut && p.fact, !s.cut && p.at.After(now):
			rest = append(rest, p)
		case s.cut:
		default:
			p.deliver(now)
		}
	}
	s.inbox = rest
}

// knows reports whether no knowledge is on its way.
func (s *site) knows() bool {
	for _, p := range s.inbox {
		if p.fact {
			return false
		}
	}
	return true
}

func (w *world) chance(perSecond float64) bool { return w.draws.Float64() < perSecond*tick.Seconds() }

func (w *world) faults() {
	for _, e := range w.entries {
		if w.chance(0.1) {
			e.cut, e.cutSince = !e.cut, w.now
		}
		if w.chance(0.02) && !e.cut {
			w.boot(e)
		}
	}
	if w.chance(0.02) {
		w.lead()
	}
	if w.chance(0.1) {
		w.quorum = !w.quorum
	}
	if w.stable {
		return
	}
	if w.chance(0.3) {
		t := &w.targets[w.draws.IntN(len(w.targets))]
		t.State = []eject.State{eject.Ready, eject.Ready, eject.Draining, eject.Gone, eject.Cold}[w.draws.IntN(5)]
		t.Start = w.now
		told := *t
		w.send(w.control, true, func(now time.Time) { w.leader.Target(now, told) })
		for _, e := range w.entries {
			w.send(e, true, func(now time.Time) { e.keeper.Target(now, told) })
		}
	}
	if w.chance(0.1) {
		w.floor = []eject.Floor{{Share: 0.3}, {Share: 0.6}, {Share: 0.9}, {Slots: 20}, {Slots: 40}}[w.draws.IntN(5)]
		floor := w.floor
		w.send(w.control, true, func(time.Time) { w.leader.Service("tables", floor, health.Fast) })
		for _, e := range w.entries {
			w.send(e, true, func(time.Time) { e.keeper.Service("tables", floor) })
		}
	}
}

func (w *world) step() {
	w.now = w.now.Add(tick)
	w.faults()
	w.control.receive(w.now)
	for i, t := range w.targets {
		// A third of the targets look unhealthy, changing every 20 s.
		bad, good := health.Ratio(0)
		row := wire.Sighted{Service: "tables", Target: t.Address, Start: t.Start, Score: 5 * bad, Slow: 5}
		if (i+int(w.now.Sub(start)/(20*time.Second)))%3 != 0 {
			row.Score, row.Slow, row.Good = 5*good, 0, 5
		}
		w.leader.Evidence(w.now, wire.Evidence{Region: "salish", Sightings: []wire.Sighted{row}})
	}
	for _, set := range w.leader.Step(w.now) {
		leader := w.leader
		w.commits = append(w.commits, parcel{at: w.now.Add(time.Duration(w.draws.IntN(300)) * time.Millisecond), deliver: func(time.Time) {
			w.index++
			w.set = set
			leader.Applied(w.index, set.Service)
		}})
	}
	var rest []parcel
	for _, c := range w.commits {
		if w.quorum && !c.at.After(w.now) {
			c.deliver(w.now)
		} else {
			rest = append(rest, c)
		}
	}
	w.commits = rest
	if w.leader.Changed() {
		orders := w.leader.Orders(w.now)
		for _, e := range w.entries {
			if !e.cut {
				w.send(e, false, func(now time.Time) { e.keeper.Orders(now, orders) })
			}
		}
	}
	for _, e := range w.entries {
		e.receive(w.now)
		e.keeper.Step(w.now)
		w.ejected += len(e.keeper.Out("tables"))
	}
}

// violation names an entry that holds targets out although the healthy
// capacity that it leaves in service is below the floor, or the union of what
// all entries hold out when nothing but the network changes.
func (w *world) violation() string {
	union := map[string]bool{}
	for i, e := range w.entries {
		out := map[string]bool{}
		for _, o := range e.keeper.Out("tables") {
			out[o.Target.String()], union[o.Target.String()] = true, true
		}
		if e.cut && w.now.Sub(e.cutSince) > eject.Lease+eject.Delay && len(out) > 0 {
			return fmt.Sprintf("entry %d is cut off and holds %d targets", i, len(out))
		}
		if s := w.below(out); s != "" && e.knows() {
			return fmt.Sprintf("entry %d: %s", i, s)
		}
	}
	if w.stable {
		return w.below(union)
	}
	return ""
}

func (w *world) below(out map[string]bool) string {
	announced, serving, held := 0, 0, 0
	for _, t := range w.targets {
		if t.State != eject.Gone {
			announced += t.Slots
		}
		switch {
		case t.State != eject.Ready:
		case out[t.Address.String()]:
			held += t.Slots
		default:
			serving += t.Slots
		}
	}
	floor := max(w.floor.Share*float64(announced), float64(w.floor.Slots))
	if held > 0 && float64(serving) < floor {
		return fmt.Sprintf("%d slots held out, %d in service, floor %.1f", held, serving, floor)
	}
	return ""
}

func (w *world) run(d time.Duration) string {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
		if s := w.violation(); s != "" {
			return fmt.Sprintf("after %v: %s", w.now.Sub(start), s)
		}
	}
	return ""
}

// compare runs both variants from many seeds. The real one must hold on every
// seed; a seed on which the naive one holds as well proves nothing, and there
// must be few of those.
func compare(t *testing.T, stable bool) {
	length := 3 * time.Minute
	if testing.Short() {
		length = time.Minute
	}
	seeds, failed, ejected := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newWorld(seed, false, stable)
		if s := w.run(length); s != "" {
			t.Fatalf("seed %d: %s", seed, s)
		}
		seeds++
		ejected += w.ejected
		if newWorld(seed, true, stable).run(length) != "" {
			failed++
		}
	})
	t.Logf("the naive variant fails on %d of %d seeds; %d targets held out, summed over entries and ticks", failed, seeds, ejected)
	if 4*failed < 3*seeds || ejected == 0 {
		t.Fatal("the runs do not exercise the budget")
	}
}

// Guards against ejections that push the healthy capacity of any entry below
// the floor, while entries are partitioned or restart, leaders change, commits
// are delayed, targets come, drain, die and floors move.
func TestFloorHolds(t *testing.T) { compare(t, false) }

// Guards against sets of grants that are each within the budget and together
// are not: old and new leases held by different entries. The entries' own
// check is off, so that the leader alone has to keep the floor.
func TestUnionOfLeasesHolds(t *testing.T) { compare(t, true) }

// Guards against a new leader that ejects while entries hold leases of its
// predecessor that are not in the newest set, such as withdrawn ones. The naive
// variant waits 3 s and knows the newest set only.
func TestNewLeaderWaits(t *testing.T) {
	length := 3 * time.Minute
	if testing.Short() {
		length = time.Minute
	}
	failed := 0
	for seed := range uint64(100) {
		if s := newWorld(seed, false, true).run(length); s != "" {
			t.Fatalf("seed %d: %s", seed, s)
		}
		w := newWorld(seed, false, true)
		w.hasty = true
		w.lead()
		if s := w.run(length); s != "" {
			failed++
			t.Logf("seed %d, naive: %s", seed, s)
		}
	}
	if failed == 0 {
		t.Fatal("the runs do not exercise the wait of a new leader")
	}
}
