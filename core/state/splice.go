package state

import "github.com/rotisserie/eris"

// splice describes how to make one text from another: keep the first Head and
// the last Tail bytes and put Middle between them. Unlike the splices of
// core/delta it is not compressed, because the encoded state must not depend on
// the version of a compressor.
type splice struct {
	Head   int    `cbor:"head,omitempty"`
	Tail   int    `cbor:"tail,omitempty"`
	Middle []byte `cbor:"middle,omitempty"`
}

// newSplice returns the splice that turns base into text.
func newSplice(base, text []byte) splice {
	short := min(len(base), len(text))
	head := 0
	for head < short && base[head] == text[head] {
		head++
	}
	tail := 0
	for tail < short-head && base[len(base)-1-tail] == text[len(text)-1-tail] {
		tail++
	}
	return splice{Head: head, Tail: tail, Middle: text[head : len(text)-tail]}
}

// apply returns the result of the splice on base.
func (s splice) apply(base []byte) ([]byte, error) {
	if s.Head < 0 || s.Tail < 0 || s.Head > len(base) || s.Tail > len(base)-s.Head {
		return nil, eris.Errorf("splice keeps %d and %d bytes of a base of %d bytes", s.Head, s.Tail, len(base))
	}
	text := make([]byte, 0, s.Head+len(s.Middle)+s.Tail)
	text = append(text, base[:s.Head]...)
	text = append(text, s.Middle...)
	return append(text, base[len(base)-s.Tail:]...), nil
}
