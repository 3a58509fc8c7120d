package proxy

import (
	"maps"
	"net/http"

	"github.com/galenalock/galenalock/core/budget"
	"github.com/galenalock/galenalock/core/wire"
)

// capture copies a response to record it as the outcome of a claim.
type capture struct {
	answer   wire.Answer
	overflow bool // the body exceeds wire.MaxAnswer, or there is no memory for it
	charge   *budget.Charge
	onDone   func(complete bool) // called once, when the body ends
}

func (k *capture) begin(status int, header http.Header) {
	k.answer.Status = status
	k.answer.Header = maps.Clone(map[string][]string(header))
	delete(k.answer.Header, "Trailer")
	if header["Content-Type"] == nil {
		delete(k.answer.Header, "Content-Type")
	}
}

func (k *capture) add(chunk []byte) {
	k.overflow = k.overflow || len(k.answer.Body)+len(chunk) > wire.MaxAnswer || !k.charge.TryAdd(int64(len(chunk)))
	if k.overflow {
		k.answer.Body = nil
		return
	}
	k.answer.Body = append(k.answer.Body, chunk...)
}

// record returns the response to be stored.
func (k *capture) record() *wire.Answer {
	k.answer.Stored = !k.overflow
	return &k.answer
}
