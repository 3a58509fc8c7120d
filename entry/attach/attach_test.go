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
	now  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	here = attach.Here{Instance: "e1", Region: "salish", DataCentre: "salish-1"}
)

func at(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func addresses(dial []attach.Dial) []netip.AddrPort {
	var out []netip.AddrPort
	for _, d := range dial {
		out = append(out, d.Address)
	}
	return out
}

// replicas are two of the own region and three elsewhere.
func replicas() []attach.Replica {
	return []attach.Replica{
		{Address: at(1), Region: "haida", DataCentre: "haida-1"},
		{Address: at(2), Region: "salish", DataCentre: "salish-2"},
		{Address: at(3), Region: "okanagan", DataCentre: "okanagan-1"},
		{Address: at(4), Region: "salish", DataCentre: "salish-1"},
		{Address: at(5), Region: "okanagan", DataCentre: "okanagan-2"},
	}
}

func ExampleCore() {
	c := attach.New(here, 3)
	c.Seed([]netip.AddrPort{at(1)})
	dial, _ := c.Plan(now)
	fmt.Println(addresses(dial))
	c.Opened(replicas()[0])
	c.Learn(replicas())
	dial, _ = c.Plan(now)
	fmt.Println(addresses(dial))
	// Output:
	// [10.0.0.1:7000]
	// [10.0.0.4:7000 10.0.0.2:7000]
}

// Guards against an entry that waits for a replica that does not answer while
// others would, and against one that dials the same replica without a pause.
func TestDeadReplicas(t *testing.T) {
	is := is.New(t)
	c := attach.New(here, 1)
	c.Learn(replicas())
	dial, _ := c.Plan(now)
	is.Equal(addresses(dial), []netip.AddrPort{at(4)})
	dial, _ = c.Plan(now.Add(100 * time.Millisecond))
	is.Equal(len(dial), 0)
	dial, _ = c.Plan(now.Add(500 * time.Millisecond)) // silent
	is.Equal(addresses(dial), []netip.AddrPort{at(2)})
	c.Failed(now.Add(500*time.Millisecond), at(2)) // refused
	dial, _ = c.Plan(now.Add(501 * time.Millisecond))
	is.Equal(len(dial), 1)
	is.True(dial[0].Address != at(2) && dial[0].Address != at(4))
}

// Guards against links that pile up when nearer replicas come back, and against
// a new list that ends links to replicas that still answer.
func TestNearestReplace(t *testing.T) {
	is := is.New(t)
	c := attach.New(here, 2)
	c.Learn(replicas())
	for _, i := range []int{0, 2} {
		c.Opened(replicas()[i])
	}
	c.Opened(replicas()[3])
	_, drop := c.Plan(now)
	is.Equal(len(drop), 1)
	is.True(drop[0] != at(4))

	c.Learn(nil)
	dial, drop := c.Plan(now)
	is.Equal(len(dial), 0)
	is.Equal(len(drop), 1)
}

// Guards against an entry that never finds the fleet again when all replicas
// that it knew are gone and its settings name new ones.
func TestSeedsChange(t *testing.T) {
	is := is.New(t)
	c := attach.New(here, 3)
	c.Seed([]netip.AddrPort{at(1), at(2)})
	dial, _ := c.Plan(now)
	is.Equal(len(dial), 2)
	c.Failed(now, at(1))
	c.Failed(now, at(2))
	c.Seed([]netip.AddrPort{at(8)})
	dial, _ = c.Plan(now)
	is.Equal(addresses(dial), []netip.AddrPort{at(8)})
}

// Guards against an attempt that waits for a lost packet to be sent again, and
// against limits that are too short for every path.
func TestLimitsGrow(t *testing.T) {
	is := is.New(t)
	c := attach.New(here, 1)
	c.Seed([]netip.AddrPort{at(1)})
	var limits []time.Duration
	for i := range 5 {
		moment := now.Add(time.Duration(i) * time.Minute)
		dial, _ := c.Plan(moment)
		limits = append(limits, dial[0].Limit)
		c.Failed(moment, at(1))
	}
	is.True(limits[0] < time.Second)
	is.True(limits[4] >= 3*time.Second)
	c.Opened(attach.Replica{Address: at(1)})
	c.Closed(now.Add(time.Hour), at(1))
	dial, _ := c.Plan(now.Add(2 * time.Hour))
	is.True(dial[0].Limit <= 2*limits[0])
}
