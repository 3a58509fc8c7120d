package store_test

import (
	"errors"
	"fmt"
	"math/rand"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/store"
)

const (
	dir          = "data"
	smallSegment = 300
)

var founders = raft.Members{{ID: 1}, {ID: 2}, {ID: 3}}

func open(d *disk) (*store.Store, error) {
	return store.Open(dir, store.WithFiles(d.files()), store.WithSegment(smallSegment),
		store.WithReplica(1), store.WithFounders(founders))
}

// model is what the store should hold.
type model struct {
	hard    raft.HardState
	snap    raft.Snapshot
	entries []raft.Entry
}

func (m model) last() uint64 { return m.snap.Index + uint64(len(m.entries)) }

func (m model) String() string {
	out := fmt.Sprintf("hard=%v snap=%d/%d/%s entries=", m.hard, m.snap.Index, m.snap.Term, m.snap.Data)
	for _, e := range m.entries {
		out += fmt.Sprintf("%d/%d/%d ", e.Index, e.Term, len(e.Data))
	}
	return out
}

// after returns the model with a newer snapshot.
func (m model) after(s raft.Snapshot) model {
	next := model{hard: m.hard, snap: s}
	for _, e := range m.entries {
		if e.Index == s.Index && e.Term != s.Term {
			return model{hard: m.hard, snap: s}
		}
		if e.Index > s.Index {
			next.entries = append(next.entries, e)
		}
	}
	return next
}

// change is a random call on the store, with the states that a crash during it
// may leave.
type change struct {
	call func(*store.Store) error
	mid  []model
	end  model
}

func (m model) random(rng *rand.Rand) change {
	switch n := rng.Intn(10); {
	case n == 0 && len(m.entries) > 0:
		e := m.entries[rng.Intn(len(m.entries))]
		s := raft.Snapshot{Index: e.Index, Term: e.Term, Members: founders, Data: fmt.Appendf(nil, "state %d", e.Index)}
		return change{call: func(st *store.Store) error { return st.Snapshot(s) }, end: m.after(s)}
	case n == 1:
		s := raft.Snapshot{
			Index: m.snap.Index + 1 + uint64(rng.Intn(8)), Term: m.hard.Term + 1, Members: founders,
			Data: []byte("installed"),
		}
		hard := raft.HardState{Term: m.hard.Term + 2}
		return change{
			call: func(st *store.Store) error { return st.Install(s, hard) },
			mid:  []model{m.after(s)}, end: model{hard: hard, snap: s},
		}
	}
	hard := raft.HardState{Term: m.hard.Term + uint64(rng.Intn(2)), Vote: uint64(rng.Intn(3)), Commit: m.hard.Commit}
	first := m.last() + 1
	if rng.Intn(4) == 0 && len(m.entries) > 0 { // a new leader replaces entries
		first = m.entries[rng.Intn(len(m.entries))].Index
	}
	var added []raft.Entry
	for i := range rng.Intn(4) {
		added = append(added, raft.Entry{Index: first + uint64(i), Term: hard.Term + 1, Data: make([]byte, 1+rng.Intn(40))})
	}
	hard.Term++
	end := model{hard: hard, snap: m.snap, entries: m.entries}
	if len(added) > 0 {
		keep := first - m.snap.Index - 1
		end.entries = append(append([]raft.Entry(nil), m.entries[:keep]...), added...)
	}
	return change{call: func(st *store.Store) error { return st.Save(hard, added) }, end: end}
}

func load(s *store.Store) model {
	state := s.Load()
	return model{state.Hard, state.Snapshot, state.Entries}
}

func same(a, b model) bool {
	return a.String() == b.String() && reflect.DeepEqual(a.snap.Members, b.snap.Members)
}

// workload runs random changes until one fails. It returns the state before the
// failing change and the states that it may have left.
func workload(s *store.Store, rng *rand.Rand, count int) (allowed []model, failed error) {
	m := load(s)
	for range count {
		c := m.random(rng)
		if err := c.call(s); err != nil {
			return append(append(c.mid, m), c.end), err
		}
		m = c.end
	}
	return []model{m}, nil
}

// Guards against a crash at any file operation that loses what was
// acknowledged, keeps half a batch, or leaves a folder that does not open.
func TestCrashAtEveryStep(t *testing.T) {
	seeds := 12
	if testing.Short() {
		seeds = 2
	}
	points := 0
	for seed := range int64(seeds) {
		for _, after := range []bool{false, true} {
			for at := 1; ; at++ {
				done, err := crashAt(seed, at, after, "")
				if err != nil {
					t.Fatalf("seed %d, crash at operation %d (after=%v): %v", seed, at, after, err)
				}
				if done {
					break
				}
				points++
			}
		}
	}
	t.Logf("%d crash points over seeds 0 to %d", points, seeds-1)
}

// Shows that the crash points find a store that leaves out a sync.
func TestCrashWithoutSync(t *testing.T) {
	for _, ignored := range []string{"sync", "syncdir"} {
		t.Run(ignored, func(t *testing.T) {
			for at := 1; at < 200; at++ {
				if _, err := crashAt(1, at, true, ignored); err != nil {
					t.Logf("naive, crash at operation %d: %.150s", at, err)
					return
				}
			}
			t.Fatal("no crash does harm")
		})
	}
}

// crashAt crashes a workload at one operation and checks what is left. It is
// done when the workload ends before that operation.
func crashAt(seed int64, at int, after bool, ignored string) (done bool, err error) {
	rng := rand.New(rand.NewSource(seed))
	d := newDisk(seed*1000 + int64(at))
	d.crashAt, d.after, d.ignored = at, after, ignored
	allowed := []model{{snap: raft.Founding(founders)}}
	s, err := open(d)
	incarnation := uint64(0)
	if err == nil {
		incarnation = s.Identity().Incarnation
		allowed, err = workload(s, rng, 25)
	}
	if !d.crashed {
		return true, err
	}
	// A second crash while the folder is repaired must do no harm either.
	for second := 1; second <= 6; second++ {
		d = d.reboot()
		d.crashAt = second * 2
		if _, err = open(d); err == nil {
			break
		}
		if !d.crashed {
			return false, err
		}
	}
	d.crashAt = 0
	if d.crashed {
		d = d.reboot()
	}
	if s, err = open(d); err != nil {
		return false, err
	}
	if incarnation != 0 && s.Identity().Incarnation != incarnation {
		return false, errors.New("the incarnation changed")
	}
	found := load(s)
	for _, m := range allowed {
		if same(m, found) {
			return false, resume(d, s, rng)
		}
	}
	return false, fmt.Errorf("found %v, allowed %v", found, allowed)
}

// resume shows that a repaired store works and opens again.
func resume(d *disk, s *store.Store, rng *rand.Rand) error {
	want, err := workload(s, rng, 10)
	if err != nil {
		return err
	}
	d.crashAt = 0
	again, err := open(d.reboot())
	if err != nil {
		return fmt.Errorf("opened again: %w", err)
	}
	if got := load(again); !same(got, want[0]) {
		return fmt.Errorf("opened again: found %v, want %v", got, want[0])
	}
	return nil
}

// Guards against a store that goes on after a failed sync, when the kernel may
// have dropped the data and reports the next sync as good.
func TestFailedSync(t *testing.T) {
	for _, op := range []string{"write", "sync"} {
		t.Run(op, func(t *testing.T) {
			is := is.New(t)
			d := newDisk(1)
			s, err := open(d)
			is.NoErr(err)
			d.broken = map[string]bool{op: true}
			is.True(s.Save(raft.HardState{Term: 2}, nil) != nil)
			d.broken = nil
			is.True(s.Save(raft.HardState{Term: 2}, nil) != nil)
		})
	}
}

// Guards against a sync for each entry instead of one for the batch.
func TestOneSyncPerBatch(t *testing.T) {
	is := is.New(t)
	d := newDisk(1)
	s, err := store.Open(dir, store.WithFiles(d.files()), store.WithReplica(1), store.WithFounders(founders))
	is.NoErr(err)
	before, ops := s.Syncs(), d.ops
	entries := make([]raft.Entry, 100)
	for i := range entries {
		entries[i] = raft.Entry{Index: uint64(i) + 2, Term: 1}
	}
	is.NoErr(s.Save(raft.HardState{Term: 1}, entries))
	is.Equal(s.Syncs()-before, uint64(1))
	is.Equal(d.ops-ops, 2) // write, sync
}
