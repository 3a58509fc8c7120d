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
	dir              = "data"
	smallSegmentSize = 300
)

var founders = raft.Members{{ID: 1}, {ID: 2}, {ID: 3}}

func openStore(d *disk) (*store.Store, error) {
	return store.Open(dir, store.WithFiles(d.files()), store.WithSegmentSize(smallSegmentSize),
		store.WithReplica(1), store.WithFounders(founders))
}

// model is the expected content of a store.
type model struct {
	hard    raft.HardState
	snap    raft.Snapshot
	entries []raft.Entry
}

func (m model) lastIndex() uint64 { return m.snap.Index + uint64(len(m.entries)) }

func (m model) String() string {
	out := fmt.Sprintf("hard=%v snap=%d/%d/%s entries=", m.hard, m.snap.Index, m.snap.Term, m.snap.Data)
	for _, e := range m.entries {
		out += fmt.Sprintf("%d/%d/%d ", e.Index, e.Term, len(e.Data))
	}
	return out
}

// withSnapshot returns the model after a newer snapshot was stored.
func (m model) withSnapshot(s raft.Snapshot) model {
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

// change is a call on the store, with the state after it and the further states
// that a crash during the call may leave.
type change struct {
	call         func(*store.Store) error
	intermediate []model
	final        model
}

func (m model) randomChange(rng *rand.Rand) change {
	switch n := rng.Intn(10); {
	case n == 0 && len(m.entries) > 0:
		e := m.entries[rng.Intn(len(m.entries))]
		s := raft.Snapshot{Index: e.Index, Term: e.Term, Members: founders, Data: fmt.Appendf(nil, "state %d", e.Index)}
		return change{call: func(st *store.Store) error { return st.SaveSnapshot(s) }, final: m.withSnapshot(s)}
	case n == 1:
		s := raft.Snapshot{
			Index: m.snap.Index + 1 + uint64(rng.Intn(8)), Term: m.hard.Term + 1, Members: founders,
			Data: []byte("installed"),
		}
		hard := raft.HardState{Term: m.hard.Term + 2}
		return change{
			call:         func(st *store.Store) error { return st.InstallSnapshot(s, hard) },
			intermediate: []model{m.withSnapshot(s)}, final: model{hard: hard, snap: s},
		}
	}
	hard := raft.HardState{Term: m.hard.Term + uint64(rng.Intn(2)), Vote: uint64(rng.Intn(3)), Commit: m.hard.Commit}
	first := m.lastIndex() + 1
	if rng.Intn(4) == 0 && len(m.entries) > 0 { // a new leader overwrites entries
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
	return change{call: func(st *store.Store) error { return st.Save(hard, added) }, final: end}
}

func loadModel(s *store.Store) model {
	state := s.Load()
	return model{state.Hard, state.Snapshot, state.Entries}
}

func equalModels(a, b model) bool {
	return a.String() == b.String() && reflect.DeepEqual(a.snap.Members, b.snap.Members)
}

// workload makes random changes until one fails. It then returns the state before
// the failed change and the states that the change may have left.
func workload(s *store.Store, rng *rand.Rand, count int) (allowed []model, failed error) {
	m := loadModel(s)
	for range count {
		c := m.randomChange(rng)
		if err := c.call(s); err != nil {
			return append(append(c.intermediate, m), c.final), err
		}
		m = c.final
	}
	return []model{m}, nil
}

// Guards against a crash at any file operation that loses acknowledged data, keeps
// part of a batch, or leaves a directory that cannot be opened.
func TestCrashAtEveryStep(t *testing.T) {
	seeds := 12
	if testing.Short() {
		seeds = 2
	}
	points := 0
	for seed := range int64(seeds) {
		for _, after := range []bool{false, true} {
			for at := 1; ; at++ {
				done, err := runWithCrash(seed, at, after, "")
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

// Checks that the crash test detects a store that omits a sync.
func TestCrashWithoutSync(t *testing.T) {
	for _, ignored := range []string{"sync", "syncdir"} {
		t.Run(ignored, func(t *testing.T) {
			for at := 1; at < 200; at++ {
				if _, err := runWithCrash(1, at, true, ignored); err != nil {
					t.Logf("sync omitted, crash at operation %d: %.150s", at, err)
					return
				}
			}
			t.Fatal("no crash damaged the store")
		})
	}
}

// runWithCrash crashes a workload at one file operation and checks the content of
// the disk afterwards. done is true if the workload ended before that operation.
func runWithCrash(seed int64, at int, after bool, ignored string) (done bool, err error) {
	rng := rand.New(rand.NewSource(seed))
	d := newDisk(seed*1000 + int64(at))
	d.crashAt, d.crashAfter, d.ignored = at, after, ignored
	allowed := []model{{snap: raft.Founding(founders)}}
	s, err := openStore(d)
	incarnation := uint64(0)
	if err == nil {
		incarnation = s.Identity().Incarnation
		allowed, err = workload(s, rng, 25)
	}
	if !d.crashed {
		return true, err
	}
	// A second crash during the recovery in Open must not damage the store either.
	for second := 1; second <= 6; second++ {
		d = d.reboot()
		d.crashAt = second * 2
		if _, err = openStore(d); err == nil {
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
	if s, err = openStore(d); err != nil {
		return false, err
	}
	if incarnation != 0 && s.Identity().Incarnation != incarnation {
		return false, errors.New("the incarnation changed")
	}
	found := loadModel(s)
	for _, m := range allowed {
		if equalModels(m, found) {
			return false, checkResume(d, s, rng)
		}
	}
	return false, fmt.Errorf("found %v, allowed %v", found, allowed)
}

// checkResume checks that a recovered store accepts changes and can be reopened.
func checkResume(d *disk, s *store.Store, rng *rand.Rand) error {
	want, err := workload(s, rng, 10)
	if err != nil {
		return err
	}
	d.crashAt = 0
	again, err := openStore(d.reboot())
	if err != nil {
		return fmt.Errorf("opened again: %w", err)
	}
	if got := loadModel(again); !equalModels(got, want[0]) {
		return fmt.Errorf("opened again: found %v, want %v", got, want[0])
	}
	return nil
}

// Guards against a store that continues after a failed sync: the kernel may have
// dropped the data and still report success for the next sync.
func TestFailedSync(t *testing.T) {
	for _, op := range []string{"write", "sync"} {
		t.Run(op, func(t *testing.T) {
			is := is.New(t)
			d := newDisk(1)
			s, err := openStore(d)
			is.NoErr(err)
			d.failing = map[string]bool{op: true}
			is.True(s.Save(raft.HardState{Term: 2}, nil) != nil)
			d.failing = nil
			is.True(s.Save(raft.HardState{Term: 2}, nil) != nil)
		})
	}
}

// Guards against a sync for each entry instead of one for the whole batch.
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
