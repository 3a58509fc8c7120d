package load

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Kind is the kind of a request.
type Kind string

// The kinds.
const (
	Lookup Kind = "lookup"
	Order  Kind = "order"
	Upload Kind = "upload"
)

// Plan is one run of load.
type Plan struct {
	Address  netip.AddrPort // where requests go
	Host     string         // Host header, empty: the address
	Prefix   string         // path before /lookups, /orders and /uploads
	Rate     float64        // requests per second
	Duration time.Duration
	Orders   float64       // share of orders
	Uploads  float64       // share of uploads
	Size     int           // bytes of an upload
	Timeout  time.Duration // bound of one request, 0: 10 s
	Bound    int           // most requests outstanding, 0: 10,000
	Seed     uint64
	Label    string // distinguishes the keys of runs in one experiment

	// Ended is told of each request that was sent, from its goroutine: when it
	// was to start, how long it took since then, and whether it was answered.
	// It may be nil.
	Ended func(intended time.Time, took time.Duration, answered bool)
}

// PlanError is a plan that cannot run.
type PlanError struct {
	Key    string
	Reason string
}

// Error names the key and the reason.
func (e *PlanError) Error() string { return fmt.Sprintf("load: %s: %s", e.Key, e.Reason) }

func (p Plan) check() error {
	switch {
	case !p.Address.IsValid():
		return &PlanError{Key: "address", Reason: "is missing"}
	case !(p.Rate > 0):
		return &PlanError{Key: "rate", Reason: "is not positive"}
	case p.Duration <= 0:
		return &PlanError{Key: "duration", Reason: "is not positive"}
	case p.Orders < 0 || p.Uploads < 0 || p.Orders+p.Uploads > 1:
		return &PlanError{Key: "orders", Reason: "shares are not between 0 and 1"}
	}
	return nil
}

// shot is one request of the schedule.
type shot struct {
	after time.Duration // from the begin of the run
	kind  Kind
}

// schedule draws a Poisson arrival process.
func (p Plan) schedule() []shot {
	random := rand.New(rand.NewPCG(p.Seed, 0))
	var shots []shot
	at := 0.0
	for {
		at += random.ExpFloat64() / p.Rate
		after := time.Duration(at * float64(time.Second))
		if after >= p.Duration {
			return shots
		}
		kind := Lookup
		switch x := random.Float64(); {
		case x < p.Orders:
			kind = Order
		case x < p.Orders+p.Uploads:
			kind = Upload
		}
		shots = append(shots, shot{after: after, kind: kind})
	}
}
