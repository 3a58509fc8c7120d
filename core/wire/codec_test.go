package wire_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/wire"
)

// Guards against a decoder that allocates as much as a length prefix claims
// instead of what arrived, and against accepted trailing data.
func TestDecodeRefuses(t *testing.T) {
	cases := map[string][]byte{
		"empty":         {},
		"huge array":    {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"indefinite":    {0x9f, 0xff},
		"trailing data": {0xa0, 0xa0},
		"duplicate key": {0xa2, 0x64, 'k', 'i', 'n', 'd', 0x61, 'a', 0x64, 'k', 'i', 'n', 'd', 0x61, 'b'},
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m wire.Message
			var refused *wire.Error
			is.True(errors.As(wire.Decode(data, &m), &refused))
		})
	}
}

// Guards against arbitrary bytes from a peer that make the decoder panic.
func FuzzDecodeMessage(f *testing.F) {
	seed, err := wire.Encode(wire.Message{Kind: wire.KindPing, Call: 7})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.Message
		if wire.Decode(data, &m) != nil {
			return
		}
		if _, err := wire.Encode(m); err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
	})
}
