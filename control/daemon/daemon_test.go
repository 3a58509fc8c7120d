package daemon_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/wire"
)

// Guards against an accepted change that does not reach a linked entry, and against
// sending the whole text where a splice suffices.
func TestEntryGetsRevisions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := startGroup(t, 1)[0]
	is.Equal(r.submitUntilAnswered(0, "first", serviceText(1))["revision"], 1.0)

	e := dialEntry(t, r)
	for digest := range e.revisions {
		if digest.Number == 1 {
			is.True(!digest.HasData)
			break
		}
	}
	var full wire.Revision
	is.NoErr(e.conn.Call(t.Context(), wire.KindPull, wire.Pull{}, &full))
	one, err := delta.Apply(0, nil, full)
	is.NoErr(err)
	is.Equal(string(one), serviceText(1))

	is.Equal(r.submitUntilAnswered(1, "second", serviceText(2))["revision"], 2.0)
	splice := <-e.revisions
	is.Equal(splice.Base, uint64(1))
	two, err := delta.Apply(1, one, splice)
	is.NoErr(err)
	is.Equal(string(two), serviceText(2))

	var confirmed wire.Confirmed
	is.NoErr(e.conn.Call(t.Context(), wire.KindConfirm, wire.Confirm{}, &confirmed))
	is.Equal(confirmed, wire.Confirmed{Number: 2, Checksum: splice.Checksum})
}

// Guards against claims that bypass the log, and against orders that do not reach
// entries.
func TestEntryClaimsAndGetsOrders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := startGroup(t, 1)[0]
	r.submitUntilAnswered(0, "first", serviceText(1))
	e := dialEntry(t, r)
	claim := wire.Claim{Service: "ledger", Key: "k", Owner: "entry-1", Attempt: 1}
	ask := func(c wire.Claim) wire.ClaimState {
		var got wire.Claimed
		is.NoErr(e.conn.Call(t.Context(), wire.KindClaim, c, &got))
		return got.State
	}
	is.Equal(ask(claim), wire.ClaimGranted)
	other := claim
	other.Attempt = 2
	is.Equal(ask(other), wire.ClaimRunning)
	var closed wire.Claimed
	is.NoErr(e.conn.Call(t.Context(), wire.KindClose, wire.Close{
		Service: "ledger", Key: "k", Owner: "entry-1", Attempt: 1, Outcome: wire.OutcomeDone, Answer: &wire.Answer{Status: 201, Stored: true},
	}, &closed))
	is.Equal(ask(other), wire.ClaimDone)

	is.Equal(len((<-e.orders).Drains), 0) // sent when the link opens
	status, _ := r.request(http.MethodPut, "/v1/drains/10.0.0.1:80", nil)
	is.Equal(status, http.StatusOK)
	is.Equal((<-e.orders).Drains, []string{"10.0.0.1:80"})
}
