package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/wire"
)

// MessageSizes holds the encoded size of messages in bytes, without
// FrameOverhead.
type MessageSizes struct {
	Record   float64 `json:"record"`   // of one target's record in a full message
	Renewal  int     `json:"renewal"`  // a renewal forwarded to an owner
	Announce int     `json:"announce"` // the body of an announcement
	Claim    int     `json:"claim"`    // a claim
	Close    int     `json:"close"`    // the record of an answer with a body of 1 KiB
	Splice   int     `json:"splice"`   // the change of one line in largeServiceText
}

// MeasureMessages measures the encoded sizes of messages.
func MeasureMessages() (MessageSizes, error) {
	var w MessageSizes
	messages, err := encodeRecords(gossip.MaxRecords)
	if err != nil {
		return w, err
	}
	w.Record = float64(len(messages[0])) / gossip.MaxRecords
	renew := renewals(1)[0]
	body, err := json.Marshal(renew)
	if err != nil {
		return w, eris.Wrap(err, "encode announcement")
	}
	w.Announce = len(body)
	text := largeServiceText()
	changed := bytes.Replace(text, []byte("rate = 50"), []byte("rate = 70"), 1)
	splice, err := delta.Splice(1, text, 2, changed)
	if err != nil {
		return w, eris.Wrap(err, "encode change of the service text")
	}
	key := "0c9d6a3e-7f41-4d19-9a55-000000000001"
	answer := &wire.Answer{Status: 201, Body: make([]byte, answerBodySize), Stored: true}
	for _, part := range []struct {
		size    *int
		message any
	}{
		{&w.Renewal, renew},
		{&w.Splice, splice},
		{&w.Claim, wire.Claim{Service: "ledger", Key: key, Owner: "entry-1", Incarnation: epoch, Attempt: 1, Expires: time.Minute}},
		{&w.Close, wire.Close{Service: "ledger", Key: key, Owner: "entry-1", Incarnation: epoch, Attempt: 1, Outcome: wire.OutcomeDone, Answer: answer}},
	} {
		data, err := wire.Encode(part.message)
		if err != nil {
			return w, err
		}
		*part.size = len(data)
	}
	return w, nil
}

// largeServiceText returns a service text of the target size of the design:
// 1200 routes and 14000 workspaces.
func largeServiceText() []byte {
	var text bytes.Buffer
	for i := range 1200 {
		fmt.Fprintf(&text, "[[route]]\nhost = \"h%d.example\"\nprefix = \"/p\"\nservice = \"s%d\"\n", i, i%serviceCount)
	}
	for i := range 14000 {
		fmt.Fprintf(&text, "[[workspace]]\nname = \"workspace-%d\"\nservices = [\"s%d\"]\nrate = 50\n", i, i%serviceCount)
	}
	return text.Bytes()
}
