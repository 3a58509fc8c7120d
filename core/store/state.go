package store

import (
	"fmt"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/wire"
)

// State is the persistent state of the consensus core.
type State struct {
	Hard     raft.HardState
	Snapshot raft.Snapshot // zero if there is none
	Entries  []raft.Entry  // consecutive after Snapshot
}

// replay rebuilds the hard state and the entries from the records of the log.
type replay struct {
	hard     raft.HardState
	entries  []raft.Entry
	batch    uint64
	maxIndex uint64 // highest index in the current segment
}

func (p *replay) replayRecord(r record) error {
	p.batch = r.batch
	switch r.kind {
	case kindHardState:
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
	p.maxIndex = max(p.maxIndex, entry.Index)
	return p.addEntry(entry)
}

// addEntry appends an entry. An entry with an existing index replaces that entry
// and all entries after it.
func (p *replay) addEntry(entry raft.Entry) error {
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

// entriesAfter returns the entries that continue a snapshot. It returns none if the
// log conflicts with the snapshot: a crash then came between the storage of a
// received snapshot and the reset of the log.
func (p *replay) entriesAfter(s raft.Snapshot) ([]raft.Entry, error) {
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
