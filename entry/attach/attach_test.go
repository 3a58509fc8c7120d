package attach_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/entry/attach"
)

var (
	now      = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	location = attach.Location{Instance: "e1", Region: "salish", DataCentre: "salish-1"}
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func dialAddresses(dial []attach.Dial) []netip.AddrPort {
	var out []netip.AddrPort
	for _, d := range dial {
		out = append(out, d.Address)
	}
	return out
}

// replicas returns two replicas in the region of the entry and three in others.
func replicas() []attach.Replica {
	return []attach.Replica{
		{Address: addr(1), Region: "haida", DataCentre: "haida-1"},
		{Address: addr(2), Region: "salish", DataCentre: "salish-2"},
		{Address: addr(3), Region: "okanagan", DataCentre: "okanagan-1"},
		{Address: addr(4), Region: "salish", DataCentre: "salish-1"},
		{Address: addr(5), Region: "okanagan", DataCentre: "okanagan-2"},
	}
}

func ExampleCore() {
	c := attach.New(location, 3)
	c.SetSeeds([]netip.AddrPort{addr(1)})
	dial, _ := c.Plan(now)
	fmt.Println(dialAddresses(dial))
	c.LinkOpened(replicas()[0])
	c.SetReplicas(replicas())
	dial, _ = c.Plan(now)
	fmt.Println(dialAddresses(dial))
	// Output:
	// [10.0.0.1:7000]
	// [10.0.0.4:7000 10.0.0.2:7000]
}

// Guards against an entry that waits for an unresponsive replica while others are
// available, and against dialling a replica again without backoff.
func TestDeadReplicas(t *testing.T) {
	is := is.New(t)
	c := attach.New(location, 1)
	c.SetReplicas(replicas())
	dial, _ := c.Plan(now)
	is.Equal(dialAddresses(dial), []netip.AddrPort{addr(4)})
	dial, _ = c.Plan(now.Add(100 * time.Millisecond))
	is.Equal(len(dial), 0)
	dial, _ = c.Plan(now.Add(500 * time.Millisecond)) // no response
	is.Equal(dialAddresses(dial), []netip.AddrPort{addr(2)})
	c.DialFailed(now.Add(500*time.Millisecond), addr(2)) // refused
	dial, _ = c.Plan(now.Add(501 * time.Millisecond))
	is.Equal(len(dial), 1)
	is.True(dial[0].Address != addr(2) && dial[0].Address != addr(4))
}

// Guards against links that accumulate when nearer replicas become available
// again, and against a new list that closes links to replicas that still respond.
func TestNearestReplaceOthers(t *testing.T) {
	is := is.New(t)
	c := attach.New(location, 2)
	c.SetReplicas(replicas())
	for _, i := range []int{0, 2} {
		c.LinkOpened(replicas()[i])
	}
	c.LinkOpened(replicas()[3])
	_, drop := c.Plan(now)
	is.Equal(len(drop), 1)
	is.True(drop[0] != addr(4))

	c.SetReplicas(nil)
	dial, drop := c.Plan(now)
	is.Equal(len(dial), 0)
	is.Equal(len(drop), 1)
}

// Guards against an entry that does not find the fleet again after all known
// replicas have been replaced, although its settings name new ones.
func TestSeedsChange(t *testing.T) {
	is := is.New(t)
	c := attach.New(location, 3)
	c.SetSeeds([]netip.AddrPort{addr(1), addr(2)})
	dial, _ := c.Plan(now)
	is.Equal(len(dial), 2)
	c.DialFailed(now, addr(1))
	c.DialFailed(now, addr(2))
	c.SetSeeds([]netip.AddrPort{addr(8)})
	dial, _ = c.Plan(now)
	is.Equal(dialAddresses(dial), []netip.AddrPort{addr(8)})
}

// Guards against a first dial that waits for the retransmission of a lost packet,
// and against timeouts that stay too short for a slow path.
func TestDialTimeoutsGrow(t *testing.T) {
	is := is.New(t)
	c := attach.New(location, 1)
	c.SetSeeds([]netip.AddrPort{addr(1)})
	var timeouts []time.Duration
	for i := range 5 {
		moment := now.Add(time.Duration(i) * time.Minute)
		dial, _ := c.Plan(moment)
		timeouts = append(timeouts, dial[0].Timeout)
		c.DialFailed(moment, addr(1))
	}
	is.True(timeouts[0] < time.Second)
	is.True(timeouts[4] >= 3*time.Second)
	c.LinkOpened(attach.Replica{Address: addr(1)})
	c.LinkClosed(now.Add(time.Hour), addr(1))
	dial, _ := c.Plan(now.Add(2 * time.Hour))
	is.True(dial[0].Timeout <= 2*timeouts[0])
}
