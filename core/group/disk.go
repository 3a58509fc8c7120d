package group

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/store"
)

// job is work for the disk: a Persist of the core, or a snapshot of the machine.
type job struct {
	persist  *raft.Persist
	snapshot *raft.Snapshot
}

// done tells the group that all Persist actions up to seq are durable, or a
// snapshot is.
type done struct {
	seq      uint64
	snapshot *raft.Snapshot
	skipped  bool // a snapshot did not fit on the disk
	err      error
}

// fullRetry is the time between two writes to a full disk. Bounds on
// acknowledgements are seconds.
const fullRetry = 250 * time.Millisecond

// disk owns the store. Its queue holds no more than the core lets in flight.
type disk struct {
	store  *store.Store
	wake   chan struct{}
	done   chan done
	syncs  atomic.Uint64
	since  atomic.Int64 // Unix nanoseconds of the start of the present job, 0: none
	clock  func() time.Time
	logger *logrus.Entry

	mu   sync.Mutex
	jobs []job
}

func newDisk(s *store.Store, clock func() time.Time, logger *logrus.Entry) *disk {
	return &disk{store: s, clock: clock, logger: logger, wake: make(chan struct{}, 1), done: make(chan done)}
}

func (d *disk) add(j job) {
	d.mu.Lock()
	d.jobs = append(d.jobs, j)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *disk) take() []job {
	d.mu.Lock()
	defer d.mu.Unlock()
	jobs := d.jobs
	d.jobs = nil
	return jobs
}

// run works until stop is closed or the disk fails.
func (d *disk) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-d.wake:
		}
		jobs := d.take()
		for len(jobs) > 0 {
			var result done
			d.since.Store(d.clock().UnixNano())
			result, jobs = d.finish(jobs, stop)
			d.since.Store(0)
			d.syncs.Store(d.store.Syncs())
			select {
			case d.done <- result:
			case <-stop:
				return
			}
			if result.err != nil {
				return
			}
		}
	}
}

// stalled reports whether a job has taken longer than limit.
func (d *disk) stalled(now time.Time, limit time.Duration) bool {
	since := d.since.Load()
	return since != 0 && now.UnixNano()-since > int64(limit)
}

// finish does the first jobs, and does them again while the disk is full. A
// snapshot can wait: what follows it cannot.
func (d *disk) finish(jobs []job, stop <-chan struct{}) (done, []job) {
	for waited := false; ; waited = true {
		result, rest := d.work(jobs)
		var full *store.FullError
		if !errors.As(result.err, &full) {
			if waited {
				d.logger.Info("disk has room")
			}
			return result, rest
		}
		if !waited {
			d.logger.WithField("error", full.Error()).Warn("disk full")
		}
		if jobs[0].snapshot != nil {
			return done{skipped: true}, rest
		}
		select {
		case <-stop:
			return done{}, rest
		case <-time.After(fullRetry):
		}
	}
}

// work does the first job, together with as many of the following ones as one
// sync can cover.
func (d *disk) work(jobs []job) (done, []job) {
	if s := jobs[0].snapshot; s != nil {
		return done{snapshot: s, err: d.store.Snapshot(*s)}, jobs[1:]
	}
	if p := jobs[0].persist; p.Snapshot != nil || p.Recovering != nil {
		return done{seq: p.Seq, err: d.save(p)}, jobs[1:]
	}
	var entries []raft.Entry
	var result done
	var hard raft.HardState
	n := 0
	for _, j := range jobs {
		if j.persist == nil || j.persist.Snapshot != nil || j.persist.Recovering != nil {
			break
		}
		entries = append(entries, j.persist.Entries...)
		hard, result.seq = *j.persist.Hard, j.persist.Seq
		n++
	}
	result.err = d.store.Save(hard, entries)
	return result, jobs[n:]
}

// save does a Persist that holds more than entries and hard state.
func (d *disk) save(p *raft.Persist) error {
	if p.Recovering != nil && *p.Recovering {
		if err := d.store.Mark(true); err != nil {
			return err
		}
	}
	if p.Snapshot != nil {
		if err := d.store.Install(*p.Snapshot, *p.Hard); err != nil {
			return err
		}
	}
	if err := d.store.Save(*p.Hard, p.Entries); err != nil {
		return err
	}
	if p.Recovering != nil && !*p.Recovering {
		return d.store.Mark(false)
	}
	return nil
}
