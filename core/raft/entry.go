package raft

// EntryKind tells what an entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota // a command of the state machine
	EntryEmpty                    // the first entry of a leader
	EntryMembers                  // the encoded Members that apply from this entry on
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

// HardState is what a replica must not forget besides its log.
type HardState struct {
	Term   uint64 `cbor:"term"`
	Vote   uint64 `cbor:"vote,omitempty"`
	Commit uint64 `cbor:"commit,omitempty"`
}

// FoundingIndex is the index of the snapshot that every founder of a group
// starts with. It holds the founding members and no machine state.
const FoundingIndex = 1

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// Founding returns the snapshot that founds a group of the given members.
func Founding(members Members) Snapshot {
	return Snapshot{Index: FoundingIndex, Term: 1, Members: members.sorted()}
}
