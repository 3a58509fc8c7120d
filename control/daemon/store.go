package daemon

import (
	"context"

	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// Shares of the memory of the instance. Claims are held several times: in the state, in the
// log, in the last snapshot, and in the next one and its encoding.
const (
	claimShare  = 1.0 / 12
	answerShare = claimShare / 2
	logShare    = 1.0 / 12 // log after which a snapshot is taken
)

// maxLogBytes is the size of the log after which a snapshot is taken, even if the
// log has fewer entries than Settings.Snapshot.
const maxLogBytes = 32 << 20

// memoryBytes returns the memory of the instance in bytes, 0 if it is unknown.
func (s *Settings) memoryBytes() int { return s.Memory << 20 }

// logBytes returns the size of the log after which a snapshot is taken.
func (s *Settings) logBytes() int {
	if s.Memory == 0 {
		return maxLogBytes
	}
	return min(maxLogBytes, int(logShare*float64(s.memoryBytes())))
}

// boundClaims keeps what entries leave in the state within the memory of the instance. An
// answer for which there is no room is recorded without its body. A claim of a new key is
// refused, which promises that its request has not run: the replica first catches up with
// the leader, since it may lack the record of the key.
func (d *Daemon) boundClaims(ctx context.Context, c *state.Command) error {
	memory := float64(d.settings.memoryBytes())
	if memory == 0 {
		return nil
	}
	view := d.parts.machine.view.Load()
	if c.Close != nil && c.Close.Answer != nil && float64(view.AnswerBytes+len(c.Close.Answer.Body)) > answerShare*memory {
		closed := *c.Close
		closed.Answer = &wire.Answer{Status: c.Close.Answer.Status, Header: c.Close.Answer.Header}
		c.Close = &closed
	}
	if c.Claim == nil || float64(view.ClaimBytes) < claimShare*memory {
		return nil
	}
	if err := d.parts.relay.CatchUp(ctx); err != nil {
		return toFault(err)
	}
	if d.parts.machine.holds(c.Claim.Service, c.Claim.Key) {
		return nil
	}
	return &wire.FaultError{Code: wire.FaultFull, Detail: "the memory for claims is in use"}
}
