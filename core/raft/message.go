package raft

// MessageKind is the type of a message between replicas.
type MessageKind string

// The kinds of messages.
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
	MessageElect          MessageKind = "elect" // the leader hands over to the receiver
)

// Message is what replicas send to each other. Messages may be lost, delayed,
// duplicated and reordered.
type Message struct {
	Kind        MessageKind `cbor:"kind"`
	From        uint64      `cbor:"from"`
	To          uint64      `cbor:"to"`
	Term        uint64      `cbor:"term"`
	Round       uint64      `cbor:"round,omitempty"`       // counter of the leader, echoed in the reply
	Incarnation uint64      `cbor:"incarnation,omitempty"` // data folder of the sender
	Recovering  bool        `cbor:"recovering,omitempty"`  // the sender lost its disk and must not be counted
	Index       uint64      `cbor:"index,omitempty"`       // append: the entry before Entries; vote: last entry; snapshot: its index; replies: acknowledged
	LogTerm     uint64      `cbor:"logterm,omitempty"`     // term of the entry at Index
	Commit      uint64      `cbor:"commit,omitempty"`
	Entries     []Entry     `cbor:"entries,omitempty"`
	Reject      bool        `cbor:"reject,omitempty"`
	Hint        uint64      `cbor:"hint,omitempty"`  // last index where the rejecting replica may agree
	Force       bool        `cbor:"force,omitempty"` // vote of a transfer, granted in spite of a live leader
	Members     Members     `cbor:"members,omitempty"`
	Offset      uint64      `cbor:"offset,omitempty"` // position of Part in the snapshot; in the reply, bytes received
	Total       uint64      `cbor:"total,omitempty"`  // size of the snapshot
	Part        []byte      `cbor:"part,omitempty"`
}
