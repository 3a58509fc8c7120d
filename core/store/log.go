package store

import (
	"errors"
	"fmt"
	"strings"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/wire"
)

// openLog reads the snapshot and the segments, removes a torn tail, and opens
// the last segment for appending.
func (s *Store) openLog() error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return fmt.Errorf("list folder: %w", err)
	}
	if err := s.openSnapshot(names); err != nil {
		return err
	}
	p := &replay{}
	segments, err := s.readSegments(names, p)
	if err != nil {
		return err
	}
	s.batch = p.batch
	s.state.Hard = p.hard
	s.state.Entries, err = p.after(s.state.Snapshot)
	if err != nil {
		return &DamageError{File: s.dir, Reason: err.Error()}
	}
	if len(segments) == 0 {
		return s.startSegment(1)
	}
	s.closed, s.active = segments[:len(segments)-1], segments[len(segments)-1]
	s.handle, err = s.files.Append(s.path(numbered(segmentPrefix, s.active.number)))
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if len(p.entries) > 0 && len(s.state.Entries) == 0 {
		// The snapshot voids the stored entries, and what follows it need not
		// follow them.
		return s.write(s.state.Hard, []record{{kind: kindReset}})
	}
	return nil
}

// openSnapshot reads the newest snapshot and removes what a crash left over.
func (s *Store) openSnapshot(names []string) error {
	newest := uint64(0)
	for _, name := range names {
		if index, ok := parseNumber(snapshotPrefix, name); ok {
			newest = max(newest, index)
		}
	}
	for _, name := range names {
		index, ok := parseNumber(snapshotPrefix, name)
		if strings.HasSuffix(name, temporary) || ok && index < newest {
			if err := s.files.Remove(s.path(name)); err != nil {
				return fmt.Errorf("remove %s: %w", name, err)
			}
		}
	}
	if newest == 0 {
		if s.identity.Founded {
			return &DamageError{File: s.path(numbered(snapshotPrefix, raft.FoundingIndex)), Reason: "missing in a folder that founded a group"}
		}
		return nil
	}
	file := s.path(numbered(snapshotPrefix, newest))
	data, err := s.files.Read(file)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	s.state.Snapshot, err = decodeSnapshot(file, data)
	return err
}

func (s *Store) readSegments(names []string, p *replay) ([]segment, error) {
	var numbers []uint64
	for _, name := range names {
		if number, ok := parseNumber(segmentPrefix, name); ok {
			numbers = append(numbers, number)
		}
	}
	var segments []segment
	for i, number := range numbers {
		file := s.path(numbered(segmentPrefix, number))
		if i > 0 && number != numbers[i-1]+1 {
			return nil, &DamageError{File: file, Reason: "the segment before it is missing"}
		}
		data, err := s.files.Read(file)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		if i == 0 {
			p.batch = firstBatch(data)
		}
		p.max = 0
		last := i == len(numbers)-1
		intact, err := scan(file, data, last, p.batch, p.visit)
		if err != nil {
			return nil, err
		}
		if intact < int64(len(magic)) {
			return s.dropSegment(segments, number)
		}
		if intact < int64(len(data)) {
			if err := s.cut(number, intact); err != nil {
				return nil, err
			}
		}
		segments = append(segments, segment{number: number, max: p.max, size: intact})
	}
	return segments, nil
}

// firstBatch returns the number of the batch before the oldest segment.
func firstBatch(data []byte) uint64 {
	if len(data) <= len(magic) {
		return 0
	}
	r, _, reason := parseRecord(data[len(magic):])
	if reason != "" || r.batch == 0 {
		return 0
	}
	return r.batch - 1
}

// dropSegment removes a last segment whose creation was interrupted, and starts
// it again.
func (s *Store) dropSegment(before []segment, number uint64) ([]segment, error) {
	if err := s.files.Remove(s.path(numbered(segmentPrefix, number))); err != nil {
		return nil, fmt.Errorf("remove segment: %w", err)
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return nil, fmt.Errorf("sync folder: %w", err)
	}
	return before, nil
}

// cut removes a torn tail before anything is appended after it.
func (s *Store) cut(number uint64, size int64) error {
	name := s.path(numbered(segmentPrefix, number))
	if err := s.files.Truncate(name, size); err != nil {
		return fmt.Errorf("truncate log: %w", err)
	}
	h, err := s.files.Append(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if err := h.Sync(); err != nil {
		_ = h.Close() // the first error is reported
		return fmt.Errorf("sync log: %w", err)
	}
	return h.Close()
}

// startSegment creates a segment that begins with the hard state, so that older
// ones can be removed.
func (s *Store) startSegment(number uint64) error {
	name := numbered(segmentPrefix, number)
	h, err := s.files.Create(s.path(name))
	if err != nil {
		return s.fail(s.discard(name, fmt.Errorf("create segment: %w", err)))
	}
	payload, err := wire.Encode(s.state.Hard)
	if err != nil {
		return s.fail(err)
	}
	out := appendRecord([]byte(magic), record{batch: s.batch + 1, kind: kindHard, payload: payload})
	if err := h.Write(out); err != nil {
		_ = h.Close() // the first error is reported
		return s.fail(s.discard(name, fmt.Errorf("write segment: %w", err)))
	}
	if err := h.Sync(); err != nil {
		return s.fail(fmt.Errorf("sync segment: %w", err))
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return s.fail(fmt.Errorf("sync folder: %w", err))
	}
	s.batch++
	s.handle = h
	s.active = segment{number: number, size: int64(len(out))}
	return nil
}

// rotate starts the next segment. While the disk is full, the present one grows
// beyond its size.
func (s *Store) rotate() error {
	last, handle := s.active, s.handle
	if err := s.startSegment(s.active.number + 1); err != nil {
		var full *FullError
		if errors.As(err, &full) {
			return nil
		}
		return err
	}
	s.closed = append(s.closed, last)
	if err := handle.Close(); err != nil {
		return s.fail(fmt.Errorf("close segment: %w", err))
	}
	return nil
}

// trim removes the oldest segments that hold nothing after index.
func (s *Store) trim(index uint64) error {
	for len(s.closed) > 0 && s.closed[0].max <= index {
		if err := s.files.Remove(s.path(numbered(segmentPrefix, s.closed[0].number))); err != nil {
			return s.fail(fmt.Errorf("remove segment: %w", err))
		}
		// One at a time: a segment that reappears after a crash must not have
		// a gap behind it.
		if err := s.files.SyncDir(s.dir); err != nil {
			return s.fail(fmt.Errorf("sync folder: %w", err))
		}
		s.closed = s.closed[1:]
	}
	return nil
}
