package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/bucket"
	"github.com/galenalock/galenalock/core/wire"
)

// limitedWorkspace is a workspace in a service text.
const limitedWorkspace = "[[workspace]]\nname = \"a\"\nservices = [\"ledger\"]\nrate = 20.0\nburst = 1.0\n"

func limitedNumber() uint64 {
	return bucket.NewDirectory([]bucket.Workspace{{Name: "a"}}).Number("a")
}

func tokenRequest() wire.TokenRequest {
	return wire.TokenRequest{Silence: 5, List: []wire.TokenDemand{{Workspace: limitedNumber(), Want: 2, Return: 1, Release: 7}}}
}

// Guards against entries that get no tokens from a replica that does not lead, and
// against a limit that each replica grants again.
func TestTokensOfTheWholeFleet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	group := startGroup(t, 3)
	group[0].submitUntilAnswered(0, "first", serviceText(1)+limitedWorkspace)
	begin, granted := time.Now(), 0
	for _, r := range group {
		e, before := dialEntry(t, r), granted
		waitUntil(t, "the leader grants tokens", func() bool {
			var answer wire.TokenAnswer
			q := wire.TokenRequest{List: []wire.TokenDemand{{Workspace: limitedNumber(), Want: 20}}}
			if e.conn.Call(t.Context(), wire.KindTokens, q, &answer) == nil && len(answer.List) == 1 {
				granted += answer.List[0].Tokens
			}
			return granted > before
		})
	}
	is.True(float64(granted) <= 20*time.Since(begin).Seconds()+6) // 5 is the least depth of this bucket
}
