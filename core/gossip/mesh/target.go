package mesh

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/wire"
)

// Target is a target that announces itself to a random node, as through a
// balancer, at every interval.
type Target struct {
	Renew    wire.Renew // the last announcement
	Interval time.Duration
	Up       bool
	Heard    time.Time // when the last announcement was handed over
	Left     time.Time // when leaving was handed over
	mesh     *Mesh
	life     int
}

// AddTarget starts a target.
func (m *Mesh) AddTarget(service, region, dataCentre string, interval, ttl time.Duration) *Target {
	m.targets++
	i := m.targets
	t := &Target{mesh: m, Interval: interval, Renew: wire.Renew{
		Service: service, Region: region, DataCentre: dataCentre,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128 + byte(i>>16), byte(i >> 8), byte(i)}), 8080),
		Slots:   6, Connections: 400, TTL: ttl.Seconds(), State: string(gossip.StateReady),
	}}
	t.Restart()
	return t
}

// Restart begins a new incarnation.
func (t *Target) Restart() {
	t.Up = true
	t.life++
	t.Left = time.Time{}
	t.Renew.Start, t.Renew.Seq, t.Renew.State = t.mesh.now, 0, string(gossip.StateReady)
	t.beat(t.life)
}

// Crash ends the target without notice.
func (t *Target) Crash() { t.Up = false }

// SetState changes the state and announces it at once.
func (t *Target) SetState(state gossip.State) {
	t.Renew.State = string(state)
	t.announce()
}

// beat announces and schedules the next announcement. The phase is random, so
// that targets that start together do not announce together.
func (t *Target) beat(life int) {
	if !t.Up || t.life != life {
		return
	}
	after := t.Interval
	if t.Renew.Seq == 0 {
		after = time.Duration(t.mesh.rand.Int64N(int64(t.Interval)))
	}
	t.announce()
	t.mesh.at(after, func() { t.beat(life) })
}

func (t *Target) announce() {
	t.Renew.Seq++
	nodes := t.mesh.nodes
	first := t.mesh.rand.IntN(len(nodes))
	for i := range nodes {
		n := nodes[(first+i)%len(nodes)]
		if !n.Up {
			continue
		}
		t.Heard = t.mesh.now
		if gossip.State(t.Renew.State) == gossip.StateLeaving && t.Left.IsZero() {
			t.Left = t.mesh.now
		}
		if err := t.mesh.Announce(n, t.Renew); err != nil {
			panic(err) // the announcement of a simulated target is valid
		}
		return
	}
}
