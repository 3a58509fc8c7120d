package gossip

import (
	"fmt"

	"github.com/galenalock/galenalock/core/wire"
)

// Bounds of one message.
const (
	MaxRecords = 256
	MaxStamps  = 2048
	buckets    = 128
)

// Message is what cores send to each other. The parts are independent.
type Message struct {
	Digest  *Digest   `cbor:"digest,omitempty"`
	Buckets []uint64  `cbor:"buckets,omitempty"` // digest of each bucket; asks for a repair
	Differ  []uint8   `cbor:"differ,omitempty"`  // buckets that Stamps covers
	Stamps  []Stamp   `cbor:"stamps,omitempty"`
	Want    []uint64  `cbor:"want,omitempty"` // identities of records
	Records []*Record `cbor:"records,omitempty"`
}

// Digest summarizes what an instance holds.
type Digest struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // revision of the service text
	Sum    uint64   // checksum of the service text
	Root   uint64   // digest of all records
	Reply  bool     // answers a digest and is not answered
}

// Stamp is the version of one record.
type Stamp struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Start int64
	Seq   uint64
	Rank  uint8
}

// MessageError is a message that breaks the bounds.
type MessageError struct {
	Field  string
	Reason string
}

// Error names the field and the reason.
func (e *MessageError) Error() string { return fmt.Sprintf("gossip: %s: %s", e.Field, e.Reason) }

// Encode returns the CBOR form.
func (m *Message) Encode() ([]byte, error) { return wire.Encode(m) }

// Decode reads a message and checks its bounds.
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
		{"differ", len(m.Differ), buckets},
	} {
		if part.length > part.max {
			return &MessageError{Field: part.field, Reason: fmt.Sprintf("has %d elements, more than %d", part.length, part.max)}
		}
	}
	if len(m.Buckets) != 0 && len(m.Buckets) != buckets {
		return &MessageError{Field: "buckets", Reason: fmt.Sprintf("has %d elements instead of %d", len(m.Buckets), buckets)}
	}
	for _, b := range m.Differ {
		if b >= buckets {
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
