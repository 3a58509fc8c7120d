package scale

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/gossip/mesh"
)

// Parameters of a run.
const (
	renewalInterval  = 10 * time.Second // time between announcements of a target
	targetTTL        = 30 * time.Second
	settleTime       = 15 * time.Second
	measuredTime     = 20 * time.Second
	stateChanges     = 20 // target state changes within measuredTime
	instanceRestarts = 2  // instance restarts within measuredTime
	linkDelay        = 10 * time.Millisecond
	dataCentreCount  = 7
	serviceCount     = 150
	// FrameOverhead is the number of bytes sent with each encoded message: TCP
	// and IP headers with timestamps (52) and a masked WebSocket header (8).
	FrameOverhead = 60
	// announceOverhead is an estimate of the bytes of HTTP/1.1 headers of an
	// announcement and its response.
	announceOverhead = 300
)

// FleetSize is the number of nodes and targets of a fleet.
type FleetSize struct {
	Nodes   int `json:"nodes"`
	Targets int `json:"targets"`
}

// FleetCost is the average cost of one node of a fleet. Byte counts are of sent
// messages, with FrameOverhead for each.
type FleetCost struct {
	FleetSize
	Links          float64 `json:"links"`    // open links of a node
	SteadyBytes    float64 `json:"steady"`   // bytes/s without changes: digests and renewals forwarded to owners
	WorstNodeBytes float64 `json:"worst"`    // bytes/s of the busiest node
	AnnounceBytes  float64 `json:"announce"` // bytes/s of announcements received from targets and of their responses
	Messages       float64 `json:"messages"` // messages/s
	CorePercent    float64 `json:"core"`     // share of a processor core, in percent
	ChangeBytes    float64 `json:"change"`   // bytes for one change of a target's state
	RestartBytes   float64 `json:"restart"`  // bytes for one restart of an instance, averaged over the fleet
	Converged      bool    `json:"equal"`    // all nodes hold the same records at the end
}

// counters are the sums over all nodes at one time, and the sent bytes of each
// node.
type counters struct {
	bytes, messages int
	stepTime        time.Duration
	bytesByNode     []int
}

func readCounters(m *mesh.Mesh) counters {
	var s counters
	for _, n := range m.Nodes() {
		sent := n.Traffic.Bytes + FrameOverhead*n.Traffic.Messages
		s.bytes += sent
		s.messages += n.Traffic.Messages
		s.stepTime += n.StepTime
		s.bytesByNode = append(s.bytesByNode, sent)
	}
	return s
}

// MeasureFleet simulates a fleet in virtual time. Processor time is measured with
// clock.
func MeasureFleet(seed uint64, size FleetSize, clock func() time.Time) (FleetCost, error) {
	m := mesh.New(seed, mesh.WithClock(clock), mesh.WithFaults(mesh.Faults{Delay: linkDelay}))
	targets := startFleet(m, size)
	m.Run(settleTime)
	nodes := float64(size.Nodes)
	before := readCounters(m)
	m.Run(measuredTime)
	after := readCounters(m)
	cost := FleetCost{FleetSize: size}
	seconds := measuredTime.Seconds()
	cost.SteadyBytes = float64(after.bytes-before.bytes) / seconds / nodes
	cost.Messages = float64(after.messages-before.messages) / seconds / nodes
	cost.CorePercent = 100 * (after.stepTime - before.stepTime).Seconds() / seconds / nodes
	for i := range after.bytesByNode {
		cost.WorstNodeBytes = max(cost.WorstNodeBytes, float64(after.bytesByNode[i]-before.bytesByNode[i])/seconds)
	}
	body, err := json.Marshal(targets[0].Renew)
	if err != nil {
		return cost, err
	}
	cost.AnnounceBytes = float64(len(body)+announceOverhead+2*FrameOverhead) * float64(size.Targets) / renewalInterval.Seconds() / nodes
	for _, n := range m.Nodes() {
		cost.Links += float64(len(n.Core.Peers())) / nodes
	}
	for i := range stateChanges {
		targets[i%len(targets)].SetState([]gossip.State{gossip.StateDraining, gossip.StateReady}[i/len(targets)%2])
		m.Run(measuredTime / stateChanges)
	}
	changed := readCounters(m)
	cost.ChangeBytes = max(0, float64(changed.bytes-after.bytes)/nodes-cost.SteadyBytes*seconds) / stateChanges
	for i := range instanceRestarts {
		m.Restart(m.Nodes()[(i+1)*size.Nodes/(instanceRestarts+1)])
		m.Run(measuredTime / instanceRestarts)
	}
	cost.RestartBytes = max(0, float64(readCounters(m).bytes-changed.bytes)/nodes-cost.SteadyBytes*seconds) / instanceRestarts
	m.Run(settleTime)
	cost.Converged = converged(m)
	return cost, nil
}

// startFleet lets all targets announce themselves to the first node before it
// adds the other nodes, so that these learn of the targets in their first
// exchange.
func startFleet(m *mesh.Mesh, size FleetSize) []*mesh.Target {
	location := func(i int) (string, string) {
		return fmt.Sprint("region-", i%dataCentreCount%2), fmt.Sprint("centre-", i%dataCentreCount)
	}
	m.Add(location(0))
	var targets []*mesh.Target
	for i := range size.Targets {
		region, centre := location(i)
		targets = append(targets, m.AddTarget(fmt.Sprint("service-", i%serviceCount), region, centre, renewalInterval, targetTTL))
	}
	for i := 1; i < size.Nodes; i++ {
		m.Add(location(i))
	}
	return targets
}

func converged(m *mesh.Mesh) bool {
	root := m.Nodes()[0].Core.Root()
	for _, n := range m.Nodes() {
		if n.Core.Root() != root {
			return false
		}
	}
	return true
}
