package trial_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/bench/trial"
)

func shortened(s trial.Scenario) trial.Scenario {
	s.Warmup, s.Length = 4*time.Second, 4*time.Second
	for i := range s.Faults {
		s.Faults[i].Length = min(s.Faults[i].Length, s.Length)
	}
	return s
}

func findScenario(t *testing.T, scenarios []trial.Scenario, user, name string) trial.Scenario {
	for _, s := range scenarios {
		if s.User == user && s.Name == name {
			return shortened(s)
		}
	}
	t.Helper()
	t.Fatalf("no scene %s of user %s", name, user)
	return trial.Scenario{}
}

// Guards against runs with the same seed that give different results.
func TestSeedRepeats(t *testing.T) {
	is := is.New(t)
	s := findScenario(t, trial.DetectScenarios(), "B", "slow10")
	s.Entries, s.Length = 6, time.Second
	first, err := trial.Run(s, 7, false)
	is.NoErr(err)
	second, err := trial.Run(s, 7, false)
	is.NoErr(err)
	is.Equal(first, second)
}

// Guards against detection later than the goal of one second with the fast
// preset, and against a p99 above 1.2 times that of a healthy fleet.
func TestSlowTargetGoals(t *testing.T) {
	is := is.New(t)
	healthy, err := trial.Run(findScenario(t, trial.DetectScenarios(), "B", "none"), 3, false)
	is.NoErr(err)
	slow, err := trial.Run(findScenario(t, trial.DetectScenarios(), "B", "slow10"), 3, false)
	is.NoErr(err)
	is.True(slow.DetectionTime < 1)
	is.True(slow.P99 <= 1.2*healthy.P99)
	is.Equal(slow.FalseEjectionCount, 0.0)
}

// Guards against ejections below the floor when half of the targets are slow.
// The naive variant violates the floor on the same seed.
func TestFloorInTrial(t *testing.T) {
	is := is.New(t)
	s := findScenario(t, trial.FloorScenarios(), "A", "half")
	s.Entries = 12
	naiveResult, err := trial.Run(s, 5, true)
	is.NoErr(err)
	realResult, err := trial.Run(s, 5, false)
	is.NoErr(err)
	is.True(naiveResult.FloorViolationCount > 0)
	is.Equal(realResult.FloorViolationCount, 0.0)
	is.True(realResult.TrueEjectionCount > 0)
}

// Guards against a bound on the answered share that does not limit it under
// overload, or limits it below capacity.
func TestMaxAnsweredShare(t *testing.T) {
	is := is.New(t)
	s := findScenario(t, trial.ShedScenarios(), "A", "load2")
	is.True(s.MaxAnsweredShare() > 0.5)
	is.True(s.MaxAnsweredShare() < 1)
	s.OfferedLoad = 0.5
	is.Equal(s.MaxAnsweredShare(), 1.0)
}
