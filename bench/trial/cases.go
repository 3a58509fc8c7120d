package trial

import (
	"fmt"
	"time"

	"github.com/galenalock/galenalock/core/health"
)

// Detect returns the cases of one unhealthy target, and one without a fault to
// compare with.
func Detect() []Scene {
	var out []Scene
	for _, user := range []func() Scene{UserA, UserB} {
		for _, c := range []struct {
			name  string
			fault Fault
		}{
			{"none", Fault{}},
			{"slow3", Fault{Factor: 3}},
			{"slow10", Fault{Factor: 10}},
			{"stall", Fault{Stall: true}},
			{"errors5", Fault{Errors: 0.05}},
			{"errors50", Fault{Errors: 0.5}},
		} {
			s := user()
			s.Name = c.name
			if c.name != "none" {
				c.fault.Target, c.fault.At, c.fault.Length = 4, 0, s.Length
				s.Faults = []Fault{c.fault}
			}
			out = append(out, s)
		}
	}
	return out
}

// Flap returns the cases of a target that is slow in the first half of each
// period, and the one of healthy noise for the given time; user B, who weighs
// false ejections less, gets a sixth of it.
func Flap(noise time.Duration) []Scene {
	var out []Scene
	for _, user := range []func() Scene{UserA, UserB} {
		for _, seconds := range []int{1, 2, 5, 10, 20, 60} {
			s := user()
			s.Name = fmt.Sprintf("period%d", seconds)
			s.Faults = []Fault{{Target: 4, Factor: 10, Length: s.Length, Period: time.Duration(seconds) * time.Second}}
			out = append(out, s)
		}
		if noise > 0 {
			s := user()
			s.Name = "noise"
			s.Length, s.Pauses = noise, 30*time.Second
			if s.Policy == health.Fast {
				s.Length = noise / 6
			}
			out = append(out, s)
		}
	}
	return out
}

// Floor returns the cases that would take more than the floor allows.
func Floor() []Scene {
	var out []Scene
	for _, user := range []func() Scene{UserA, UserB} {
		s := user()
		s.Name, s.Load = "half", 0.3
		for i := range s.Targets / 2 {
			s.Faults = append(s.Faults, Fault{Target: 2 * i, Factor: 10, Length: s.Length})
		}
		out = append(out, s)
		s = user()
		s.Name, s.Cold = "cold", s.Targets/3
		out = append(out, s)
		s = user()
		s.Name = "allerrors"
		for i := range s.Targets {
			s.Faults = append(s.Faults, Fault{Target: i, Errors: 0.5, Length: s.Length / 2})
		}
		out = append(out, s)
	}
	return out
}

// Shed returns the cases of overload, with a mix of requests.
func Shed() []Scene {
	var out []Scene
	for _, user := range []func() Scene{UserA, UserB} {
		for _, load := range []float64{1, 1.5, 2} {
			s := user()
			s.Name, s.Load = fmt.Sprintf("load%g", load), load
			s.Kinds = []Kind{
				{Name: "lookup", Share: 0.8, Mean: 20 * time.Millisecond, Weight: 1, Timeout: time.Second, Repeat: true},
				{Name: "order", Share: 0.1, Mean: 40 * time.Millisecond, Weight: 10, Timeout: 2 * time.Second},
				{Name: "upload", Share: 0.1, Mean: 80 * time.Millisecond, Weight: 2, Timeout: 2 * time.Second},
			}
			out = append(out, s)
		}
	}
	return out
}

// Link returns the cases of a slow link in one direction. Only a part of the
// targets of the entries' own region is left, so that they use the link.
func Link() []Scene {
	var out []Scene
	for _, user := range []func() Scene{UserA, UserB} {
		s := user()
		s.Name, s.Load = "oneway", 0.85
		s.Faults = []Fault{{Link: true, From: 1, To: 2, Extra: 200 * time.Millisecond, Length: s.Length}}
		out = append(out, s)
	}
	return out
}
