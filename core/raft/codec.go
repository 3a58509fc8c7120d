package raft

import (
	"fmt"

	"github.com/galenalock/galenalock/core/wire"
)

// MaxSnapshot bounds the machine state in a snapshot in bytes, so that a
// faulty peer cannot make a replica collect parts without end.
const MaxSnapshot = 512 << 20

// MessageError is a message that violates the protocol.
type MessageError struct {
	Kind   MessageKind
	Reason string
}

// Error describes the violation.
func (e *MessageError) Error() string { return fmt.Sprintf("raft: message %q: %s", e.Kind, e.Reason) }

// Encode returns the encoded form of a message.
func Encode(m Message) ([]byte, error) { return wire.Encode(m) }

// Decode reads and checks one message.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := wire.Decode(data, &m); err != nil {
		return Message{}, err
	}
	if reason := m.check(); reason != "" {
		return Message{}, &MessageError{Kind: m.Kind, Reason: reason}
	}
	return m, nil
}

var kinds = map[MessageKind]bool{
	MessagePreVote: true, MessagePreVoteReply: true, MessageVote: true, MessageVoteReply: true,
	MessageAppend: true, MessageAppendReply: true, MessageHeartbeat: true, MessageHeartbeatReply: true,
	MessageSnapshot: true, MessageSnapshotReply: true, MessageElect: true,
}

func (m *Message) check() string {
	switch {
	case !kinds[m.Kind]:
		return "unknown kind"
	case m.From == 0 || m.To == 0 || m.From == m.To:
		return "sender and receiver must be different replicas"
	case m.Index > maxIndex || m.Commit > maxIndex || m.Hint > maxIndex || m.Term > maxIndex:
		return "index or term out of range"
	case len(m.Entries) > 0 && m.Kind != MessageAppend:
		return "entries outside an append"
	case m.Total > MaxSnapshot || m.Offset > m.Total || uint64(len(m.Part)) > m.Total-m.Offset:
		return "part exceeds the snapshot"
	case m.Kind == MessageSnapshot && (m.Index < FoundingIndex || m.LogTerm == 0):
		return "snapshot without index or term"
	}
	term := m.LogTerm
	for i, entry := range m.Entries {
		if entry.Index != m.Index+uint64(i)+1 {
			return "entries are not consecutive"
		}
		if entry.Term < term || entry.Term > m.Term || entry.Term == 0 {
			return "terms of entries decrease or exceed the message's"
		}
		term = entry.Term
		if entry.Kind > EntryMembers {
			return "unknown kind of entry"
		}
		if entry.Kind == EntryMembers {
			if _, err := decodeMembers(entry.Data); err != nil {
				return "members entry: " + err.Error()
			}
		}
	}
	return ""
}

// maxIndex keeps arithmetic on indexes from peers clear of overflow.
const maxIndex = 1 << 62
