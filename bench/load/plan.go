package load

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	Lookup Kind = "lookup"
	Order  Kind = "order"
	Upload Kind = "upload"
)

// Plan describes one run of load.
type Plan struct {
	Address     netip.AddrPort // address that requests are sent to
	Host        string         // Host header, empty: Address
	Prefix      string         // path before /lookups, /orders and /uploads
	Rate        float64        // requests per second
	Duration    time.Duration  // length of the schedule
	OrderShare  float64        // share of orders among the requests
	UploadShare float64        // share of uploads among the requests
	UploadBytes int            // bytes in an upload
	Timeout     time.Duration  // timeout of one request, 0: 10 s
	MaxInflight int            // limit on requests in flight, 0: 10,000
	Seed        uint64         // seed of the schedule
	Label       string         // part of the request keys that distinguishes the runs of an experiment

	// OnEnd, if not nil, is called at the end of each request that was sent, in
	// its goroutine: with the intended start, the time since then and whether the
	// request counts as answered.
	OnEnd func(intended time.Time, took time.Duration, answered bool)
}

// PlanError reports an invalid field of a Plan.
type PlanError struct {
	Key    string
	Reason string
}

// Error returns the key and the reason.
func (e *PlanError) Error() string { return fmt.Sprintf("load: %s: %s", e.Key, e.Reason) }

func (p Plan) validate() error {
	switch {
	case !p.Address.IsValid():
		return &PlanError{Key: "address", Reason: "is missing"}
	case !(p.Rate > 0):
		return &PlanError{Key: "rate", Reason: "is not positive"}
	case p.Duration <= 0:
		return &PlanError{Key: "duration", Reason: "is not positive"}
	case p.OrderShare < 0 || p.UploadShare < 0 || p.OrderShare+p.UploadShare > 1:
		return &PlanError{Key: "orders", Reason: "shares are not between 0 and 1"}
	}
	return nil
}

// arrival is one request in the schedule.
type arrival struct {
	offset time.Duration // from the start of the run
	kind   Kind
}

// schedule returns the arrivals of a Poisson process with the rate of the plan.
func (p Plan) schedule() []arrival {
	random := rand.New(rand.NewPCG(p.Seed, 0))
	var arrivals []arrival
	at := 0.0
	for {
		at += random.ExpFloat64() / p.Rate
		offset := time.Duration(at * float64(time.Second))
		if offset >= p.Duration {
			return arrivals
		}
		kind := Lookup
		switch x := random.Float64(); {
		case x < p.OrderShare:
			kind = Order
		case x < p.OrderShare+p.UploadShare:
			kind = Upload
		}
		arrivals = append(arrivals, arrival{offset: offset, kind: kind})
	}
}
