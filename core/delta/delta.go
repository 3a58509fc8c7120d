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

// Error is a revision that does not fit the receiver's text; the receiver asks
// for the whole text.
type Error struct {
	Number uint64
	Reason string
}

// Error names the revision and the reason.
func (e *Error) Error() string { return fmt.Sprintf("revision %d: %s", e.Number, e.Reason) }

// Sum returns the checksum of a text.
func Sum(text []byte) uint64 { return xxhash.Sum64(text) }

// Whole returns a message that carries the whole text.
func Whole(number uint64, text []byte) (wire.Revision, error) {
	data, err := compress(text)
	if err != nil {
		return wire.Revision{}, err
	}
	return wire.Revision{Number: number, Sum: Sum(text), Data: data, Whole: true}, nil
}

// Splice returns a message that turns the base text into text.
func Splice(base uint64, from []byte, number uint64, text []byte) (wire.Revision, error) {
	head := commonHead(from, text)
	tail := commonTail(from[head:], text[head:])
	data, err := compress(text[head : len(text)-tail])
	if err != nil {
		return wire.Revision{}, err
	}
	return wire.Revision{
		Number: number, Sum: Sum(text), Base: base,
		Head: head, Tail: tail, Data: data, Whole: true,
	}, nil
}

// Apply returns the text of a revision. The base is the receiver's text and
// its number; it is not used for a whole text.
func Apply(base uint64, from []byte, r wire.Revision) ([]byte, error) {
	middle, err := expand(r.Data)
	if err != nil {
		return nil, &Error{Number: r.Number, Reason: err.Error()}
	}
	text := middle
	if r.Base != 0 {
		if r.Base != base {
			return nil, &Error{Number: r.Number, Reason: fmt.Sprintf("is a splice of revision %d, not of %d", r.Base, base)}
		}
		if r.Head < 0 || r.Tail < 0 || r.Head > len(from) || r.Tail > len(from)-r.Head {
			return nil, &Error{Number: r.Number, Reason: "keeps more than the base has"}
		}
		text = make([]byte, 0, r.Head+len(middle)+r.Tail)
		text = append(text, from[:r.Head]...)
		text = append(text, middle...)
		text = append(text, from[len(from)-r.Tail:]...)
	}
	if Sum(text) != r.Sum {
		return nil, &Error{Number: r.Number, Reason: "does not have its checksum"}
	}
	return text, nil
}

func commonHead(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonTail(a, b []byte) int {
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

// expand bounds the result, since a small message can expand without limit.
func expand(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, spec.MaxText+1))
	if err != nil {
		return nil, eris.Wrap(err, "expand")
	}
	if len(out) > spec.MaxText {
		return nil, eris.Errorf("expands to more than %d bytes", spec.MaxText)
	}
	return out, nil
}
