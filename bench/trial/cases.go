package trial

import (
	"fmt"
	"time"

	"github.com/galenalock/galenalock/core/health"
)

// DetectScenarios returns the scenarios with one unhealthy target, and one
// without a fault as the baseline.
func DetectScenarios() []Scenario {
	var scenarios []Scenario
	for _, newScenario := range []func() Scenario{UserA, UserB} {
		for _, c := range []struct {
			name  string
			fault Fault
		}{
			{"none", Fault{}},
			{"slow3", Fault{SlowdownFactor: 3}},
			{"slow10", Fault{SlowdownFactor: 10}},
			{"stall", Fault{Stall: true}},
			{"errors5", Fault{ErrorShare: 0.05}},
			{"errors50", Fault{ErrorShare: 0.5}},
		} {
			s := newScenario()
			s.Name = c.name
			if c.name != "none" {
				c.fault.Target, c.fault.Start, c.fault.Length = 4, 0, s.Length
				s.Faults = []Fault{c.fault}
			}
			scenarios = append(scenarios, s)
		}
	}
	return scenarios
}

// FlapScenarios returns the scenarios with a target that is slow in the first
// half of each period, and one without a fault that runs for noiseDuration.
// User B weighs false ejections less and gets a sixth of that time. A
// noiseDuration of 0 leaves the scenario without a fault out.
func FlapScenarios(noiseDuration time.Duration) []Scenario {
	var scenarios []Scenario
	for _, newScenario := range []func() Scenario{UserA, UserB} {
		for _, seconds := range []int{1, 2, 5, 10, 20, 60} {
			s := newScenario()
			s.Name = fmt.Sprintf("period%d", seconds)
			s.Faults = []Fault{{Target: 4, SlowdownFactor: 10, Length: s.Length, Period: time.Duration(seconds) * time.Second}}
			scenarios = append(scenarios, s)
		}
		if noiseDuration > 0 {
			s := newScenario()
			s.Name = "noise"
			s.Length, s.PauseInterval = noiseDuration, 30*time.Second
			if s.Policy == health.Fast {
				s.Length = noiseDuration / 6
			}
			scenarios = append(scenarios, s)
		}
	}
	return scenarios
}

// FloorScenarios returns the scenarios in which more targets look unhealthy
// than the floor allows to eject.
func FloorScenarios() []Scenario {
	var scenarios []Scenario
	for _, newScenario := range []func() Scenario{UserA, UserB} {
		s := newScenario()
		s.Name, s.OfferedLoad = "half", 0.3
		for i := range s.Targets / 2 {
			s.Faults = append(s.Faults, Fault{Target: 2 * i, SlowdownFactor: 10, Length: s.Length})
		}
		scenarios = append(scenarios, s)
		s = newScenario()
		s.Name, s.ColdTargets = "cold", s.Targets/3
		scenarios = append(scenarios, s)
		s = newScenario()
		s.Name = "allerrors"
		for i := range s.Targets {
			s.Faults = append(s.Faults, Fault{Target: i, ErrorShare: 0.5, Length: s.Length / 2})
		}
		scenarios = append(scenarios, s)
	}
	return scenarios
}

// ShedScenarios returns the scenarios of overload with several kinds of
// requests.
func ShedScenarios() []Scenario {
	var scenarios []Scenario
	for _, newScenario := range []func() Scenario{UserA, UserB} {
		for _, load := range []float64{1, 1.5, 2} {
			s := newScenario()
			s.Name, s.OfferedLoad = fmt.Sprintf("load%g", load), load
			s.Kinds = []RequestKind{
				{Name: "lookup", Share: 0.8, MeanServiceTime: 20 * time.Millisecond, Weight: 1, Timeout: time.Second, Repeat: true},
				{Name: "order", Share: 0.1, MeanServiceTime: 40 * time.Millisecond, Weight: 10, Timeout: 2 * time.Second},
				{Name: "upload", Share: 0.1, MeanServiceTime: 80 * time.Millisecond, Weight: 2, Timeout: 2 * time.Second},
			}
			scenarios = append(scenarios, s)
		}
	}
	return scenarios
}

// LinkScenarios returns the scenarios with a link that is slow in one
// direction. Their load is high enough for part of the requests to leave the
// region of their entry, so that they use the link.
func LinkScenarios() []Scenario {
	var scenarios []Scenario
	for _, newScenario := range []func() Scenario{UserA, UserB} {
		s := newScenario()
		s.Name, s.OfferedLoad = "oneway", 0.85
		s.Faults = []Fault{{Link: true, FromRegion: 1, ToRegion: 2, ExtraDelay: 200 * time.Millisecond, Length: s.Length}}
		scenarios = append(scenarios, s)
	}
	return scenarios
}
