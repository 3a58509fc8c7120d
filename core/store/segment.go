package store

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// segmentMagic is the file signature of a segment and identifies its format.
const segmentMagic = "galelog1"

const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snap-"
	tempSuffix     = ".tmp"
)

// segment describes one file of the log.
type segment struct {
	number   uint64
	maxIndex uint64 // highest entry index in the segment
	size     int64
}

func numberedName(prefix string, number uint64) string { return fmt.Sprintf("%s%016x", prefix, number) }

func parseNumber(prefix, name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// scanSegment calls visit for the records of each complete batch in order and
// returns the number of bytes up to the end of the last complete batch. Only the
// last segment may end with an incomplete batch, which intact excludes.
func scanSegment(file string, data []byte, last bool, batch uint64, visit func(record) error) (intact int64, err error) {
	damage := func(offset int, reason string) error {
		return &DamageError{File: file, Offset: int64(offset), Reason: reason}
	}
	if len(data) < len(segmentMagic) || string(data[:len(segmentMagic)]) != segmentMagic {
		if last && !containsLaterBatch(data, batch+1) {
			return 0, nil // a crash interrupted the creation of the segment
		}
		return 0, damage(0, "not a log segment")
	}
	at, batchesEnd := len(segmentMagic), len(segmentMagic)
	remaining := uint32(0)
	var collected []record
	for at < len(data) {
		r, size, reason := parseRecord(data[at:])
		if reason == "" && !isNextRecord(r, batch, remaining) {
			return 0, damage(at, "record out of sequence")
		}
		if reason != "" {
			torn := batch
			if remaining == 0 {
				torn = batch + 1
			}
			if !last || containsLaterBatch(data[at:], torn) {
				return 0, damage(at, reason)
			}
			return int64(batchesEnd), nil
		}
		batch, remaining = r.batch, r.remaining
		collected = append(collected, r)
		at += size
		if remaining > 0 {
			continue
		}
		batchesEnd = at
		for _, done := range collected {
			if err := visit(done); err != nil {
				return 0, damage(at-size, err.Error())
			}
		}
		collected = collected[:0]
	}
	if remaining > 0 && !last {
		return 0, damage(at, "incomplete batch")
	}
	return int64(batchesEnd), nil
}

// isNextRecord reports whether a record continues a batch with remaining records,
// or starts the next batch if none remain.
func isNextRecord(r record, batch uint64, remaining uint32) bool {
	if remaining == 0 {
		return r.batch == batch+1
	}
	return r.batch == batch && r.remaining == remaining-1
}

// containsLaterBatch reports whether data holds a record of a batch after torn.
// That batch was written after the torn one was synced, so the torn one is damaged
// and not incomplete.
func containsLaterBatch(data []byte, torn uint64) bool {
	for at := 1; at+recordHeaderSize <= len(data); at++ {
		if r, _, reason := parseRecord(data[at:]); reason == "" && r.batch > torn {
			return true
		}
	}
	return false
}
