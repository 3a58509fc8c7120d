package raft

import (
	"fmt"

	"github.com/galenalock/galenalock/core/wire"
)

// MaxSnapshotBytes limits the state in a snapshot, so that a faulty peer cannot
// make a replica buffer an unlimited number of parts.
const MaxSnapshotBytes = 512 << 20

// MessageError reports a message that violates the protocol.
type MessageError struct {
	Kind   MessageKind
	Reason string
}

// Error describes the violation.
func (e *MessageError) Error() string { return fmt.Sprintf("raft: message %q: %s", e.Kind, e.Reason) }

// Encode returns the encoded form of a message.
func Encode(m Message) ([]byte, error) { return wire.Encode(m) }

// Decode decodes and validates one message.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := wire.Decode(data, &m); err != nil {
		return Message{}, err
	}
	if reason := m.validate(); reason != "" {
		return Message{}, &MessageError{Kind: m.Kind, Reason: reason}
	}
	return m, nil
}

var knownKinds = map[MessageKind]bool{
	MessagePreVote: true, MessagePreVoteReply: true, MessageVote: true, MessageVoteReply: true,
	MessageAppend: true, MessageAppendReply: true, MessageHeartbeat: true, MessageHeartbeatReply: true,
	MessageSnapshot: true, MessageSnapshotReply: true, MessageElect: true,
}

func (m *Message) validate() string {
	switch {
	case !knownKinds[m.Kind]:
		return "unknown kind"
	case m.From == 0 || m.To == 0 || m.From == m.To:
		return "sender and receiver must be different replicas"
	case m.Index > maxIndex || m.Commit > maxIndex || m.Hint > maxIndex || m.Term > maxIndex:
		return "index or term out of range"
	case len(m.Entries) > 0 && m.Kind != MessageAppend:
		return "entries outside an append"
	case m.Total > MaxSnapshotBytes || m.Offset > m.Total || uint64(len(m.Part)) > m.Total-m.Offset:
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

// maxIndex limits indexes and terms from peers, so that arithmetic on them
// cannot overflow.
const maxIndex = 1 << 62
