package state

import (
	"bytes"
	"time"
)

// Revision describes one revision of the service text.
type Revision struct {
	Number uint64    `cbor:"number"`
	Base   uint64    `cbor:"base"`
	Change string    `cbor:"change"`
	Sum    uint64    `cbor:"sum"`
	Size   int       `cbor:"size"`
	Time   time.Time `cbor:"time"` // when it was accepted
	Rank   uint64    `cbor:"rank,omitempty"`
}

// kept is a revision with the splice that makes the text before it from its
// own. Records are immutable, because views share them.
type kept struct {
	Revision Revision `cbor:"revision"`
	Back     splice   `cbor:"back"`
}

// texts holds the newest text whole and those before it as splices.
type texts struct {
	text    []byte
	kept    []kept   // by number, newest last
	winners []string // identifiers of the latest revisions, newest last
	stored  int      // bytes of the splices
}

func (t *texts) newest() uint64 {
	if len(t.kept) == 0 {
		return 0
	}
	return t.kept[len(t.kept)-1].Revision.Number
}

// rank returns the rank of the newest text.
func (t *texts) rank() uint64 {
	if len(t.kept) == 0 {
		return 0
	}
	return t.kept[len(t.kept)-1].Revision.Rank
}

func (t *texts) add(r Revision, text []byte) {
	back := cut(text, t.text)
	back.Middle = bytes.Clone(back.Middle) // a part would keep the whole old text in memory
	t.kept = append(t.kept, kept{Revision: r, Back: back})
	t.stored += len(back.Middle)
	t.text = text
	for len(t.kept) > MaxTexts || len(t.kept) > 1 && t.stored > MaxHistory {
		t.stored -= len(t.kept[0].Back.Middle)
		t.kept = t.kept[1:]
	}
	t.winners = append(t.winners, r.Change)
	if len(t.winners) > MaxChanges {
		t.winners = t.winners[1:]
	}
}

// winner returns the identifier of a revision, or nothing when it is too old.
func (t *texts) winner(number uint64) string {
	age := t.newest() - number
	if number == 0 || age >= uint64(len(t.winners)) {
		return ""
	}
	return t.winners[uint64(len(t.winners))-1-age]
}
