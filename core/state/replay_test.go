package state_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

const replayFile = "testdata/replay.txt"

// replayCommand returns a random command. Its values come from small sets, so that
// commands meet each other's effects.
func replayCommand(rng *rand.Rand, now time.Time) state.Command {
	pick := func(n int) int { return rng.IntN(n) }
	at := func() time.Time { return now.Add(time.Duration(pick(20)-10) * time.Second) }
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(pick(6))}), 80)
	service, key, owner := fmt.Sprint("s", pick(3)), fmt.Sprint("k", pick(8)), fmt.Sprint("e", pick(3))
	c := state.Command{Time: now}
	switch pick(9) {
	case 0:
		c.Submit = &state.Submit{Base: uint64(pick(30)), Change: fmt.Sprint("c", pick(40)), Text: []byte(strings.Repeat("line\n", pick(50)))}
	case 1:
		c.Submit = &state.Submit{Rank: uint64(1 + pick(200)), Change: "ranked", Text: fmt.Appendf(nil, "# %d", pick(1000))}
	case 2:
		c.Claim = &wire.Claim{Service: service, Key: key, Fingerprint: uint64(pick(2)), Owner: owner, Incarnation: at(), Attempt: uint64(pick(3)), Expires: time.Duration(pick(90)) * time.Second}
	case 3:
		c.Close = &wire.Close{Service: service, Key: key, Owner: owner, Incarnation: at(), Attempt: uint64(pick(3)), Outcome: []wire.Outcome{wire.OutcomeDone, wire.OutcomeReleased, wire.OutcomeUnknown, "other"}[pick(4)]}
		if pick(3) > 0 {
			c.Close.Answer = &wire.Answer{Status: 200, Header: map[string][]string{"A": {"b"}}, Body: []byte("ok"), Stored: true}
		}
	case 4:
		c.Grant = &state.Grant{Service: service, Set: uint64(pick(5)), Targets: []state.Target{{Address: address, Start: at(), Score: 1}}, Lease: time.Duration(pick(20)) * time.Second}
	case 5:
		c.Drain = &state.Drain{Name: owner, On: pick(2) == 0}
	case 6:
		c.Tick = &state.Tick{}
	case 7:
		c.Silence = &state.Silence{Targets: []enrol.Incarnation{{Name: fmt.Sprint("t", pick(6)), Start: at(), Seq: uint64(pick(9))}}}
	default:
		c.Announce = &enrol.Announcement{
			Name: fmt.Sprint("t", pick(6)), Service: service, Address: address, Region: "r", DataCentre: "d", Slots: pick(4),
			Start: at(), Seq: uint64(pick(9)), State: []enrol.State{enrol.Ready, enrol.Draining, enrol.Gone, "other"}[pick(4)], Cold: time.Duration(pick(3)) * time.Second,
		}
	}
	return c
}

// Guards against a build that applies the commands of the log in another way than the
// builds before it, which makes two states out of one while they run side by side.
func TestAllBuildsApplyCommandsAlike(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(33, 0))
	m := state.New()
	now := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	hash := sha256.New()
	var got strings.Builder
	for index := uint64(1); index <= 3000; index++ {
		now = now.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
		command, err := wire.Encode(replayCommand(rng, now))
		is.NoErr(err)
		hash.Write(m.Apply(index, command))
		if index%250 == 0 {
			snapshot, err := m.Snapshot()
			is.NoErr(err)
			hash.Write(snapshot)
			fmt.Fprintf(&got, "%d %x\n", index, hash.Sum(nil)[:8])
		}
	}
	want, err := os.ReadFile(replayFile)
	is.NoErr(err)
	is.Equal(got.String(), string(want))
}
