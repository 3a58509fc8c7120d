package store

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/wire"
)

// DefaultSegment is the size in bytes after which a segment is closed. A
// segment is read into memory as a whole when the store is opened.
const DefaultSegment = 8 << 20

// Store is an open folder. It is not safe for concurrent use.
type Store struct {
	dir      string
	files    Files
	limit    int64
	replica  uint64
	founders raft.Members
	newID    func() (uint64, error)

	identity Identity
	state    State
	batch    uint64
	closed   []segment // older segments, oldest first
	active   segment
	handle   Handle
	failed   error
	syncs    uint64
}

// Option sets a property of a store.
type Option func(*Store)

// WithFiles replaces the file operations.
func WithFiles(files Files) Option { return func(s *Store) { s.files = files } }

// WithSegment sets the size of a segment in bytes.
func WithSegment(size int64) Option { return func(s *Store) { s.limit = size } }

// WithReplica sets the replica that a new folder is created for and that an
// existing one must belong to.
func WithReplica(id uint64) Option { return func(s *Store) { s.replica = id } }

// WithFounders lets a new folder found a group of the given members.
func WithFounders(members raft.Members) Option { return func(s *Store) { s.founders = members } }

// WithIncarnation replaces the source of random incarnations.
func WithIncarnation(next func() (uint64, error)) Option { return func(s *Store) { s.newID = next } }

// Open opens the folder, creating it if it does not exist, and reads its
// content. A *DamageError means that the replica has to recover from its peers.
func Open(dir string, opts ...Option) (*Store, error) {
	s := &Store{dir: dir, files: OS(), limit: DefaultSegment, newID: newIncarnation}
	for _, opt := range opts {
		opt(s)
	}
	if err := s.files.Mkdir(dir); err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	if err := s.openIdentity(); err != nil {
		return nil, err
	}
	if err := s.openLog(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Store) openIdentity() error {
	id, err := s.readIdentity()
	if errors.Is(err, fs.ErrNotExist) {
		return s.create()
	}
	if err != nil {
		return err
	}
	if s.replica != 0 && id.ID != s.replica {
		return &IdentityError{Dir: s.dir, Found: id.ID, Want: s.replica}
	}
	s.identity = id
	return nil
}

// create fills a new folder. The identity comes last: a folder without it is
// one whose creation was interrupted, and is filled again.
func (s *Store) create() error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return fmt.Errorf("list folder: %w", err)
	}
	for _, name := range names {
		if _, ok := parseNumber(segmentPrefix, name); ok {
			return &DamageError{File: s.path(identityFile), Reason: "missing beside a log"}
		}
	}
	incarnation, err := s.newID()
	if err != nil {
		return fmt.Errorf("incarnation: %w", err)
	}
	if len(s.founders) > 0 {
		parts, err := encodeSnapshot(raft.Founding(s.founders))
		if err != nil {
			return err
		}
		if err := s.replace(numbered(snapshotPrefix, raft.FoundingIndex), parts...); err != nil {
			return err
		}
	}
	if err := s.files.SyncDir(filepath.Dir(s.dir)); err != nil {
		return fmt.Errorf("sync parent folder: %w", err)
	}
	s.identity = Identity{
		ID: s.replica, Incarnation: incarnation,
		Founded: len(s.founders) > 0, Recovering: len(s.founders) == 0,
	}
	return s.writeIdentity(s.identity)
}

// Identity returns the owner of the folder.
func (s *Store) Identity() Identity { return s.identity }

// Load returns all that the folder held when it was opened.
func (s *Store) Load() State { return s.state }

// Syncs returns the number of syncs of the log so far.
func (s *Store) Syncs() uint64 { return s.syncs }

// Mark records whether the replica is recovering.
func (s *Store) Mark(recovering bool) error {
	if s.failed != nil {
		return s.failed
	}
	id := s.identity
	id.Recovering = recovering
	if err := s.writeIdentity(id); err != nil {
		return s.fail(err)
	}
	s.identity = id
	return nil
}

// fail keeps the store from further work after an error that leaves unknown what
// reached the disk. A full disk is none.
func (s *Store) fail(err error) error {
	var full *FullError
	if !errors.As(err, &full) {
		s.failed = err
	}
	return err
}

// Save appends entries and hard state in one batch and syncs once.
func (s *Store) Save(hard raft.HardState, entries []raft.Entry) error {
	records := make([]record, 0, len(entries)+1)
	for _, entry := range entries {
		payload, err := wire.Encode(entry)
		if err != nil {
			return err
		}
		if len(payload) > wire.MaxMessage {
			return fmt.Errorf("entry %d has %d bytes, more than can be read again", entry.Index, len(payload))
		}
		records = append(records, record{kind: kindEntry, payload: payload})
		s.active.max = max(s.active.max, entry.Index)
	}
	return s.write(hard, records)
}

// write adds the hard state to the records and makes them durable.
func (s *Store) write(hard raft.HardState, records []record) error {
	if s.failed != nil {
		return s.failed
	}
	payload, err := wire.Encode(hard)
	if err != nil {
		return err
	}
	records = append(records, record{kind: kindHard, payload: payload})
	var out []byte
	s.batch++
	for i, r := range records {
		r.batch, r.left = s.batch, uint32(len(records)-i-1)
		out = appendRecord(out, r)
	}
	if err := s.handle.Write(out); err != nil {
		return s.fail(s.undo(fmt.Errorf("write log: %w", err)))
	}
	if err := s.handle.Sync(); err != nil {
		return s.fail(fmt.Errorf("sync log: %w", err))
	}
	s.syncs++
	s.state.Hard = hard
	s.active.size += int64(len(out))
	if s.active.size >= s.limit {
		return s.rotate()
	}
	return nil
}

// undo takes back a batch of which a full disk holds a part.
func (s *Store) undo(err error) error {
	if !full(err) {
		return err
	}
	if cut := s.files.Truncate(s.path(numbered(segmentPrefix, s.active.number)), s.active.size); cut != nil {
		return errors.Join(err, cut)
	}
	s.batch--
	return &FullError{Err: err}
}

// Snapshot replaces the stored snapshot and removes the segments that it makes
// needless.
func (s *Store) Snapshot(snap raft.Snapshot) error {
	if err := s.writeSnapshot(snap); err != nil {
		return err
	}
	return s.trim(snap.Index)
}

// Install replaces the stored snapshot by one received from the leader, and the
// whole log with it.
func (s *Store) Install(snap raft.Snapshot, hard raft.HardState) error {
	if err := s.writeSnapshot(snap); err != nil {
		return err
	}
	if err := s.write(hard, []record{{kind: kindReset}}); err != nil {
		return err
	}
	return s.trim(snap.Index)
}

func (s *Store) writeSnapshot(snap raft.Snapshot) error {
	if s.failed != nil {
		return s.failed
	}
	if snap.Index <= s.state.Snapshot.Index {
		return nil // a newer one was received meanwhile
	}
	parts, err := encodeSnapshot(snap)
	if err != nil {
		return err
	}
	old := s.state.Snapshot.Index
	if err := s.replace(numbered(snapshotPrefix, snap.Index), parts...); err != nil {
		return s.fail(err)
	}
	s.state.Snapshot = raft.Snapshot{Index: snap.Index, Term: snap.Term, Members: snap.Members}
	if old != 0 {
		if err := s.files.Remove(s.path(numbered(snapshotPrefix, old))); err != nil {
			return s.fail(fmt.Errorf("remove old snapshot: %w", err))
		}
	}
	return nil
}

// Close closes the active segment.
func (s *Store) Close() error {
	if s.handle.Close == nil {
		return nil
	}
	return s.handle.Close()
}
