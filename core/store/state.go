package store

import (
	"fmt"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/wire"
)

// State is everything that a store holds for the core.
type State struct {
	Hard     raft.HardState
	Snapshot raft.Snapshot // zero if there is none
	Entries  []raft.Entry  // consecutive after Snapshot
}

// replay builds the state from records.
type replay struct {
	hard    raft.HardState
	entries []raft.Entry
	batch   uint64
	max     uint64 // highest index in the current segment
}

func (p *replay) visit(r record) error {
	p.batch = r.batch
	switch r.kind {
	case kindHard:
		p.hard = raft.HardState{}
		return wire.Decode(r.payload, &p.hard)
	case kindReset:
		p.entries = nil
		return nil
	}
	var entry raft.Entry
	if err := wire.Decode(r.payload, &entry); err != nil {
		return err
	}
	p.max = max(p.max, entry.Index)
	return p.add(entry)
}

// add appends an entry; an index that exists replaces it and all after it.
func (p *replay) add(entry raft.Entry) error {
	if len(p.entries) == 0 {
		p.entries = append(p.entries, entry)
		return nil
	}
	first, last := p.entries[0].Index, p.entries[len(p.entries)-1].Index
	if entry.Index > last+1 {
		return fmt.Errorf("entry %d follows entry %d", entry.Index, last)
	}
	if entry.Index <= first {
		p.entries = append(p.entries[:0], entry)
		return nil
	}
	p.entries = append(p.entries[:entry.Index-first], entry)
	return nil
}

// after returns the entries that continue a snapshot. A log that disagrees with
// the snapshot is one that a received snapshot replaced just before a crash.
func (p *replay) after(s raft.Snapshot) ([]raft.Entry, error) {
	if len(p.entries) == 0 {
		return nil, nil
	}
	first, last := p.entries[0].Index, p.entries[len(p.entries)-1].Index
	switch {
	case first > s.Index+1:
		return nil, fmt.Errorf("entry %d follows the snapshot at %d", first, s.Index)
	case last <= s.Index:
		return nil, nil
	case first == s.Index+1:
		return p.entries, nil
	}
	if p.entries[s.Index-first].Term != s.Term {
		return nil, nil
	}
	return append([]raft.Entry(nil), p.entries[s.Index-first+1:]...), nil
}
