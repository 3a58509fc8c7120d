package store

import (
	"errors"
	"fmt"
	"strings"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/wire"
)

// openLog reads the snapshot and the segments, truncates an incomplete tail and
// opens the last segment for appending.
func (s *Store) openLog() error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return fmt.Errorf("list directory: %w", err)
	}
	if err := s.openSnapshot(names); err != nil {
		return err
	}
	p := &replay{}
	segments, err := s.readSegments(names, p)
	if err != nil {
		return err
	}
	s.lastBatch = p.batch
	s.state.Hard = p.hard
	s.state.Entries, err = p.entriesAfter(s.state.Snapshot)
	if err != nil {
		return &DamageError{File: s.dir, Reason: err.Error()}
	}
	if len(segments) == 0 {
		return s.startSegment(1)
	}
	s.closedSegments, s.activeSegment = segments[:len(segments)-1], segments[len(segments)-1]
	s.activeHandle, err = s.files.Append(s.path(numberedName(segmentPrefix, s.activeSegment.number)))
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if len(p.entries) > 0 && len(s.state.Entries) == 0 {
		// The snapshot replaces all stored entries. The next entry continues the
		// snapshot and not necessarily the stored entries.
		return s.write(s.state.Hard, []record{{kind: kindReset}})
	}
	return nil
}

// openSnapshot reads the newest snapshot and removes older snapshots and
// temporary files that a crash left.
func (s *Store) openSnapshot(names []string) error {
	newest := uint64(0)
	for _, name := range names {
		if index, ok := parseNumber(snapshotPrefix, name); ok {
			newest = max(newest, index)
		}
	}
	for _, name := range names {
		index, ok := parseNumber(snapshotPrefix, name)
		if strings.HasSuffix(name, tempSuffix) || ok && index < newest {
			if err := s.files.Remove(s.path(name)); err != nil {
				return fmt.Errorf("remove %s: %w", name, err)
			}
		}
	}
	if newest == 0 {
		if s.identity.Founded {
			return &DamageError{File: s.path(numberedName(snapshotPrefix, raft.FoundingIndex)), Reason: "missing in the directory of a founder"}
		}
		return nil
	}
	file := s.path(numberedName(snapshotPrefix, newest))
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
		file := s.path(numberedName(segmentPrefix, number))
		if i > 0 && number != numbers[i-1]+1 {
			return nil, &DamageError{File: file, Reason: "preceding segment is missing"}
		}
		data, err := s.files.Read(file)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		if i == 0 {
			p.batch = batchBefore(data)
		}
		p.maxIndex = 0
		last := i == len(numbers)-1
		intact, err := scanSegment(file, data, last, p.batch, p.replayRecord)
		if err != nil {
			return nil, err
		}
		if intact < int64(len(segmentMagic)) {
			return s.removePartialSegment(segments, number)
		}
		if intact < int64(len(data)) {
			if err := s.truncateTail(number, intact); err != nil {
				return nil, err
			}
		}
		segments = append(segments, segment{number: number, maxIndex: p.maxIndex, size: intact})
	}
	return segments, nil
}

// batchBefore returns the number of the batch before the given segment, or zero
// if the first record of the segment is invalid.
func batchBefore(data []byte) uint64 {
	if len(data) <= len(segmentMagic) {
		return 0
	}
	r, _, reason := parseRecord(data[len(segmentMagic):])
	if reason != "" || r.batch == 0 {
		return 0
	}
	return r.batch - 1
}

// removePartialSegment removes a last segment whose creation was interrupted and
// returns the segments before it.
func (s *Store) removePartialSegment(before []segment, number uint64) ([]segment, error) {
	if err := s.files.Remove(s.path(numberedName(segmentPrefix, number))); err != nil {
		return nil, fmt.Errorf("remove segment: %w", err)
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return nil, fmt.Errorf("sync directory: %w", err)
	}
	return before, nil
}

// truncateTail removes an incomplete tail of a segment, so that records are
// appended after the last complete batch.
func (s *Store) truncateTail(number uint64, size int64) error {
	name := s.path(numberedName(segmentPrefix, number))
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
// segments can be removed.
func (s *Store) startSegment(number uint64) error {
	name := numberedName(segmentPrefix, number)
	h, err := s.files.Create(s.path(name))
	if err != nil {
		return s.recordFailure(s.removeIfFull(name, fmt.Errorf("create segment: %w", err)))
	}
	payload, err := wire.Encode(s.state.Hard)
	if err != nil {
		return s.recordFailure(err)
	}
	out := appendRecord([]byte(segmentMagic), record{batch: s.lastBatch + 1, kind: kindHardState, payload: payload})
	if err := h.Write(out); err != nil {
		_ = h.Close() // the first error is reported
		return s.recordFailure(s.removeIfFull(name, fmt.Errorf("write segment: %w", err)))
	}
	if err := h.Sync(); err != nil {
		return s.recordFailure(fmt.Errorf("sync segment: %w", err))
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return s.recordFailure(fmt.Errorf("sync directory: %w", err))
	}
	s.lastBatch++
	s.activeHandle = h
	s.activeSegment = segment{number: number, size: int64(len(out))}
	return nil
}

// rotate starts the next segment. While the disk is full, the active segment
// grows beyond the segment size.
func (s *Store) rotate() error {
	last, handle := s.activeSegment, s.activeHandle
	if err := s.startSegment(s.activeSegment.number + 1); err != nil {
		var full *FullError
		if errors.As(err, &full) {
			return nil
		}
		return err
	}
	s.closedSegments = append(s.closedSegments, last)
	if err := handle.Close(); err != nil {
		return s.recordFailure(fmt.Errorf("close segment: %w", err))
	}
	return nil
}

// removeSegmentsThrough removes the oldest closed segments that hold no entry
// after index.
func (s *Store) removeSegmentsThrough(index uint64) error {
	for len(s.closedSegments) > 0 && s.closedSegments[0].maxIndex <= index {
		if err := s.files.Remove(s.path(numberedName(segmentPrefix, s.closedSegments[0].number))); err != nil {
			return s.recordFailure(fmt.Errorf("remove segment: %w", err))
		}
		// Sync after each removal: if removed segments reappear after a crash,
		// there must be no gap between them and the later ones.
		if err := s.files.SyncDir(s.dir); err != nil {
			return s.recordFailure(fmt.Errorf("sync directory: %w", err))
		}
		s.closedSegments = s.closedSegments[1:]
	}
	return nil
}
