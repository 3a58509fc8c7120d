package mesh

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/wire"
)

// Target is a simulated target that announces itself at every interval to a
// random node, as through a load balancer.
type Target struct {
	Renew            wire.Renew // the last announcement
	Interval         time.Duration
	Up               bool
	LastAnnounced    time.Time // when the last announcement was delivered to a node
	LeavingAnnounced time.Time // when the state leaving was first delivered to a node
	mesh             *Mesh
	incarnation      int
}

// AddTarget adds a target and starts it.
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

// Restart starts a new incarnation of the target.
func (t *Target) Restart() {
	t.Up = true
	t.incarnation++
	t.LeavingAnnounced = time.Time{}
	t.Renew.Start, t.Renew.Seq, t.Renew.State = t.mesh.now, 0, string(gossip.StateReady)
	t.announcePeriodically(t.incarnation)
}

// Crash stops the target without a leaving announcement.
func (t *Target) Crash() { t.Up = false }

// SetState changes the state of the target and announces it at once.
func (t *Target) SetState(state gossip.State) {
	t.Renew.State = string(state)
	t.announce()
}

// announcePeriodically announces the target and schedules the next announcement.
// The first delay is random, so that targets that start together do not announce
// together.
func (t *Target) announcePeriodically(incarnation int) {
	if !t.Up || t.incarnation != incarnation {
		return
	}
	after := t.Interval
	if t.Renew.Seq == 0 {
		after = time.Duration(t.mesh.rand.Int64N(int64(t.Interval)))
	}
	t.announce()
	t.mesh.schedule(after, func() { t.announcePeriodically(incarnation) })
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
		t.LastAnnounced = t.mesh.now
		if gossip.State(t.Renew.State) == gossip.StateLeaving && t.LeavingAnnounced.IsZero() {
			t.LeavingAnnounced = t.mesh.now
		}
		if err := t.mesh.Announce(n, t.Renew); err != nil {
			panic(err) // the announcement of a simulated target is valid
		}
		return
	}
}
