package group

import (
	"context"
	"fmt"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// readBarrier holds reads that complete once index is applied.
type readBarrier struct {
	index   uint64
	waiters []chan error
}

func (g *Group) loop(ctx context.Context) error {
	if g.initialSnapshot.Index > raft.FoundingIndex {
		if err := g.machine.Restore(g.initialSnapshot.Data); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
	}
	g.initialSnapshot = raft.Snapshot{}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for g.fatalErr == nil {
		proposals := g.proposals
		if g.pendingBytes > maxPendingBytes {
			proposals = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case m := <-g.inbox:
			g.step(raft.Receive{Message: m})
		case d := <-g.disk.results:
			g.handleDiskResult(d)
		case call := <-g.calls:
			call()
		case p := <-proposals:
			g.propose(p)
		case <-timer.C:
			g.step(raft.Tick{})
			g.transferIfStalled()
		}
		g.snapshotIfDue()
		g.publishStatus()
		timer.Reset(max(0, g.core.Next().Sub(g.clock())))
	}
	return g.fatalErr
}

// diskStallLimit is how long a disk job of the leader may take before the leader
// transfers leadership. A sync takes a few milliseconds, 0.15 s on a slow disk.
// An election after the loss of a leader takes longer than the limit.
const diskStallLimit = 500 * time.Millisecond

// transferIfStalled transfers leadership while the disk of this leader is
// stalled, because a leader answers only what it has stored itself.
func (g *Group) transferIfStalled() {
	if g.core.Status().Role != raft.RoleLeader || !g.disk.stalled(g.clock(), diskStallLimit) {
		return
	}
	if g.core.Status().Transferee == 0 {
		g.logger.WithField("limit", diskStallLimit.String()).Warn("disk stalled, transferring leadership")
	}
	g.step(raft.Transfer{})
}

// propose passes the proposal and those queued behind it to the core in one
// step, up to the batch limits.
func (g *Group) propose(p *proposal) {
	g.stepProposals = nil
	var commands [][]byte
	size := 0
	for {
		if p.taken.CompareAndSwap(false, true) {
			g.stepProposals = append(g.stepProposals, p)
			commands = append(commands, p.command)
			size += len(p.command)
		}
		if len(commands) >= maxBatchProposals || size >= maxBatchBytes {
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

func (g *Group) handleDiskResult(d diskResult) {
	switch {
	case d.err != nil:
		g.fatalErr = d.err
	case d.skipped:
		g.snapshotting = false
	case d.snapshot != nil:
		g.snapshotting = false
		g.step(raft.Compact{Snapshot: *d.snapshot})
	default:
		g.step(raft.Persisted{Seq: d.seq})
	}
}

func (g *Group) step(event raft.Event) {
	for _, action := range g.core.Step(g.clock(), event) {
		g.perform(action)
	}
	status := g.core.Status()
	if len(g.pending) > 0 && (status.Role != raft.RoleLeader || status.Term != g.pendingTerm) {
		g.failPending()
	}
	g.answerTransfers(status)
	if status.Role != g.loggedRole {
		g.loggedRole = status.Role
		g.logger.WithField("role", string(status.Role)).WithField("term", status.Term).
			WithField("leader", status.Leader).Info("role changed")
	}
}

func (g *Group) perform(action raft.Action) {
	switch a := action.(type) {
	case raft.Persist:
		g.disk.enqueue(diskJob{persist: &a})
	case raft.Send:
		message, err := raft.Encode(a.Message)
		if err != nil {
			g.fatalErr = err
			return
		}
		g.send(a.Message.To, message)
	case raft.Apply:
		for _, entry := range a.Entries {
			g.apply(entry)
		}
		g.answerReads()
	case raft.Restore:
		g.restore(a.Snapshot)
	case raft.Accepted:
		g.handleAccepted(a)
	case raft.Refused:
		g.handleRefused(a)
	case raft.ReadReady:
		g.readyReads = append(g.readyReads, readBarrier{a.Index, g.reads[a.Token]})
		delete(g.reads, a.Token)
		g.answerReads()
	case raft.ReadRefused:
		for _, result := range g.reads[a.Token] {
			result <- &NotLeaderError{Leader: a.Leader}
		}
		delete(g.reads, a.Token)
	}
}

func (g *Group) handleAccepted(a raft.Accepted) {
	g.pendingTerm = a.Term
	for i, p := range g.stepProposals {
		p.term = a.Term
		g.pending[a.Index+uint64(i)] = p
		g.pendingBytes += len(p.command)
	}
	g.stepProposals = nil
}

func (g *Group) handleRefused(a raft.Refused) {
	var err error = &NotLeaderError{Leader: a.Leader}
	if a.Reason != "" {
		err = &ChangeError{Reason: a.Reason}
	}
	for _, p := range g.stepProposals {
		p.finish(nil, err)
	}
	g.stepProposals = nil
}

func (g *Group) apply(entry raft.Entry) {
	var result []byte
	if entry.Kind == raft.EntryCommand {
		result = g.machine.Apply(entry.Index, entry.Data)
	}
	g.applied = entry.Index
	g.bytesSinceSnapshot += len(entry.Data)
	p := g.pending[entry.Index]
	if p == nil {
		return
	}
	g.removePending(entry.Index, p)
	if p.term != entry.Term {
		p.finish(nil, &NotLeaderError{Leader: g.core.Status().Leader})
		return
	}
	p.finish(result, nil)
}

func (g *Group) removePending(index uint64, p *proposal) {
	delete(g.pending, index)
	g.pendingBytes -= len(p.command)
}

// failPending completes the pending proposals with an unknown outcome after
// leadership was lost.
func (g *Group) failPending() {
	for index, p := range g.pending {
		g.removePending(index, p)
		p.finish(nil, &UnknownError{})
	}
}

func (g *Group) restore(s raft.Snapshot) {
	if s.Index > raft.FoundingIndex {
		if err := g.machine.Restore(s.Data); err != nil {
			g.fatalErr = fmt.Errorf("restore received snapshot: %w", err)
			return
		}
	}
	g.applied, g.snapshotIndex, g.bytesSinceSnapshot = s.Index, s.Index, 0
	g.answerReads()
}

func (g *Group) answerReads() {
	kept := g.readyReads[:0]
	for _, b := range g.readyReads {
		if b.index > g.applied {
			kept = append(kept, b)
			continue
		}
		for _, result := range b.waiters {
			result <- nil
		}
	}
	g.readyReads = kept
}

func (g *Group) answerTransfers(status raft.Status) {
	if len(g.transfers) == 0 || status.Role == raft.RoleLeader && status.Transferee != 0 {
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

// snapshotIfDue takes a snapshot of the state machine and queues it for storage
// when enough entries or bytes were applied since the last one.
func (g *Group) snapshotIfDue() {
	if g.snapshotting || g.fatalErr != nil || g.applied-g.snapshotIndex < g.snapshotEntries && g.bytesSinceSnapshot < g.snapshotBytes {
		return
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		g.fatalErr = fmt.Errorf("snapshot state machine: %w", err)
		return
	}
	s := g.core.SnapshotMetadata()
	s.Data = data
	g.snapshotting, g.snapshotIndex, g.bytesSinceSnapshot = true, s.Index, 0
	g.disk.enqueue(diskJob{snapshot: &s})
}

// failPendingOnShutdown completes the proposals that are still pending when Run
// ends with an unknown outcome.
func (g *Group) failPendingOnShutdown() {
	for index, p := range g.pending {
		g.removePending(index, p)
		p.finish(nil, &UnknownError{Err: &ShutdownError{}})
	}
}
