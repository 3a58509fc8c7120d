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

// diskJob is either a Persist action of the core or a snapshot of the state
// machine.
type diskJob struct {
	persist  *raft.Persist
	snapshot *raft.Snapshot
}

// diskResult reports that all Persist actions up to seq, or a snapshot, are
// durable.
type diskResult struct {
	seq      uint64
	snapshot *raft.Snapshot
	skipped  bool // the snapshot was dropped because the disk is full
	err      error
}

// fullDiskRetryInterval is the interval between writes to a full disk. It is
// short against the time limits of acknowledgements, which are seconds.
const fullDiskRetryInterval = 250 * time.Millisecond

// disk runs the jobs of the store in a goroutine of its own. Its queue needs no
// limit, because the core limits the Persist actions in flight.
type disk struct {
	store    *store.Store
	wake     chan struct{}
	results  chan diskResult
	syncs    atomic.Uint64
	created  time.Time
	jobStart atomic.Int64 // start of the current job in nanoseconds since created, 0 if none runs
	clock    func() time.Time
	logger   *logrus.Entry

	mu   sync.Mutex
	jobs []diskJob
}

func newDisk(s *store.Store, clock func() time.Time, logger *logrus.Entry) *disk {
	return &disk{store: s, clock: clock, created: clock(), logger: logger, wake: make(chan struct{}, 1), results: make(chan diskResult)}
}

func (d *disk) enqueue(j diskJob) {
	d.mu.Lock()
	d.jobs = append(d.jobs, j)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *disk) takeJobs() []diskJob {
	d.mu.Lock()
	defer d.mu.Unlock()
	jobs := d.jobs
	d.jobs = nil
	return jobs
}

// run executes jobs until stop is closed or the disk fails.
func (d *disk) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-d.wake:
		}
		jobs := d.takeJobs()
		for len(jobs) > 0 {
			var result diskResult
			d.jobStart.Store(d.sinceCreated(d.clock()))
			result, jobs = d.executeWithRetry(jobs, stop)
			d.jobStart.Store(0)
			d.syncs.Store(d.store.Syncs())
			select {
			case d.results <- result:
			case <-stop:
				return
			}
			if result.err != nil {
				return
			}
		}
	}
}

// stalled reports whether the current job has taken longer than limit.
func (d *disk) stalled(now time.Time, limit time.Duration) bool {
	since := d.jobStart.Load()
	return since != 0 && d.sinceCreated(now)-since > int64(limit)
}

// sinceCreated returns the nanoseconds from the creation of the disk to a time, at
// least 1. It does not follow steps of the time of day.
func (d *disk) sinceCreated(t time.Time) int64 { return max(1, int64(t.Sub(d.created))) }

// executeWithRetry executes the first jobs and repeats them while the disk is
// full. A snapshot that does not fit is skipped, because later jobs must not
// wait for it.
func (d *disk) executeWithRetry(jobs []diskJob, stop <-chan struct{}) (diskResult, []diskJob) {
	for waited := false; ; waited = true {
		result, rest := d.execute(jobs)
		var full *store.FullError
		if !errors.As(result.err, &full) {
			if waited {
				d.logger.Info("disk no longer full")
			}
			return result, rest
		}
		if !waited {
			d.logger.WithField("error", full.Error()).Warn("disk full")
		}
		if jobs[0].snapshot != nil {
			return diskResult{skipped: true}, rest
		}
		select {
		case <-stop:
			return diskResult{}, rest
		case <-time.After(fullDiskRetryInterval):
		}
	}
}

// execute executes the first job, and with it the following jobs that can share
// its sync.
func (d *disk) execute(jobs []diskJob) (diskResult, []diskJob) {
	if s := jobs[0].snapshot; s != nil {
		return diskResult{snapshot: s, err: d.store.SaveSnapshot(*s)}, jobs[1:]
	}
	if p := jobs[0].persist; p.Snapshot != nil || p.Recovering != nil {
		return diskResult{seq: p.Seq, err: d.executePersist(p)}, jobs[1:]
	}
	var entries []raft.Entry
	var result diskResult
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

// executePersist executes a Persist action that also holds a snapshot or a change
// of the recovering state.
func (d *disk) executePersist(p *raft.Persist) error {
	if p.Recovering != nil && *p.Recovering {
		if err := d.store.SetRecovering(true); err != nil {
			return err
		}
	}
	if p.Snapshot != nil {
		if err := d.store.InstallSnapshot(*p.Snapshot, *p.Hard); err != nil {
			return err
		}
	}
	if err := d.store.Save(*p.Hard, p.Entries); err != nil {
		return err
	}
	if p.Recovering != nil && !*p.Recovering {
		return d.store.SetRecovering(false)
	}
	return nil
}
