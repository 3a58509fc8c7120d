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

// storedRevision is a revision with the splice that turns its text into the text
// of the revision before it. It is immutable, because views share it.
type storedRevision struct {
	Revision Revision `cbor:"revision"`
	Reverse  splice   `cbor:"back"`
}

// texts holds the newest text in full and earlier ones as reverse splices.
type texts struct {
	text        []byte
	revisions   []storedRevision // sorted by number, newest last
	changeIDs   []string         // change identifiers of the last MaxChanges revisions, newest last
	spliceBytes int              // total size of the stored splices
}

func (t *texts) newest() uint64 {
	if len(t.revisions) == 0 {
		return 0
	}
	return t.revisions[len(t.revisions)-1].Revision.Number
}

// rank returns the rank of the newest text.
func (t *texts) rank() uint64 {
	if len(t.revisions) == 0 {
		return 0
	}
	return t.revisions[len(t.revisions)-1].Revision.Rank
}

func (t *texts) add(r Revision, text []byte) {
	reverse := newSplice(text, t.text)
	reverse.Middle = bytes.Clone(reverse.Middle) // a subslice would keep the whole old text in memory
	t.revisions = append(t.revisions, storedRevision{Revision: r, Reverse: reverse})
	t.spliceBytes += len(reverse.Middle)
	t.text = text
	for len(t.revisions) > MaxRevisions || len(t.revisions) > 1 && t.spliceBytes > MaxHistoryBytes {
		t.spliceBytes -= len(t.revisions[0].Reverse.Middle)
		t.revisions = t.revisions[1:]
	}
	t.changeIDs = append(t.changeIDs, r.Change)
	if len(t.changeIDs) > MaxChanges {
		t.changeIDs = t.changeIDs[1:]
	}
}

// changeID returns the change identifier of a revision, or an empty string if
// the revision is too old.
func (t *texts) changeID(number uint64) string {
	age := t.newest() - number
	if number == 0 || age >= uint64(len(t.changeIDs)) {
		return ""
	}
	return t.changeIDs[uint64(len(t.changeIDs))-1-age]
}
