package group

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// proposal is a command, or a membership change, on its way through the log.
type proposal struct {
	command []byte
	term    uint64
	taken   atomic.Bool // by the group or by a caller who gave up
	result  chan outcome
}

type outcome struct {
	result []byte
	err    error
}

func newProposal(command []byte) *proposal {
	return &proposal{command: command, result: make(chan outcome, 1)}
}

func (p *proposal) finish(result []byte, err error) { p.result <- outcome{result, err} }

// Propose appends a command to the log and returns what the machine answers
// once it is committed and applied here. The errors are *NotLeaderError,
// *UnknownError, *ShutdownError, *SizeError, and the error of the context if
// it ended before the command was taken up; all but *UnknownError mean that the
// command is not applied.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommand {
		return nil, &SizeError{Size: len(command), Max: MaxCommand}
	}
	p := newProposal(command)
	select {
	case g.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-g.over:
		return nil, &ShutdownError{}
	}
	return g.await(ctx, p)
}

func (g *Group) await(ctx context.Context, p *proposal) ([]byte, error) {
	over := g.over
	for {
		select {
		case out := <-p.result:
			return out.result, out.err
		case <-ctx.Done():
			if p.taken.CompareAndSwap(false, true) {
				return nil, ctx.Err()
			}
			return nil, &UnknownError{Err: ctx.Err()}
		case <-over:
			if p.taken.CompareAndSwap(false, true) {
				return nil, &ShutdownError{}
			}
			over = nil // Run answers what it has taken
		}
	}
}

// change passes a membership change to the core and waits for its commit. While
// another change is under way, which may be one of the group's own, it tries
// again every heartbeat.
func (g *Group) change(ctx context.Context, event raft.Event) error {
	for {
		err := g.changeOnce(ctx, event)
		var refused *ChangeError
		if !errors.As(err, &refused) || refused.Reason != raft.ReasonChanging {
			return err
		}
		select {
		case <-time.After(g.heartbeat):
		case <-ctx.Done():
			return err
		}
	}
}

func (g *Group) changeOnce(ctx context.Context, event raft.Event) error {
	p := newProposal(nil)
	call := func() {
		if p.taken.CompareAndSwap(false, true) {
			g.asked = []*proposal{p}
			g.step(event)
		}
	}
	select {
	case g.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.over:
		return &ShutdownError{}
	}
	_, err := g.await(ctx, p)
	return err
}

// Read returns when every command that was committed before the call is applied
// here. The errors are *NotLeaderError, *ShutdownError and that of the context.
func (g *Group) Read(ctx context.Context) error {
	result := make(chan error, 1)
	return g.wait(ctx, result, func() {
		g.token++
		g.reads[g.token] = []chan error{result}
		g.step(raft.Read{Token: g.token})
	})
}

// Transfer hands leadership to the most advanced other replica. The errors are
// *NotLeaderError, *ChangeError, *ShutdownError and that of the context.
func (g *Group) Transfer(ctx context.Context) error {
	result := make(chan error, 1)
	return g.wait(ctx, result, func() {
		if status := g.core.Status(); status.Role != raft.RoleLeader {
			result <- &NotLeaderError{Leader: status.Leader}
			return
		}
		g.transfers = append(g.transfers, result)
		g.step(raft.Transfer{})
	})
}

func (g *Group) wait(ctx context.Context, result chan error, call func()) error {
	select {
	case g.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.over:
		return &ShutdownError{}
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.over:
		return &ShutdownError{}
	}
}
