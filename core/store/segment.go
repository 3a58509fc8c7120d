package store

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// magic starts every segment and names its format.
const magic = "galelog1"

const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snap-"
	temporary      = ".tmp"
)

// segment is one file of the log.
type segment struct {
	number uint64
	max    uint64 // highest index of an entry in it
	size   int64
}

func numbered(prefix string, number uint64) string { return fmt.Sprintf("%s%016x", prefix, number) }

func parseNumber(prefix, name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// scan reads the records of a segment in order. The result is the number of
// bytes that are intact. Only the last segment may end in a torn batch; intact
// stops before the whole of it.
func scan(file string, data []byte, last bool, batch uint64, visit func(record) error) (intact int64, err error) {
	damage := func(offset int, reason string) error {
		return &DamageError{File: file, Offset: int64(offset), Reason: reason}
	}
	if len(data) < len(magic) || string(data[:len(magic)]) != magic {
		if last && !later(data, batch+1) {
			return 0, nil // the crash came while the segment was created
		}
		return 0, damage(0, "not a log segment")
	}
	at, whole := len(magic), len(magic)
	left := uint32(0)
	var collected []record
	for at < len(data) {
		r, size, reason := parseRecord(data[at:])
		if reason == "" && !follows(r, batch, left) {
			return 0, damage(at, "record out of sequence")
		}
		if reason != "" {
			torn := batch
			if left == 0 {
				torn = batch + 1
			}
			if !last || later(data[at:], torn) {
				return 0, damage(at, reason)
			}
			return int64(whole), nil
		}
		batch, left = r.batch, r.left
		collected = append(collected, r)
		at += size
		if left > 0 {
			continue
		}
		whole = at
		for _, done := range collected {
			if err := visit(done); err != nil {
				return 0, damage(at-size, err.Error())
			}
		}
		collected = collected[:0]
	}
	if left > 0 && !last {
		return 0, damage(at, "incomplete batch")
	}
	return int64(whole), nil
}

// follows tells whether a record continues a batch that has records left, or
// starts the next one.
func follows(r record, batch uint64, left uint32) bool {
	if left == 0 {
		return r.batch == batch+1
	}
	return r.batch == batch && r.left == left-1
}

// later tells whether data holds a record of a batch after torn. Such a batch
// was written after the sync of the torn one, so the torn one is damaged.
func later(data []byte, torn uint64) bool {
	for at := 1; at+headerSize <= len(data); at++ {
		if r, _, reason := parseRecord(data[at:]); reason == "" && r.batch > torn {
			return true
		}
	}
	return false
}
