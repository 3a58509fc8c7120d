package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessage bounds one message in bytes. A service text of the target size
// takes about 1 MiB; a raft snapshot travels in parts.
const MaxMessage = 16 << 20

const (
	maxNesting  = 16
	maxElements = 1 << 20
)

// Error is a message that cannot be encoded or decoded.
type Error struct {
	Type   string // the Go type
	Reason string // what is wrong
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("wire: %s: %s", e.Type, e.Reason) }

// The modes are immutable and safe for concurrent use.
var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic CBOR form of v.
func Encode(v any) ([]byte, error) {
	data, err := encoding.Marshal(v)
	if err != nil {
		return nil, &Error{Type: fmt.Sprintf("%T", v), Reason: err.Error()}
	}
	return data, nil
}

// Decode reads one CBOR value into v. Data after it is an error.
func Decode(data []byte, v any) error {
	if len(data) > MaxMessage {
		return &Error{Type: fmt.Sprintf("%T", v), Reason: fmt.Sprintf("%d bytes exceed the limit of %d", len(data), MaxMessage)}
	}
	if err := decoding.Unmarshal(data, v); err != nil {
		return &Error{Type: fmt.Sprintf("%T", v), Reason: err.Error()}
	}
	return nil
}
