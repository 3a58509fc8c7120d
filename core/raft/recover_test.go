package raft_test

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/raft"
)

// measureRecovery grows a group, crashes all replicas at once, replaces two disks,
// restarts all replicas within 100 ms and returns the time until a command is
// acknowledged. A message takes at least 1 ms and less than 1 ms more than delay.
func measureRecovery(seed int64, delay time.Duration) (time.Duration, *formation) {
	f := newFormation(seed, false)
	f.acknowledge(formLimit)
	f.run(5 * time.Second)
	rng := rand.New(rand.NewSource(seed))
	order := rng.Perm(formReplicas)
	for _, id := range f.ids {
		f.nodes[id].crash()
	}
	for _, i := range order[:formTolerance] {
		f.pick(i).replaceDisk(false)
	}
	for _, id := range f.ids {
		f.schedule(time.Duration(rng.Int63n(int64(100*time.Millisecond))), f.nodes[id].restart)
	}
	start := f.now
	f.maxDelay = delay
	f.run(100 * time.Millisecond)
	f.acknowledge(formLimit)
	return f.now.Sub(start), f
}

// Guards against candidates that split the votes of the surviving replicas and wait
// for a full election timeout before the next attempt.
func TestRecovery(t *testing.T) {
	is := is.New(t)
	count := 300
	if testing.Short() {
		count = 50 // the race detector makes a schedule ten times slower
	}
	// The longer delay is that between regions 20 ms apart, with queueing.
	for _, delay := range []time.Duration{5 * time.Millisecond, 40 * time.Millisecond} {
		var all []time.Duration
		for seed := range int64(count) {
			d, f := measureRecovery(seed, delay)
			is.NoErr(f.violation)
			if d >= raft.DefaultElectionTimeout {
				t.Errorf("go test ./raft -run TestRecovery: delay %v, seed %d: nothing is acknowledged for %v", delay, seed, d)
			}
			all = append(all, d)
		}
		slices.Sort(all)
		t.Logf("delay %v: median %v, nine in ten %v, longest %v", delay, all[len(all)/2], all[len(all)*9/10], all[len(all)-1])
	}
}
