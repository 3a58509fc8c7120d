package group

import (
	"context"
	"fmt"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// barrier is a read that waits until index is applied.
type barrier struct {
	index  uint64
	result []chan error
}

func (g *Group) loop(ctx context.Context) error {
	if g.initial.Index > raft.FoundingIndex {
		if err := g.machine.Restore(g.initial.Data); err != nil {
			return fmt.Errorf("restore: %w", err)
		}
	}
	g.initial = raft.Snapshot{}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for g.failed == nil {
		proposals := g.proposals
		if g.waitingBytes > maxWaiting {
			proposals = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case m := <-g.inbox:
			g.step(raft.Receive{Message: m})
		case d := <-g.disk.done:
			g.stored(d)
		case call := <-g.calls:
			call()
		case p := <-proposals:
			g.propose(p)
		case <-timer.C:
			g.step(raft.Tick{})
			g.yield()
		}
		g.snapshot()
		g.publish()
		timer.Reset(max(0, g.core.Next().Sub(g.clock())))
	}
	return g.failed
}

// stallLimit is how long a leader waits for its disk before it hands over. A
// sync takes some milliseconds, and 0.15 s on a slow disk; an election after
// the loss of a leader takes longer than this.
const stallLimit = 500 * time.Millisecond

// yield hands leadership over while the disk of this leader is stalled, since a
// leader answers only what it has stored itself.
func (g *Group) yield() {
	if g.core.Status().Role != raft.RoleLeader || !g.disk.stalled(g.clock(), stallLimit) {
		return
	}
	if g.core.Status().Transferring == 0 {
		g.logger.WithField("limit", stallLimit.String()).Warn("disk stalled")
	}
	g.step(raft.Transfer{})
}

// propose takes the proposal and those queued behind it into one step.
func (g *Group) propose(p *proposal) {
	g.asked = nil
	var commands [][]byte
	size := 0
	for {
		if p.taken.CompareAndSwap(false, true) {
			g.asked = append(g.asked, p)
			commands = append(commands, p.command)
			size += len(p.command)
		}
		if len(commands) >= maxBatch || size >= maxBatchBytes {
			break
		}
		select {
		case p = <-g.proposals:
			continue
		default:
		}
		break
	}
	if len(commands) > 0 {
		g.step(raft.Propose{Commands: commands})
	}
}

func (g *Group) stored(d done) {
	switch {
	case d.err != nil:
		g.failed = d.err
	case d.skipped:
		g.snapping = false
	case d.snapshot != nil:
		g.snapping = false
		g.step(raft.Compact{Snapshot: *d.snapshot})
	default:
		g.step(raft.Persisted{Seq: d.seq})
	}
}

func (g *Group) step(event raft.Event) {
	for _, action := range g.core.Step(g.clock(), event) {
		g.act(action)
	}
	status := g.core.Status()
	if len(g.waiting) > 0 && (status.Role != raft.RoleLeader || status.Term != g.waitingTerm) {
		g.lose()
	}
	g.endTransfers(status)
	if status.Role != g.role {
		g.role = status.Role
		g.logger.WithField("role", string(status.Role)).WithField("term", status.Term).
			WithField("leader", status.Leader).Info("role")
	}
}

func (g *Group) act(action raft.Action) {
	switch a := action.(type) {
	case raft.Persist:
		g.disk.add(job{persist: &a})
	case raft.Send:
		message, err := raft.Encode(a.Message)
		if err != nil {
			g.failed = err
			return
		}
		g.send(a.Message.To, message)
	case raft.Apply:
		for _, entry := range a.Entries {
			g.apply(entry)
		}
		g.releaseReads()
	case raft.Restore:
		g.restore(a.Snapshot)
	case raft.Accepted:
		g.accepted(a)
	case raft.Refused:
		g.refused(a)
	case raft.ReadReady:
		g.ready = append(g.ready, barrier{a.Index, g.reads[a.Token]})
		delete(g.reads, a.Token)
		g.releaseReads()
	case raft.ReadRefused:
		for _, result := range g.reads[a.Token] {
			result <- &NotLeaderError{Leader: a.Leader}
		}
		delete(g.reads, a.Token)
	}
}

func (g *Group) accepted(a raft.Accepted) {
	g.waitingTerm = a.Term
	for i, p := range g.asked {
		p.term = a.Term
		g.waiting[a.Index+uint64(i)] = p
		g.waitingBytes += len(p.command)
	}
	g.asked = nil
}

func (g *Group) refused(a raft.Refused) {
	var err error = &NotLeaderError{Leader: a.Leader}
	if a.Reason != "" {
		err = &ChangeError{Reason: a.Reason}
	}
	for _, p := range g.asked {
		p.finish(nil, err)
	}
	g.asked = nil
}

func (g *Group) apply(entry raft.Entry) {
	var result []byte
	if entry.Kind == raft.EntryCommand {
		result = g.machine.Apply(entry.Index, entry.Data)
	}
	g.applied = entry.Index
	g.snapBytes += len(entry.Data)
	p := g.waiting[entry.Index]
	if p == nil {
		return
	}
	g.forget(entry.Index, p)
	if p.term != entry.Term {
		p.finish(nil, &NotLeaderError{Leader: g.core.Status().Leader})
		return
	}
	p.finish(result, nil)
}

func (g *Group) forget(index uint64, p *proposal) {
	delete(g.waiting, index)
	g.waitingBytes -= len(p.command)
}

// lose answers the proposals of a leadership that is over.
func (g *Group) lose() {
	for index, p := range g.waiting {
		g.forget(index, p)
		p.finish(nil, &UnknownError{})
	}
}

func (g *Group) restore(s raft.Snapshot) {
	if s.Index > raft.FoundingIndex {
		if err := g.machine.Restore(s.Data); err != nil {
			g.failed = fmt.Errorf("restore: %w", err)
			return
		}
	}
	g.applied, g.snapIndex, g.snapBytes = s.Index, s.Index, 0
	g.releaseReads()
}

func (g *Group) releaseReads() {
	kept := g.ready[:0]
	for _, b := range g.ready {
		if b.index > g.applied {
			kept = append(kept, b)
			continue
		}
		for _, result := range b.result {
			result <- nil
		}
	}
	g.ready = kept
}

func (g *Group) endTransfers(status raft.Status) {
	if len(g.transfers) == 0 || status.Role == raft.RoleLeader && status.Transferring != 0 {
		return
	}
	var err error
	if status.Role == raft.RoleLeader {
		err = &ChangeError{Reason: "no other replica took over the leadership"}
	}
	for _, result := range g.transfers {
		result <- err
	}
	g.transfers = nil
}

// snapshot stores the state of the machine when enough has been applied.
func (g *Group) snapshot() {
	if g.snapping || g.failed != nil || g.applied-g.snapIndex < g.entries && g.snapBytes < g.bytes {
		return
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		g.failed = fmt.Errorf("snapshot: %w", err)
		return
	}
	s := g.core.Describe()
	s.Data = data
	g.snapping, g.snapIndex, g.snapBytes = true, s.Index, 0
	g.disk.add(job{snapshot: &s})
}

// abandon answers everything that still waits when Run ends.
func (g *Group) abandon() {
	for index, p := range g.waiting {
		g.forget(index, p)
		p.finish(nil, &UnknownError{Err: &ShutdownError{}})
	}
}
