package group

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// proposal is a command or membership change that waits for its commit.
type proposal struct {
	command []byte
	term    uint64
	taken   atomic.Bool // claimed by the group, or withdrawn by its caller
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

// Propose appends a command to the log and returns the result of the state
// machine once the command is committed and applied on this replica. The errors
// are *NotLeaderError, *UnknownError, *ShutdownError, *SizeError, and the error
// of the context if it ended before the group took the command. All except
// *UnknownError mean that the command was not and will not be applied.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, &SizeError{Size: len(command), Max: MaxCommandBytes}
	}
	p := newProposal(command)
	select {
	case g.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-g.stopped:
		return nil, &ShutdownError{}
	}
	return g.awaitResult(ctx, p)
}

func (g *Group) awaitResult(ctx context.Context, p *proposal) ([]byte, error) {
	stopped := g.stopped
	for {
		select {
		case out := <-p.result:
			return out.result, out.err
		case <-ctx.Done():
			if p.taken.CompareAndSwap(false, true) {
				return nil, ctx.Err()
			}
			return nil, &UnknownError{Err: ctx.Err()}
		case <-stopped:
			if p.taken.CompareAndSwap(false, true) {
				return nil, &ShutdownError{}
			}
			stopped = nil // Run completes every proposal that it has taken
		}
	}
}

// change passes a membership change to the core and waits for its commit. It
// retries every heartbeat interval while another change is in progress, which
// may be one that the group started itself.
func (g *Group) change(ctx context.Context, event raft.Event) error {
	for {
		err := g.changeOnce(ctx, event)
		var refused *ChangeError
		if !errors.As(err, &refused) || refused.Reason != raft.ReasonChangePending {
			return err
		}
		select {
		case <-time.After(g.heartbeatInterval):
		case <-ctx.Done():
			return err
		}
	}
}

func (g *Group) changeOnce(ctx context.Context, event raft.Event) error {
	p := newProposal(nil)
	call := func() {
		if p.taken.CompareAndSwap(false, true) {
			g.stepProposals = []*proposal{p}
			g.step(event)
		}
	}
	select {
	case g.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
		return &ShutdownError{}
	}
	_, err := g.awaitResult(ctx, p)
	return err
}

// Read returns once every command committed before the call is applied on this
// replica. The errors are *NotLeaderError, *ShutdownError and the error of the
// context.
func (g *Group) Read(ctx context.Context) error {
	result := make(chan error, 1)
	return g.runAndWait(ctx, result, func() {
		g.lastReadToken++
		g.reads[g.lastReadToken] = []chan error{result}
		g.step(raft.Read{Token: g.lastReadToken})
	})
}

// Transfer transfers leadership to the most up-to-date other replica. The errors
// are *NotLeaderError, *ChangeError, *ShutdownError and the error of the context.
func (g *Group) Transfer(ctx context.Context) error {
	result := make(chan error, 1)
	return g.runAndWait(ctx, result, func() {
		if status := g.core.Status(); status.Role != raft.RoleLeader {
			result <- &NotLeaderError{Leader: status.Leader}
			return
		}
		g.transfers = append(g.transfers, result)
		g.step(raft.Transfer{})
	})
}

func (g *Group) runAndWait(ctx context.Context, result chan error, call func()) error {
	select {
	case g.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
		return &ShutdownError{}
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
		return &ShutdownError{}
	}
}
