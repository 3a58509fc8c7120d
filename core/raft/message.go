package raft

// MessageKind is the type of a message between replicas.
type MessageKind string

// Kinds of messages.
const (
	MessagePreVote        MessageKind = "prevote"
	MessagePreVoteReply   MessageKind = "prevoted"
	MessageVote           MessageKind = "vote"
	MessageVoteReply      MessageKind = "voted"
	MessageAppend         MessageKind = "append"
	MessageAppendReply    MessageKind = "appended"
	MessageHeartbeat      MessageKind = "heartbeat"
	MessageHeartbeatReply MessageKind = "alive"
	MessageSnapshot       MessageKind = "snapshot"
	MessageSnapshotReply  MessageKind = "installed"
	MessageElect          MessageKind = "elect" // the leader transfers leadership to the receiver
)

// Message is a message between replicas. Messages may be lost, delayed,
// duplicated and reordered.
type Message struct {
	Kind        MessageKind `cbor:"kind"`
	From        uint64      `cbor:"from"`
	To          uint64      `cbor:"to"`
	Term        uint64      `cbor:"term"`
	Round       uint64      `cbor:"round,omitempty"`       // heartbeat round of the leader, echoed in the reply
	Incarnation uint64      `cbor:"incarnation,omitempty"` // identifier of the sender's data directory
	Recovering  bool        `cbor:"recovering,omitempty"`  // the sender lost its disk and does not count towards a quorum
	Index       uint64      `cbor:"index,omitempty"`       // append: the entry before Entries; vote: the last entry; snapshot: its index; replies: acknowledged index
	LogTerm     uint64      `cbor:"logterm,omitempty"`     // term of the entry at Index
	Commit      uint64      `cbor:"commit,omitempty"`
	Entries     []Entry     `cbor:"entries,omitempty"`
	Reject      bool        `cbor:"reject,omitempty"`
	Hint        uint64      `cbor:"hint,omitempty"`  // append reply: last index at which the logs may match; heartbeat reply: last index known to match
	Force       bool        `cbor:"force,omitempty"` // vote for a transfer, granted despite a live leader
	Members     Members     `cbor:"members,omitempty"`
	Offset      uint64      `cbor:"offset,omitempty"` // offset of Part in the snapshot; in the reply, bytes received so far
	Total       uint64      `cbor:"total,omitempty"`  // size of the snapshot in bytes
	Part        []byte      `cbor:"part,omitempty"`
}
