package trial

import (
	"time"

	"github.com/galenalock/galenalock/core/health"
)

// Scene is one experiment.
type Scene struct {
	Name    string
	User    string
	Policy  health.Policy
	Floor   float64 // share of the capacity
	Entries int
	Targets int
	Slots   int
	Queue   int // waiting requests from which a target sheds
	Kinds   []Kind
	Load    float64       // offered slot-time over capacity
	Sigma   float64       // of the log-normal service time
	Pauses  time.Duration // mean time between pauses of a healthy target, 0: none
	Warm    time.Duration // not measured
	Length  time.Duration // measured
	Faults  []Fault
	Cold    int           // targets that restart cold at the end of Warm
	Blocked bool          // targets behind a link fault count as healthy
	Near    time.Duration // one way inside a data centre
	Region  time.Duration // one way inside a region
	Far     time.Duration // one way between regions
}

// Kind is one kind of request.
type Kind struct {
	Name    string
	Share   float64 // of the requests
	Mean    time.Duration
	Weight  float64
	Timeout time.Duration
	Repeat  bool
}

// Fault is what happens to one target, or to a link when Link is set.
type Fault struct {
	Target int
	At     time.Duration // after Warm
	Length time.Duration
	Factor float64       // of the service time, 0: 1
	Stall  bool          // requests do not end before the fault does
	Errors float64       // share of failed requests
	Period time.Duration // flapping: bad in the first half of each period
	Link   bool          // requests from region From to region To take Extra longer
	From   int
	To     int
	Extra  time.Duration
}

const (
	regions     = 3
	dataCentres = 6
)

// UserA is the table lookup of user A: few endpoints, false ejections weigh
// most.
func UserA() Scene {
	return Scene{
		User: "A", Policy: health.Careful, Floor: 0.8, Entries: 48, Targets: 12, Slots: 6, Queue: 60,
		Kinds: []Kind{{Name: "lookup", Share: 1, Mean: 20 * time.Millisecond, Weight: 1, Timeout: time.Second, Repeat: true}},
		Load:  0.5, Sigma: 1, Warm: 20 * time.Second, Length: time.Minute,
		Near: 250 * time.Microsecond, Region: 750 * time.Microsecond, Far: 10 * time.Millisecond,
	}
}

// UserB is the catalogue lookup of user B: detection time weighs most.
func UserB() Scene {
	s := UserA()
	s.User, s.Policy, s.Entries = "B", health.Fast, 44
	s.Region = 500 * time.Microsecond
	return s
}

// Rate is the number of requests per second.
func (s *Scene) Rate() float64 {
	return s.Load * float64(s.Targets*s.Slots) / s.mean().Seconds()
}

func (s *Scene) mean() time.Duration {
	mean := time.Duration(0)
	for _, k := range s.Kinds {
		mean += time.Duration(k.Share * float64(k.Mean))
	}
	return mean
}

// Allowed is the greatest weighted share that the capacity allows: slot-time
// goes to the kinds with the highest weight per slot-second first.
func (s *Scene) Allowed() float64 {
	left := float64(s.Targets * s.Slots)
	offered, got := 0.0, 0.0
	rest := append([]Kind(nil), s.Kinds...)
	for len(rest) > 0 {
		best := 0
		for i, k := range rest {
			if k.Weight/k.Mean.Seconds() > rest[best].Weight/rest[best].Mean.Seconds() {
				best = i
			}
		}
		k := rest[best]
		rest = append(rest[:best], rest[best+1:]...)
		rate := s.Rate() * k.Share
		offered += rate * k.Weight
		run := min(rate, left/k.Mean.Seconds())
		left -= run * k.Mean.Seconds()
		got += run * k.Weight
	}
	return got / offered
}
