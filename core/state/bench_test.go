package state_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// BenchmarkClaim measures a claim and its close with an answer of 1 KiB.
func BenchmarkClaim(b *testing.B) {
	m := state.New()
	answer := &wire.Answer{Status: 201, Body: bytes.Repeat([]byte("x"), 1<<10), Stored: true}
	i := 0
	for b.Loop() {
		i++
		key, now := fmt.Sprint("key-", i), epoch.Add(time.Duration(i)*time.Millisecond)
		apply(m, uint64(i), state.Command{Time: now, Claim: &wire.Claim{Service: "ledger", Key: key, Owner: "entry-1", Attempt: 1, Expires: time.Minute}})
		apply(m, uint64(i), state.Command{Time: now, Close: &wire.Close{Service: "ledger", Key: key, Owner: "entry-1", Attempt: 1, Outcome: wire.OutcomeDone, Answer: answer}})
	}
}

// BenchmarkSnapshot measures a snapshot of 100,000 claims with answers. The
// replica is blocked for this time.
func BenchmarkSnapshot(b *testing.B) {
	m := state.New()
	answer := &wire.Answer{Status: 201, Body: bytes.Repeat([]byte("x"), 300), Stored: true}
	for i := range 100_000 {
		key := fmt.Sprintf("0190f3c4-aaaa-7bbb-8ccc-%012d", i)
		apply(m, 1, state.Command{Time: epoch, Claim: &wire.Claim{Service: "ledger", Key: key, Owner: "entry-1", Attempt: 1, Expires: time.Minute}})
		apply(m, 1, state.Command{Time: epoch, Close: &wire.Close{Service: "ledger", Key: key, Owner: "entry-1", Attempt: 1, Outcome: wire.OutcomeDone, Answer: answer}})
	}
	for b.Loop() {
		data, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	}
}

// BenchmarkSubmit measures a change of one line in a service text of the target
// size, and reports the size of a snapshot with the last 64 revisions.
func BenchmarkSubmit(b *testing.B) {
	var text bytes.Buffer
	for i := range 1200 {
		fmt.Fprintf(&text, "[[route]]\nhost = \"h%d.example\"\nprefix = \"/p\"\nservice = \"s%d\"\n", i, i%150)
	}
	for i := range 14000 {
		fmt.Fprintf(&text, "[[workspace]]\nname = \"workspace-%d\"\nservices = [\"s%d\"]\nrate = 50\n", i, i%150)
	}
	m := state.New()
	i := uint64(0)
	for b.Loop() {
		changed := bytes.Replace(text.Bytes(), []byte("rate = 50"), fmt.Appendf(nil, "rate = %d", i), 1)
		apply(m, i+1, state.Command{Time: epoch, Submit: &state.Submit{Base: i, Change: fmt.Sprint(i), Text: changed}})
		i++
	}
	data, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(text.Len()), "text-bytes")
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
}
