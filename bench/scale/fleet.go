package scale

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/gossip/mesh"
)

// Conditions of a run.
const (
	renewal     = 10 * time.Second // time between announcements of a target
	ttl         = 30 * time.Second
	settle      = 15 * time.Second
	span        = 20 * time.Second // measured time
	changes     = 20               // target state changes in one span
	restarts    = 2                // instance restarts in one span
	delay       = 10 * time.Millisecond
	dataCentres = 7
	services    = 150
	// Frame is what one message costs beside its encoded bytes: TCP and IP
	// headers with timestamps (52 bytes) and a masked WebSocket header (8).
	Frame = 60
	// request estimates the headers of an announcement over HTTP/1.1, with the
	// headers of its answer.
	request = 300
)

// Size is the size of a fleet.
type Size struct {
	Nodes   int `json:"nodes"`
	Targets int `json:"targets"`
}

// Fleet is what one node of a fleet costs on average. Bytes are sent bytes with
// Frame for each message.
type Fleet struct {
	Size
	Links    float64 `json:"links"`    // open links of a node
	Steady   float64 `json:"steady"`   // bytes/s: digests and renewals forwarded to owners
	Worst    float64 `json:"worst"`    // bytes/s of the busiest node
	Announce float64 `json:"announce"` // bytes/s of announcements received from targets and their answers
	Messages float64 `json:"messages"` // messages/s
	Core     float64 `json:"core"`     // share of a processor core, in percent
	Change   float64 `json:"change"`   // bytes for one change of a target's state
	Restart  float64 `json:"restart"`  // bytes for one restart of an instance, averaged over the fleet
	Equal    bool    `json:"equal"`    // all nodes hold the same records at the end
}

// sample is the state of the counters at one time.
type sample struct {
	bytes, messages int
	busy            time.Duration
	worst           []int
}

func take(m *mesh.Mesh) sample {
	var s sample
	for _, n := range m.Nodes() {
		sent := n.Traffic.Bytes + Frame*n.Traffic.Messages
		s.bytes += sent
		s.messages += n.Traffic.Messages
		s.busy += n.StepTime
		s.worst = append(s.worst, sent)
	}
	return s
}

// Measure runs a fleet in virtual time.
func Measure(seed uint64, size Size, clock func() time.Time) (Fleet, error) {
	m := mesh.New(seed, mesh.WithClock(clock), mesh.WithFaults(mesh.Faults{Delay: delay}))
	targets := start(m, size)
	m.Run(settle)
	nodes := float64(size.Nodes)
	before := take(m)
	m.Run(span)
	after := take(m)
	out := Fleet{Size: size}
	seconds := span.Seconds()
	out.Steady = float64(after.bytes-before.bytes) / seconds / nodes
	out.Messages = float64(after.messages-before.messages) / seconds / nodes
	out.Core = 100 * (after.busy - before.busy).Seconds() / seconds / nodes
	for i := range after.worst {
		out.Worst = max(out.Worst, float64(after.worst[i]-before.worst[i])/seconds)
	}
	body, err := json.Marshal(targets[0].Renew)
	if err != nil {
		return out, err
	}
	out.Announce = float64(len(body)+request+2*Frame) * float64(size.Targets) / renewal.Seconds() / nodes
	for _, n := range m.Nodes() {
		out.Links += float64(len(n.Core.Peers())) / nodes
	}
	for i := range changes {
		targets[i%len(targets)].SetState([]gossip.State{gossip.StateDraining, gossip.StateReady}[i/len(targets)%2])
		m.Run(span / changes)
	}
	changed := take(m)
	out.Change = max(0, float64(changed.bytes-after.bytes)/nodes-out.Steady*seconds) / changes
	for i := range restarts {
		m.Restart(m.Nodes()[(i+1)*size.Nodes/(restarts+1)])
		m.Run(span / restarts)
	}
	out.Restart = max(0, float64(take(m).bytes-changed.bytes)/nodes-out.Steady*seconds) / restarts
	m.Run(settle)
	out.Equal = equal(m)
	return out, nil
}

// start lets the targets announce themselves to the first node, so that the
// others learn of them in their first exchange.
func start(m *mesh.Mesh, size Size) []*mesh.Target {
	place := func(i int) (string, string) {
		return fmt.Sprint("region-", i%dataCentres%2), fmt.Sprint("centre-", i%dataCentres)
	}
	m.Add(place(0))
	var targets []*mesh.Target
	for i := range size.Targets {
		region, centre := place(i)
		targets = append(targets, m.AddTarget(fmt.Sprint("service-", i%services), region, centre, renewal, ttl))
	}
	for i := 1; i < size.Nodes; i++ {
		m.Add(place(i))
	}
	return targets
}

func equal(m *mesh.Mesh) bool {
	root := m.Nodes()[0].Core.Root()
	for _, n := range m.Nodes() {
		if n.Core.Root() != root {
			return false
		}
	}
	return true
}
