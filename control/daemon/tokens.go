package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalock/galenalock/control/tokens"
	"github.com/galenalock/galenalock/core/boot"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// tokenTimeout limits a question of an entry for tokens, which asks again after that.
// batchTimeout limits the questions of a replica.
const (
	tokenTimeout = 250 * time.Millisecond
	batchTimeout = 500 * time.Millisecond
)

func (d *Daemon) newTokens() *tokens.Server {
	p := d.parts
	return tokens.New(tokens.Dependencies{
		ID: incarnation(d.settings.Instance, d.start),
		Office: func() tokens.Office {
			s := p.group.Status()
			return tokens.Office{Self: s.ID, Leader: s.Leader, Term: s.Term}
		},
		Replicas: func() int { return len(p.group.Status().Members) },
		Read:     func(ctx context.Context) error { return p.group.Read(ctx) },
		Newest:   func() uint64 { return p.machine.view.Load().Newest().Number },
		Text:     func(number uint64) ([]byte, bool) { return p.machine.view.Load().Text(number) },
		Call: func(ctx context.Context, replica uint64, kind wire.Kind, body, answer any) error {
			c := p.links.Get(replica)
			if c == nil {
				return &wire.FaultError{Code: "noquorum", Detail: "no link to the leader"}
			}
			return c.Call(ctx, kind, body, answer)
		},
		Clock: boot.Now,
	})
}

// leaderChanged is called by the goroutine of the group.
func (p *parts) leaderChanged() {
	p.relay.LeaderChanged()
	if p.group != nil { // nil while it is being opened
		p.tokens.LeaderChanged()
	}
}

// incarnation returns a number that identifies an instance and its start.
func incarnation(instance string, start time.Time) uint64 {
	return xxhash.Sum64String(instance + "@" + start.UTC().Format(time.RFC3339Nano))
}

// handleTokens answers a question of an entry, or questions that a replica collected.
func (d *Daemon) handleTokens(c *link.Conn, m wire.Message, fromReplica bool) (any, error) {
	if m.Kind == wire.KindTokenBatch {
		var batch wire.TokenBatch
		if err := decodeFromReplica(fromReplica, m, &batch); err != nil {
			return nil, err
		}
		if err := batch.Check(); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(c.Context(), batchTimeout)
		defer cancel()
		batch.Replica.Entry = incarnation(c.Peer().Instance, c.Peer().Start)
		return d.parts.tokens.ServeBatch(ctx, c.Peer().Replica, batch)
	}
	var q wire.TokenRequest
	if err := wire.Decode(m.Body, &q); err != nil {
		return nil, err
	}
	if err := q.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.Context(), tokenTimeout)
	defer cancel()
	q.Entry = incarnation(c.Peer().Instance, c.Peer().Start)
	return d.parts.tokens.Serve(ctx, q)
}
