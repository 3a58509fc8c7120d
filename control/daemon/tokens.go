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

// tokenTimeout limits a question for tokens. Entries ask again before that.
const tokenTimeout = 500 * time.Millisecond

func (d *Daemon) newTokens() *tokens.Server {
	p := d.parts
	return tokens.New(tokens.Dependencies{
		Office: func() tokens.Office {
			s := p.group.Status()
			return tokens.Office{Self: s.ID, Leader: s.Leader, Term: s.Term}
		},
		Read:   func(ctx context.Context) error { return p.group.Read(ctx) },
		Newest: func() uint64 { return p.machine.view.Load().Newest().Number },
		Text:   func(number uint64) ([]byte, bool) { return p.machine.view.Load().Text(number) },
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

// handleTokens answers a question of an entry, or questions that a replica forwarded.
func (d *Daemon) handleTokens(c *link.Conn, m wire.Message, fromReplica bool) (any, error) {
	ctx, cancel := context.WithTimeout(c.Context(), tokenTimeout)
	defer cancel()
	if m.Kind == wire.KindTokenBatch {
		var batch wire.List[wire.TokenRequest]
		if err := decodeFromReplica(fromReplica, m, &batch); err != nil {
			return nil, err
		}
		for _, q := range batch.List {
			if err := q.Check(); err != nil {
				return nil, err
			}
		}
		return d.parts.tokens.ServeBatch(ctx, batch)
	}
	var q wire.TokenRequest
	if err := wire.Decode(m.Body, &q); err != nil {
		return nil, err
	}
	if err := q.Check(); err != nil {
		return nil, err
	}
	peer := c.Peer()
	q.Entry = xxhash.Sum64String(peer.Instance + "@" + peer.Start.UTC().Format(time.RFC3339Nano))
	return d.parts.tokens.Serve(ctx, q)
}
