package raft

// EntryKind is the type of the data in an entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota // a command of the state machine
	EntryEmpty                    // no data; the first entry of a leader's term
	EntryMembers                  // encoded Members, in force from this entry on
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `cbor:"index"`
	Term  uint64    `cbor:"term"`
	Kind  EntryKind `cbor:"kind,omitempty"`
	Data  []byte    `cbor:"data,omitempty"`
}

// entryOverhead approximates the encoded size of an entry without its data.
const entryOverhead = 32

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// HardState is the durable state of a replica apart from its log.
type HardState struct {
	Term   uint64 `cbor:"term"`
	Vote   uint64 `cbor:"vote,omitempty"`
	Commit uint64 `cbor:"commit,omitempty"`
}

// FoundingIndex is the index of the snapshot with which every founder of a group
// starts. That snapshot holds the founding members and no state.
const FoundingIndex = 1

// Snapshot holds the state after the entry at Index and replaces the log up to
// and including that entry.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// Founding returns the initial snapshot of a group with the given members.
func Founding(members Members) Snapshot {
	return Snapshot{Index: FoundingIndex, Term: 1, Members: members.sorted()}
}
