package trial

import (
	"time"

	"github.com/galenalock/galenalock/core/health"
)

// Scenario describes a simulated fleet, its load and its faults.
type Scenario struct {
	Name             string
	User             string
	Policy           health.Policy
	Floor            float64 // share of the capacity
	Entries          int
	Targets          int
	Slots            int
	QueueLimit       int // waiting requests at which a target sheds further ones
	Kinds            []RequestKind
	OfferedLoad      float64       // offered slot-seconds as a share of the capacity
	ServiceTimeSigma float64       // of the logarithm of the service time
	PauseInterval    time.Duration // mean time between pauses of a healthy target, 0: none
	Warmup           time.Duration // time before the measurement
	Length           time.Duration // measured time
	Faults           []Fault
	ColdTargets      int           // targets that restart cold at the end of Warmup
	Blocked          bool          // targets behind a link fault count as healthy
	IntraCentreDelay time.Duration // one way inside a data centre
	IntraRegionDelay time.Duration // one way inside a region
	InterRegionDelay time.Duration // one way between regions
}

// RequestKind is one kind of request in the load.
type RequestKind struct {
	Name            string
	Share           float64 // of the requests
	MeanServiceTime time.Duration
	Weight          float64
	Timeout         time.Duration
	Repeat          bool
}

// Fault is a fault of one target, or of a link between regions if Link is set.
type Fault struct {
	Target         int
	Start          time.Duration // after the end of Warmup
	Length         time.Duration
	SlowdownFactor float64       // multiplies the service time; 0 changes nothing
	Stall          bool          // requests do not end before the fault ends
	ErrorShare     float64       // share of failed requests
	Period         time.Duration // if set, the fault is active only in the first half of each period
	Link           bool          // messages from FromRegion to ToRegion take ExtraDelay longer
	FromRegion     int
	ToRegion       int
	ExtraDelay     time.Duration
}

const (
	regionCount     = 3
	dataCentreCount = 6
)

// UserA returns the scenario of user A, a table lookup on few targets, where
// false ejections weigh most.
func UserA() Scenario {
	return Scenario{
		User: "A", Policy: health.Careful, Floor: 0.8, Entries: 48, Targets: 12, Slots: 6, QueueLimit: 60,
		Kinds:       []RequestKind{{Name: "lookup", Share: 1, MeanServiceTime: 20 * time.Millisecond, Weight: 1, Timeout: time.Second, Repeat: true}},
		OfferedLoad: 0.5, ServiceTimeSigma: 1, Warmup: 20 * time.Second, Length: time.Minute,
		IntraCentreDelay: 250 * time.Microsecond, IntraRegionDelay: 750 * time.Microsecond, InterRegionDelay: 10 * time.Millisecond,
	}
}

// UserB returns the scenario of user B, a catalogue lookup, where detection
// time weighs most.
func UserB() Scenario {
	s := UserA()
	s.User, s.Policy, s.Entries = "B", health.Fast, 44
	s.IntraRegionDelay = 500 * time.Microsecond
	return s
}

// Rate returns the offered requests per second.
func (s *Scenario) Rate() float64 {
	return s.OfferedLoad * float64(s.Targets*s.Slots) / s.meanServiceTime().Seconds()
}

func (s *Scenario) meanServiceTime() time.Duration {
	mean := time.Duration(0)
	for _, k := range s.Kinds {
		mean += time.Duration(k.Share * float64(k.MeanServiceTime))
	}
	return mean
}

// MaxAnsweredShare returns the greatest weighted share of the offered requests
// that the capacity can answer: slots go to the kinds with the highest weight
// per slot-second first.
func (s *Scenario) MaxAnsweredShare() float64 {
	left := float64(s.Targets * s.Slots)
	offered, got := 0.0, 0.0
	rest := append([]RequestKind(nil), s.Kinds...)
	for len(rest) > 0 {
		best := 0
		for i, k := range rest {
			if k.Weight/k.MeanServiceTime.Seconds() > rest[best].Weight/rest[best].MeanServiceTime.Seconds() {
				best = i
			}
		}
		k := rest[best]
		rest = append(rest[:best], rest[best+1:]...)
		rate := s.Rate() * k.Share
		offered += rate * k.Weight
		run := min(rate, left/k.MeanServiceTime.Seconds())
		left -= run * k.MeanServiceTime.Seconds()
		got += run * k.Weight
	}
	return got / offered
}
