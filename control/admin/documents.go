package admin

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/state"
)

// Submission is the body of POST /v1/submit.
type Submission struct {
	Base   *uint64 `json:"base"`   // revision that the text was derived from, 0 for the first text
	Change string  `json:"change"` // identifier chosen by the client; a retry sends the same one
	Text   string  `json:"text"`
}

// Accepted is the response to a submission that became a revision.
type Accepted struct {
	Outcome  string    `json:"outcome"`
	Revision uint64    `json:"revision"`
	Change   string    `json:"change"`
	Newest   uint64    `json:"newest"`
	Time     time.Time `json:"time"`
}

// Revision describes a revision of the service text. Text is set in the response
// to GET /v1/text only.
type Revision struct {
	Number uint64    `json:"number"`
	Base   uint64    `json:"base"`
	Change string    `json:"change"`
	Sum    string    `json:"sum"`
	Size   int       `json:"size"`
	Time   time.Time `json:"time"`
	Text   *string   `json:"text,omitempty"`
}

func revision(r state.Revision) Revision {
	return Revision{
		Number: r.Number, Base: r.Base, Change: r.Change,
		Sum: fmt.Sprintf("%016x", r.Sum), Size: r.Size, Time: r.Time,
	}
}

// Text is the response to GET /v1/text.
type Text struct {
	Confirmed bool     `json:"confirmed"` // a majority confirmed that no newer revision had been accepted
	Revision  Revision `json:"revision"`
}

// History is the response to GET /v1/history.
type History struct {
	Confirmed bool       `json:"confirmed"`
	Revisions []Revision `json:"revisions"` // newest first
}

// Instance describes an instance of the fleet in the status.
type Instance struct {
	Name       string         `json:"name"`
	Role       string         `json:"role"`
	Region     string         `json:"region"`
	DataCentre string         `json:"datacentre"`
	Address    netip.AddrPort `json:"address"`
	State      string         `json:"state"`
	Revision   uint64         `json:"revision"`
	Lag        uint64         `json:"lag"`       // number of revisions behind the newest one
	Behind     float64        `json:"behind"`    // seconds since the oldest revision that it lacks was accepted
	Confirmed  float64        `json:"confirmed"` // seconds since control or a peer confirmed its revision, as reported
	Age        float64        `json:"age"`       // seconds since its last report
	Inflight   int            `json:"inflight"`
	Reachable  bool           `json:"reachable"` // linked, or reported recently; only these count for the lag of the status
	Drained    bool           `json:"drained"`
}

// Replica is a member of the control group.
type Replica struct {
	ID      uint64         `json:"id"`
	Address netip.AddrPort `json:"address"`
	Role    string         `json:"role"` // "leader", "voter", "joining" or "learner"
}

// LocalReplica describes the replica that serves the request.
type LocalReplica struct {
	ID      uint64  `json:"id"`
	Leader  uint64  `json:"leader"`
	Role    string  `json:"role"`
	Term    uint64  `json:"term"`
	Commit  uint64  `json:"commit"`
	Applied uint64  `json:"applied"`
	Age     float64 `json:"age"` // seconds since it last heard from the leader, or as leader from a majority
	Running int     `json:"running"`
	Unknown int     `json:"unknown"`
	Keys    int     `json:"keys"`
}

// Status is the response to GET /v1/status.
type Status struct {
	Confirmed bool         `json:"confirmed"`
	Replica   LocalReplica `json:"replica"`
	Revision  Revision     `json:"revision"`
	Lowest    uint64       `json:"lowest"`  // lowest revision in force at a reachable entry
	Lag       uint64       `json:"lag"`     // revisions that the slowest entry is behind
	Slowest   string       `json:"slowest"` // reachable entry with the greatest lag, empty if none lags
	Instances []Instance   `json:"instances"`
	Drains    []Drain      `json:"drains"`
}

// Target describes a target in the response to GET /v1/targets.
type Target struct {
	Service    string         `json:"service"`
	Address    netip.AddrPort `json:"address"`
	Region     string         `json:"region"`
	DataCentre string         `json:"datacentre"`
	State      string         `json:"state"`
	Reason     string         `json:"reason"` // why the target is in this state
	Slots      int            `json:"slots"`
	Start      time.Time      `json:"start"`
	Left       float64        `json:"left"`  // seconds until the ejection lease expires
	Score      float64        `json:"score"` // evidence score on which the lease was granted
}

// Targets is the response to GET /v1/targets.
type Targets struct {
	Confirmed bool     `json:"confirmed"`
	Targets   []Target `json:"targets"`
}

// Drain describes a drain set by an operator.
type Drain struct {
	Name  string    `json:"name"`
	Since time.Time `json:"since"`
}

// Drains is the response to GET /v1/drains.
type Drains struct {
	Confirmed bool    `json:"confirmed"`
	Drains    []Drain `json:"drains"`
}

// Replicas is the response to GET /v1/replicas.
type Replicas struct {
	Leader   uint64    `json:"leader"`
	Replicas []Replica `json:"replicas"`
}

// Address is the body of PUT /v1/replicas/{id}.
type Address struct {
	Address netip.AddrPort `json:"address"`
}

// TextError is one error in a rejected service text.
type TextError struct {
	Line   int    `json:"line"`
	Key    string `json:"key"`
	Reason string `json:"reason"`
}
