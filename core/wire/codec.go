package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessage limits the size of one message in bytes. A service text of the size
// that the system is designed for takes about 1 MiB, and a raft snapshot is sent
// in parts.
const MaxMessage = 16 << 20

const (
	maxNesting  = 16
	maxElements = 1 << 20
)

// Error reports a message that cannot be encoded or decoded.
type Error struct {
	Type   string // the Go type
	Reason string
}

// Error returns the Go type and the reason.
func (e *Error) Error() string { return fmt.Sprintf("wire: %s: %s", e.Type, e.Reason) }

// The modes are safe for concurrent use.
var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
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

// Encode returns the deterministic CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, &Error{Type: fmt.Sprintf("%T", v), Reason: err.Error()}
	}
	return data, nil
}

// Decode decodes one CBOR value into v. Trailing data is an error.
func Decode(data []byte, v any) error {
	if len(data) > MaxMessage {
		return &Error{Type: fmt.Sprintf("%T", v), Reason: fmt.Sprintf("%d bytes exceed the limit of %d", len(data), MaxMessage)}
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return &Error{Type: fmt.Sprintf("%T", v), Reason: err.Error()}
	}
	return nil
}

// checker is implemented by bodies whose values have bounds of their own.
type checker interface{ Check() error }

// Deliver decodes the body of a message without an answer and passes it on. Its
// results are those of a handler.
func Deliver[T any](m Message, receive func(body T)) (any, error) {
	var body T
	if err := Decode(m.Body, &body); err != nil {
		return nil, err
	}
	if c, ok := any(body).(checker); ok {
		if err := c.Check(); err != nil {
			return nil, err
		}
	}
	receive(body)
	return nil, nil
}
