package state_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// ranked submits a text with an outside rank.
func ranked(is *is.I, m *state.Machine, index, rank uint64, text string) *state.Submitted {
	command, err := wire.Encode(state.Command{Time: epoch, Submit: &state.Submit{Change: "c", Rank: rank, Text: []byte(text)}})
	is.NoErr(err)
	var result state.Result
	is.NoErr(wire.Decode(m.Apply(index, command), &result))
	return result.Submitted
}

// Guards against a text that an older or equal rank replaces, and against a
// rank that is forgotten with a snapshot.
func TestHighestRankIsInForce(t *testing.T) {
	is := is.New(t)
	m := state.New()
	is.Equal(ranked(is, m, 1, 7, "seven").Outcome, state.Accepted)
	is.Equal(ranked(is, m, 2, 7, "other").Outcome, state.Held)
	is.Equal(ranked(is, m, 3, 6, "six").Outcome, state.Held)
	is.Equal(ranked(is, m, 4, 12, "twelve").Outcome, state.Accepted)

	data, err := m.Snapshot()
	is.NoErr(err)
	restored := state.New()
	is.NoErr(restored.Restore(data))
	is.Equal(ranked(is, restored, 5, 12, "other").Outcome, state.Held)
	newest := restored.View().Newest()
	text, ok := restored.View().Text(newest.Number)
	is.True(ok)
	is.Equal(string(text), "twelve")
	is.Equal(newest.Rank, uint64(12))
	is.Equal(newest.Number, uint64(2))
}
