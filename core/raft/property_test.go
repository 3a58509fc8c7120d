package raft_test

import (
	"flag"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalock/galenalock/core/raft"
)

// Guards against sequences of faults after which two replicas commit different
// entries, an acknowledged command is lost or applied twice, or a read returns
// stale state.
func TestSchedules(t *testing.T) {
	ops := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		return op{
			Kind: rapid.SampledFrom(opKinds).Draw(t, "kind"),
			A:    rapid.IntRange(0, 6).Draw(t, "a"),
			B:    rapid.IntRange(0, 6).Draw(t, "b"),
			N:    rapid.IntRange(0, 999).Draw(t, "n"),
		}
	}), 5, 60)
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(1, 7).Draw(t, "replicas")
		seed := rapid.Int64().Draw(t, "seed")
		c := newCluster(seed, replicas, raft.Rules{})
		c.keepMajority = rapid.Bool().Draw(t, "careful")
		if _, err := c.runOps(ops.Draw(t, "ops")); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against the failures of TestSchedules in randomly generated schedules, and
// logs the range of seeds, so that the run can be repeated.
func TestSeeds(t *testing.T) {
	count := 150
	if testing.Short() {
		count = 50
	}
	rules := raft.Rules{DiskRecovery: *disableRecovery}
	if *seedCount > 0 {
		count = *seedCount
	}
	start, live, steps, acked := time.Now(), 0, 0, 0
	for seed := range int64(count) {
		ok, c, err := runSeed(seed+*firstSeed, rules)
		if err != nil {
			t.Fatalf("seed %d: %v", seed+*firstSeed, err)
		}
		if ok {
			live++
		}
		steps += c.steps
		acked += len(c.acked)
	}
	minutes := time.Since(start).Minutes()
	t.Logf("seeds %d to %d: %.0f schedules/min, %d live at the end, %d events, %d acknowledged",
		*firstSeed, *firstSeed+int64(count)-1, float64(count)/minutes, live, steps, acked)
}

var (
	opCount         = flag.Int("ops", 60, "operations in a schedule of TestSeeds")
	firstSeed       = flag.Int64("seed", 1, "first seed of TestSeeds")
	disableRecovery = flag.Bool("naive", false, "turn the lost-disk rule off in TestSeeds")
	seedCount       = flag.Int("seeds", 0, "number of seeds of TestSeeds, 0 for a few")
)

func runSeed(seed int64, disabledRules raft.Rules) (bool, *simCluster, error) {
	rng := rand.New(rand.NewSource(seed))
	c := newCluster(seed, 3+rng.Intn(5), disabledRules)
	c.keepMajority = seed%2 == 0
	live, err := c.runOps(randomOps(rng, *opCount))
	return live, c, err
}
