package state_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// submitRanked submits a text with a rank.
func submitRanked(is *is.I, m *state.Machine, index, rank uint64, text string) *state.Submitted {
	command, err := wire.Encode(state.Command{Time: epoch, Submit: &state.Submit{Change: "c", Rank: rank, Text: []byte(text)}})
	is.NoErr(err)
	var result state.Result
	is.NoErr(wire.Decode(m.Apply(index, command), &result))
	return result.Submitted
}

// Guards against replacing a text by one of a lower or equal rank, and against
// losing the rank in a snapshot.
func TestHighestRankIsInForce(t *testing.T) {
	is := is.New(t)
	m := state.New()
	is.Equal(submitRanked(is, m, 1, 7, "seven").Outcome, state.Accepted)
	is.Equal(submitRanked(is, m, 2, 7, "other").Outcome, state.Held)
	is.Equal(submitRanked(is, m, 3, 6, "six").Outcome, state.Held)
	is.Equal(submitRanked(is, m, 4, 12, "twelve").Outcome, state.Accepted)

	data, err := m.Snapshot()
	is.NoErr(err)
	restored := state.New()
	is.NoErr(restored.Restore(data))
	is.Equal(submitRanked(is, restored, 5, 12, "other").Outcome, state.Held)
	newest := restored.View().Newest()
	text, ok := restored.View().Text(newest.Number)
	is.True(ok)
	is.Equal(string(text), "twelve")
	is.Equal(newest.Rank, uint64(12))
	is.Equal(newest.Number, uint64(2))
}
