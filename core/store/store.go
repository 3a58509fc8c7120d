package store

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/wire"
)

// DefaultSegmentSize is the size in bytes at which a segment is closed. Open reads
// each segment into memory as a whole.
const DefaultSegmentSize = 8 << 20

// Store is an open data directory. It is not safe for concurrent use.
type Store struct {
	dir         string
	files       Files
	segmentSize int64
	replicaID   uint64
	founders    raft.Members
	newID       func() (uint64, error)

	identity       Identity
	state          State
	lastBatch      uint64
	closedSegments []segment // oldest first
	activeSegment  segment
	activeHandle   Handle
	failure        error
	syncs          uint64
}

// Option configures a Store.
type Option func(*Store)

// WithFiles replaces the file operations of the operating system.
func WithFiles(files Files) Option { return func(s *Store) { s.files = files } }

// WithSegmentSize sets the size in bytes at which a segment is closed.
func WithSegmentSize(size int64) Option { return func(s *Store) { s.segmentSize = size } }

// WithReplica sets the ID of the replica that owns the directory. Open returns an
// *IdentityError if an existing directory belongs to another replica.
func WithReplica(id uint64) Option { return func(s *Store) { s.replicaID = id } }

// WithFounders makes a new directory that of a founder of a group with the given
// members. It has no effect on an existing directory.
func WithFounders(members raft.Members) Option { return func(s *Store) { s.founders = members } }

// WithIncarnation replaces the source of random incarnations.
func WithIncarnation(next func() (uint64, error)) Option { return func(s *Store) { s.newID = next } }

// Open opens the directory, creating it if it does not exist, and reads its
// content. After a *DamageError the replica has to recover from its peers.
func Open(dir string, opts ...Option) (*Store, error) {
	s := &Store{dir: dir, files: OS(), segmentSize: DefaultSegmentSize, newID: newIncarnation}
	for _, opt := range opts {
		opt(s)
	}
	if err := s.files.Mkdir(dir); err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
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
		return s.initDirectory()
	}
	if err != nil {
		return err
	}
	if s.replicaID != 0 && id.ID != s.replicaID {
		return &IdentityError{Dir: s.dir, Found: id.ID, Want: s.replicaID}
	}
	s.identity = id
	return nil
}

// initDirectory initializes a new directory. The identity is written last: a
// directory without it is one whose initialization was interrupted, and is
// initialized again.
func (s *Store) initDirectory() error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return fmt.Errorf("list directory: %w", err)
	}
	for _, name := range names {
		if _, ok := parseNumber(segmentPrefix, name); ok {
			return &DamageError{File: s.path(identityFile), Reason: "missing although log segments exist"}
		}
	}
	incarnation, err := s.newID()
	if err != nil {
		return fmt.Errorf("generate incarnation: %w", err)
	}
	if len(s.founders) > 0 {
		parts, err := encodeSnapshot(raft.Founding(s.founders))
		if err != nil {
			return err
		}
		if err := s.replaceFile(numberedName(snapshotPrefix, raft.FoundingIndex), parts...); err != nil {
			return err
		}
	}
	if err := s.files.SyncDir(filepath.Dir(s.dir)); err != nil {
		return fmt.Errorf("sync parent directory: %w", err)
	}
	s.identity = Identity{
		ID: s.replicaID, Incarnation: incarnation,
		Founded: len(s.founders) > 0, Recovering: len(s.founders) == 0,
	}
	return s.writeIdentity(s.identity)
}

// Identity returns the identity of the replica that owns the directory.
func (s *Store) Identity() Identity { return s.identity }

// Load returns the state that Open read from the directory.
func (s *Store) Load() State { return s.state }

// Syncs returns the number of log syncs since the store was opened.
func (s *Store) Syncs() uint64 { return s.syncs }

// SetRecovering stores whether the replica is recovering.
func (s *Store) SetRecovering(recovering bool) error {
	if s.failure != nil {
		return s.failure
	}
	id := s.identity
	id.Recovering = recovering
	if err := s.writeIdentity(id); err != nil {
		return s.recordFailure(err)
	}
	s.identity = id
	return nil
}

// recordFailure makes the store refuse further work after an error that leaves it
// unknown which data reached the disk. A *FullError is not such an error.
func (s *Store) recordFailure(err error) error {
	var full *FullError
	if !errors.As(err, &full) {
		s.failure = err
	}
	return err
}

// Save appends the entries and the hard state as one batch and syncs once.
func (s *Store) Save(hard raft.HardState, entries []raft.Entry) error {
	records := make([]record, 0, len(entries)+1)
	for _, entry := range entries {
		payload, err := wire.Encode(entry)
		if err != nil {
			return err
		}
		if len(payload) > wire.MaxMessage {
			return fmt.Errorf("entry %d has %d bytes, more than the decoder accepts", entry.Index, len(payload))
		}
		records = append(records, record{kind: kindEntry, payload: payload})
		s.activeSegment.maxIndex = max(s.activeSegment.maxIndex, entry.Index)
	}
	return s.write(hard, records)
}

// write appends the records and the hard state as one batch and syncs the log.
func (s *Store) write(hard raft.HardState, records []record) error {
	if s.failure != nil {
		return s.failure
	}
	payload, err := wire.Encode(hard)
	if err != nil {
		return err
	}
	records = append(records, record{kind: kindHardState, payload: payload})
	var out []byte
	s.lastBatch++
	for i, r := range records {
		r.batch, r.remaining = s.lastBatch, uint32(len(records)-i-1)
		out = appendRecord(out, r)
	}
	if err := s.activeHandle.Write(out); err != nil {
		return s.recordFailure(s.rollBackBatch(fmt.Errorf("write log: %w", err)))
	}
	if err := s.activeHandle.Sync(); err != nil {
		return s.recordFailure(fmt.Errorf("sync log: %w", err))
	}
	s.syncs++
	s.state.Hard = hard
	s.activeSegment.size += int64(len(out))
	if s.activeSegment.size >= s.segmentSize {
		return s.rotate()
	}
	return nil
}

// rollBackBatch truncates a batch that a full disk holds only in part, and returns
// a *FullError. Other errors are returned unchanged.
func (s *Store) rollBackBatch(err error) error {
	if !isFull(err) {
		return err
	}
	if truncateErr := s.files.Truncate(s.path(numberedName(segmentPrefix, s.activeSegment.number)), s.activeSegment.size); truncateErr != nil {
		return errors.Join(err, truncateErr)
	}
	s.lastBatch--
	return &FullError{Err: err}
}

// SaveSnapshot replaces the stored snapshot and removes the segments that are no
// longer needed. A snapshot that is not newer than the stored one is not stored.
func (s *Store) SaveSnapshot(snap raft.Snapshot) error {
	if err := s.writeSnapshot(snap); err != nil {
		return err
	}
	return s.removeSegmentsThrough(snap.Index)
}

// InstallSnapshot replaces the stored snapshot by one received from the leader, and
// discards all entries of the log.
func (s *Store) InstallSnapshot(snap raft.Snapshot, hard raft.HardState) error {
	if err := s.writeSnapshot(snap); err != nil {
		return err
	}
	if err := s.write(hard, []record{{kind: kindReset}}); err != nil {
		return err
	}
	return s.removeSegmentsThrough(snap.Index)
}

func (s *Store) writeSnapshot(snap raft.Snapshot) error {
	if s.failure != nil {
		return s.failure
	}
	if snap.Index <= s.state.Snapshot.Index {
		return nil // a newer snapshot was received in the meantime
	}
	parts, err := encodeSnapshot(snap)
	if err != nil {
		return err
	}
	old := s.state.Snapshot.Index
	if err := s.replaceFile(numberedName(snapshotPrefix, snap.Index), parts...); err != nil {
		return s.recordFailure(err)
	}
	s.state.Snapshot = raft.Snapshot{Index: snap.Index, Term: snap.Term, Members: snap.Members}
	if old != 0 {
		if err := s.files.Remove(s.path(numberedName(snapshotPrefix, old))); err != nil {
			return s.recordFailure(fmt.Errorf("remove old snapshot: %w", err))
		}
	}
	return nil
}

// Close closes the active segment.
func (s *Store) Close() error {
	if s.activeHandle.Close == nil {
		return nil
	}
	return s.activeHandle.Close()
}
