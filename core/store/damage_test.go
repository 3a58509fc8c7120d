package store_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/store"
)

// newFilledDisk returns a disk with several segments, and the states before the
// first batch and after each batch.
func newFilledDisk(t *testing.T) (*disk, []model) {
	d := newDisk(1)
	s, err := openStore(d)
	if err != nil {
		t.Fatal(err)
	}
	m := model{snap: raft.Founding(founders)}
	states := []model{m}
	for i := range uint64(12) {
		entry := raft.Entry{Index: m.lastIndex() + 1, Term: i + 1, Data: []byte("some command of a caller")}
		m.hard = raft.HardState{Term: i + 1, Vote: 1}
		m.entries = append(m.entries[:len(m.entries):len(m.entries)], entry)
		if err := s.Save(m.hard, []raft.Entry{entry}); err != nil {
			t.Fatal(err)
		}
		states = append(states, m)
	}
	return d, states
}

func segmentFiles(d *disk) (names []string) {
	names, _ = d.files().List(dir)
	out := names[:0]
	for _, name := range names {
		if strings.HasPrefix(name, "log-") {
			out = append(out, dir+"/"+name)
		}
	}
	return out
}

// Guards against a changed byte that is read as a different state. Only the last
// batch may be missing, because damage there looks like an incomplete write.
func TestEveryChangedByteIsDetected(t *testing.T) {
	d, states := newFilledDisk(t)
	complete, before := states[len(states)-1], states[len(states)-2]
	names, _ := d.files().List(dir)
	damaged := 0
	for _, base := range names {
		name := dir + "/" + base
		for at := range d.current[name].data {
			d.current[name].data[at] ^= 0x40
			next := d.clone()
			s, err := openStore(next)
			d.current[name].data[at] ^= 0x40
			var damage *store.DamageError
			switch {
			case errors.As(err, &damage):
				damaged++
				if damage.File == "" || damage.Reason == "" || damage.Offset > int64(at) {
					t.Fatalf("%s byte %d: %v", name, at, err)
				}
			case err != nil:
				t.Fatalf("%s byte %d: %v", name, at, err)
			case !equalModels(loadModel(s), complete) && !equalModels(loadModel(s), before):
				t.Fatalf("%s byte %d: read %v", name, at, loadModel(s))
			}
		}
	}
	t.Logf("%d changed bytes reported as damage in %v", damaged, names)
	if damaged == 0 {
		t.Fatal("no damage reported")
	}
}

// Guards against a truncated log that is accepted as complete, and an incomplete
// tail that prevents a replica from starting.
func TestTruncatedLog(t *testing.T) {
	is := is.New(t)
	d, states := newFilledDisk(t)
	segments := segmentFiles(d)
	is.True(len(segments) > 2)
	for i, name := range segments {
		for size := range d.current[name].data {
			next := d.clone()
			next.current[name].data = next.current[name].data[:size]
			s, err := openStore(next)
			var damage *store.DamageError
			if i < len(segments)-1 {
				is.True(errors.As(err, &damage)) // only the last segment may be incomplete
				continue
			}
			is.NoErr(err)
			found := false
			for _, m := range states {
				found = found || equalModels(m, loadModel(s))
			}
			is.True(found) // the state after a complete batch
		}
	}
	for i := 1; i < len(segments)-1; i++ {
		next := d.clone()
		delete(next.current, segments[i])
		_, err := openStore(next)
		var damage *store.DamageError
		is.True(errors.As(err, &damage)) // missing segment
	}
}

// Guards against the use of a directory of another replica, and a directory with a
// log but no identity that is treated as new.
func TestIdentity(t *testing.T) {
	is := is.New(t)
	d, _ := newFilledDisk(t)
	_, err := store.Open(dir, store.WithFiles(d.files()), store.WithReplica(2))
	var identity *store.IdentityError
	is.True(errors.As(err, &identity))
	delete(d.current, dir+"/identity")
	_, err = openStore(d)
	var damage *store.DamageError
	is.True(errors.As(err, &damage))

	empty := newDisk(1)
	s, err := store.Open(dir, store.WithFiles(empty.files()), store.WithReplica(4))
	is.NoErr(err)
	is.True(s.Identity().Recovering)
	first := s.Identity().Incarnation
	is.True(first != 0)
	is.NoErr(s.SetRecovering(false))
	s, err = store.Open(dir, store.WithFiles(empty.files()), store.WithReplica(4))
	is.NoErr(err)
	is.True(!s.Identity().Recovering)
	is.Equal(s.Identity().Incarnation, first)
}

// Guards against a decoder that panics, allocates the size that a corrupt field
// claims, or accepts a log that it then cannot continue.
func FuzzOpen(f *testing.F) {
	f.Fuzz(func(t *testing.T, first, second []byte) {
		d := newDisk(1)
		if _, err := openStore(d); err != nil {
			t.Fatal(err)
		}
		d.current[dir+"/log-0000000000000001"] = &inode{data: bytes.Clone(first)}
		if len(second) > 0 {
			d.current[dir+"/log-0000000000000002"] = &inode{data: bytes.Clone(second)}
		}
		s, err := openStore(d)
		if err != nil {
			return
		}
		m := loadModel(s)
		entry := raft.Entry{Index: m.lastIndex() + 1, Term: 9}
		m.hard, m.entries = raft.HardState{Term: 9}, append(m.entries, entry)
		if err := s.Save(m.hard, []raft.Entry{entry}); err != nil {
			t.Fatal(err)
		}
		if s, err = openStore(d); err != nil {
			t.Fatalf("opened again: %v", err)
		}
		if !equalModels(loadModel(s), m) {
			t.Fatalf("opened again: %v, want %v", loadModel(s), m)
		}
	})
}
