package delta

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
)

// Error reports a revision that cannot be applied to the receiver's text. The
// receiver then requests the whole text.
type Error struct {
	Number uint64
	Reason string
}

// Error returns the revision and the reason.
func (e *Error) Error() string { return fmt.Sprintf("revision %d: %s", e.Number, e.Reason) }

// Sum returns the checksum of a text.
func Sum(text []byte) uint64 { return xxhash.Sum64(text) }

// Whole returns a message that carries the whole text.
func Whole(number uint64, text []byte) (wire.Revision, error) {
	data, err := compress(text)
	if err != nil {
		return wire.Revision{}, err
	}
	return wire.Revision{Number: number, Checksum: Sum(text), Data: data, HasData: true}, nil
}

// Splice returns a message that turns the text of the base revision into text.
func Splice(base uint64, from []byte, number uint64, text []byte) (wire.Revision, error) {
	head := commonPrefix(from, text)
	tail := commonSuffix(from[head:], text[head:])
	data, err := compress(text[head : len(text)-tail])
	if err != nil {
		return wire.Revision{}, err
	}
	return wire.Revision{
		Number: number, Checksum: Sum(text), Base: base,
		Head: head, Tail: tail, Data: data, HasData: true,
	}, nil
}

// Apply returns the text of a received revision. The base and from are the
// number and the text of the receiver's revision; they are not used if the
// message carries the whole text.
func Apply(base uint64, from []byte, r wire.Revision) ([]byte, error) {
	middle, err := decompress(r.Data)
	if err != nil {
		return nil, &Error{Number: r.Number, Reason: err.Error()}
	}
	text := middle
	if r.Base != 0 {
		if r.Base != base {
			return nil, &Error{Number: r.Number, Reason: fmt.Sprintf("splice of revision %d, receiver has %d", r.Base, base)}
		}
		if r.Head < 0 || r.Tail < 0 || r.Head > len(from) || r.Tail > len(from)-r.Head {
			return nil, &Error{Number: r.Number, Reason: "splice keeps more bytes than the base has"}
		}
		text = make([]byte, 0, r.Head+len(middle)+r.Tail)
		text = append(text, from[:r.Head]...)
		text = append(text, middle...)
		text = append(text, from[len(from)-r.Tail:]...)
	}
	if Sum(text) != r.Checksum {
		return nil, &Error{Number: r.Number, Reason: "checksum mismatch"}
	}
	return text, nil
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

func compress(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return buf.Bytes(), nil
}

// decompress limits the size of the result, because a small message can expand
// to an arbitrary size.
func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, spec.MaxTextBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(out) > spec.MaxTextBytes {
		return nil, eris.Errorf("decompressed text exceeds %d bytes", spec.MaxTextBytes)
	}
	return out, nil
}
