// Package stall bounds what request bodies that are forwarded while they arrive hold at the
// targets of a service. Such a request takes room at its target before its caller has sent
// it. Only some of them are forwarded at once, and others wait in line. If callers lack
// room, the bodies that stand still are given up. Bodies that go on, and those of a service
// that has room, are left alone.
package stall

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Time is the time without progress after which a body stands still.
const Time = time.Second

// Table holds the bodies that are being forwarded to one service. It is safe for
// concurrent use. The zero value is ready to use.
type Table struct {
	mu        sync.Mutex
	transfers map[*Transfer]struct{}
	line      []*Transfer
}

// Transfer is a body that is being forwarded. A nil Transfer is in no table.
type Transfer struct {
	table  *Table
	giveUp func()
	limit  int
	begun  chan struct{} // closed when it leaves the line
	since  time.Time     // when the transfer began to wait for its caller, zero if it does not
}

// Begin adds a body once fewer than limit are forwarded, 0 stands for no limit. giveUp has
// to end its request and must not block. The error is that of ctx, which ends the wait.
func (t *Table) Begin(ctx context.Context, limit int, giveUp func()) (*Transfer, error) {
	x := &Transfer{table: t, giveUp: giveUp, limit: limit, begun: make(chan struct{})}
	t.mu.Lock()
	if t.transfers == nil {
		t.transfers = map[*Transfer]struct{}{}
	}
	t.line = append(t.line, x)
	t.advance()
	t.mu.Unlock()
	select {
	case <-x.begun:
		return x, nil
	case <-ctx.Done():
		x.End()
		return nil, ctx.Err()
	}
}

// advance begins transfers of the line for which there is room. The caller holds the lock.
func (t *Table) advance() {
	for len(t.line) > 0 {
		x := t.line[0]
		if x.limit > 0 && len(t.transfers) >= x.limit {
			return
		}
		t.line = slices.Delete(t.line, 0, 1)
		t.transfers[x] = struct{}{}
		close(x.begun)
	}
}

// Waiting returns the number of bodies in line.
func (t *Table) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.line)
}

// Wait records that the transfer waits for its caller from now on.
func (x *Transfer) Wait(now time.Time) { x.setSince(now) }

// Advance records that the caller has sent a part of the body.
func (x *Transfer) Advance() { x.setSince(time.Time{}) }

func (x *Transfer) setSince(since time.Time) {
	if x == nil {
		return
	}
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	x.since = since
}

// End removes the body, which is whole or has ended. Further calls do nothing.
func (x *Transfer) End() {
	if x == nil {
		return
	}
	t := x.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.transfers, x)
	if i := slices.Index(t.line, x); i >= 0 {
		t.line = slices.Delete(t.line, i, i+1)
	}
	t.advance()
}

// Relieve gives up the bodies that stand still, because other requests lack room, and
// returns their number.
func (t *Table) Relieve(now time.Time) int {
	t.mu.Lock()
	var stalled []*Transfer
	for x := range t.transfers {
		if !x.since.IsZero() && now.Sub(x.since) >= Time {
			stalled = append(stalled, x)
			delete(t.transfers, x)
		}
	}
	t.advance()
	t.mu.Unlock()
	for _, x := range stalled {
		x.giveUp()
	}
	return len(stalled)
}
