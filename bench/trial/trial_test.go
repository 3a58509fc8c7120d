package trial_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/bench/trial"
)

func short(s trial.Scene) trial.Scene {
	s.Warm, s.Length = 4*time.Second, 4*time.Second
	for i := range s.Faults {
		s.Faults[i].Length = min(s.Faults[i].Length, s.Length)
	}
	return s
}

func scene(t *testing.T, scenes []trial.Scene, user, name string) trial.Scene {
	for _, s := range scenes {
		if s.User == user && s.Name == name {
			return short(s)
		}
	}
	t.Helper()
	t.Fatalf("no scene %s of user %s", name, user)
	return trial.Scene{}
}

// Guards against figures that a seed does not repeat.
func TestSeedRepeats(t *testing.T) {
	is := is.New(t)
	s := scene(t, trial.Detect(), "B", "slow10")
	s.Entries, s.Length = 6, time.Second
	first, err := trial.Run(s, 7, false)
	is.NoErr(err)
	second, err := trial.Run(s, 7, false)
	is.NoErr(err)
	is.Equal(first, second)
}

// Guards against a late detection (the goal is one second with the fast
// preset) and against a longer tail than 1.2 times that of a healthy fleet.
func TestSlowTargetGoals(t *testing.T) {
	is := is.New(t)
	healthy, err := trial.Run(scene(t, trial.Detect(), "B", "none"), 3, false)
	is.NoErr(err)
	slow, err := trial.Run(scene(t, trial.Detect(), "B", "slow10"), 3, false)
	is.NoErr(err)
	is.True(slow.Detection < 1)
	is.True(slow.P99 <= 1.2*healthy.P99)
	is.Equal(slow.False, 0.0)
}

// Guards against ejections below the floor when half of the targets are slow.
// The naive variant violates the floor on the same seed.
func TestFloorInTrial(t *testing.T) {
	is := is.New(t)
	s := scene(t, trial.Floor(), "A", "half")
	s.Entries = 12
	naive, err := trial.Run(s, 5, true)
	is.NoErr(err)
	real, err := trial.Run(s, 5, false)
	is.NoErr(err)
	is.True(naive.Violations > 0)
	is.Equal(real.Violations, 0.0)
	is.True(real.Right > 0)
}

// Guards against a bound on the answered weight that is not one.
func TestAllowed(t *testing.T) {
	is := is.New(t)
	s := scene(t, trial.Shed(), "A", "load2")
	is.True(s.Allowed() > 0.5)
	is.True(s.Allowed() < 1)
	s.Load = 0.5
	is.Equal(s.Allowed(), 1.0)
}
