package gossip

import (
	"fmt"

	"github.com/galenalock/galenalock/core/wire"
)

// Maximum numbers of elements in one message.
const (
	MaxRecords  = 256
	MaxStamps   = 2048
	bucketCount = 128
)

// Message is sent between cores. Its parts are independent of each other.
type Message struct {
	Digest  *Digest   `cbor:"digest,omitempty"`
	Buckets []uint64  `cbor:"buckets,omitempty"` // digest of each bucket; requests a repair
	Differ  []uint8   `cbor:"differ,omitempty"`  // buckets that Stamps covers
	Stamps  []Stamp   `cbor:"stamps,omitempty"`
	Want    []uint64  `cbor:"want,omitempty"` // identities of records
	Records []*Record `cbor:"records,omitempty"`
}

// Digest summarizes the service text and the records that an instance holds.
type Digest struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64   // revision of the service text
	Checksum uint64   // checksum of the service text
	Root     uint64   // digest of all records
	Reply    bool     // set on the answer to a digest; it gets no answer itself
}

// Stamp identifies a record and its version.
type Stamp struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Start int64
	Seq   uint64
	Rank  uint8
}

// MessageError reports a field of a message or record that is out of bounds.
type MessageError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *MessageError) Error() string { return fmt.Sprintf("gossip: %s: %s", e.Field, e.Reason) }

// Encode returns the CBOR encoding.
func (m *Message) Encode() ([]byte, error) { return wire.Encode(m) }

// Decode parses a message and checks its bounds.
func Decode(data []byte) (*Message, error) {
	var m Message
	if err := wire.Decode(data, &m); err != nil {
		return nil, err
	}
	return &m, m.check()
}

func (m *Message) check() error {
	for _, part := range []struct {
		field       string
		length, max int
	}{
		{"records", len(m.Records), MaxRecords},
		{"stamps", len(m.Stamps), MaxStamps},
		{"want", len(m.Want), MaxStamps},
		{"differ", len(m.Differ), bucketCount},
	} {
		if part.length > part.max {
			return &MessageError{Field: part.field, Reason: fmt.Sprintf("has %d elements, more than %d", part.length, part.max)}
		}
	}
	if len(m.Buckets) != 0 && len(m.Buckets) != bucketCount {
		return &MessageError{Field: "buckets", Reason: fmt.Sprintf("has %d elements instead of %d", len(m.Buckets), bucketCount)}
	}
	for _, b := range m.Differ {
		if b >= bucketCount {
			return &MessageError{Field: "differ", Reason: "names a bucket that does not exist"}
		}
	}
	for _, r := range m.Records {
		if r == nil {
			return &MessageError{Field: "records", Reason: "contains null"}
		}
		if err := r.check(); err != nil {
			return err
		}
	}
	return nil
}
