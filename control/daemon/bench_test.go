package daemon_test

import (
	"fmt"
	"testing"

	"github.com/galenalock/galenalock/core/wire"
)

// BenchmarkPropagate measures the time from the submission of a change to its
// arrival at 48 entries that are linked to three replicas.
func BenchmarkPropagate(b *testing.B) {
	group := startGroup(b, 3)
	group[0].submitUntilAnswered(0, "first", serviceText(0))
	var entries []*entry
	for i := range 48 {
		e := dialEntry(b, group[i%3])
		var full wire.Revision
		if err := e.conn.Call(b.Context(), wire.KindPull, wire.Pull{}, &full); err != nil {
			b.Fatal(err)
		}
		entries = append(entries, e)
	}
	base := uint64(1)
	for b.Loop() {
		group[0].submitUntilAnswered(base, fmt.Sprint("change-", base), serviceText(int(base)))
		base++
		for _, e := range entries {
			for r := range e.revisions {
				if r.Number == base {
					break
				}
			}
		}
	}
}
