package proxy

import (
	"maps"
	"net/http"

	"github.com/galenalock/galenalock/core/wire"
)

// capture keeps a response for the record of a claim.
type capture struct {
	answer wire.Answer
	over   bool             // the body exceeds what is kept
	done   func(whole bool) // told once how the body ended
}

func (k *capture) begin(status int, header http.Header) {
	k.answer.Status = status
	k.answer.Header = maps.Clone(map[string][]string(header))
	delete(k.answer.Header, "Trailer")
	if header["Content-Type"] == nil {
		delete(k.answer.Header, "Content-Type")
	}
}

func (k *capture) add(piece []byte) {
	if k.over = k.over || len(k.answer.Body)+len(piece) > wire.MaxAnswer; k.over {
		k.answer.Body = nil
		return
	}
	k.answer.Body = append(k.answer.Body, piece...)
}

// record returns what is stored.
func (k *capture) record() *wire.Answer {
	k.answer.Stored = !k.over
	return &k.answer
}
