package quota_test

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/quota"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleParseRate() {
	fmt.Println(quota.ParseRate("2.5"))
	fmt.Println(quota.ParseRate("-1"))
	// Output:
	// 2.5 true
	// 0 false
}

// Guards against malformed limits that stop all requests to a target.
func TestParseRate(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{"", " ", "x", "1,5", "-0.5", "NaN", "Inf", "+Inf", "1e999", "0x10", "1_0", "3 4"} {
		_, ok := quota.ParseRate(value)
		is.True(!ok) // value is not a rate
	}
	for value, expected := range map[string]float64{"0": 0, "12": 12, " 0.25 ": 0.25, "1e1": 10} {
		rate, ok := quota.ParseRate(value)
		is.True(ok)
		is.Equal(rate, expected)
	}
}

// Guards against a limit that is lifted by a response which the target sent before
// it named the limit.
func TestLateResponseDoesNotLiftLimit(t *testing.T) {
	is := is.New(t)
	target := &quota.Target{}
	is.Equal(event(target.Observe(start, start.Add(-time.Second), quota.Report{})), quota.Unchanged)
	is.Equal(event(target.Observe(start, start.Add(-time.Second), quota.Report{Limited: true, Rate: 2})), quota.Named)
	is.Equal(event(target.Observe(start.Add(time.Second), start.Add(-time.Second), quota.Report{})), quota.Unchanged)
	is.True(target.Report().Limited)
	is.Equal(event(target.Observe(start.Add(time.Second), start, quota.Report{Limited: true, Rate: 3})), quota.Changed)
	is.Equal(event(target.Observe(start.Add(3*time.Second), start.Add(2*time.Second), quota.Report{})), quota.Lifted)
	is.True(!target.Report().Limited)
}

func event(e quota.Event, _ bool) quota.Event { return e }

// Guards against demands from the network that make the distribution undefined.
func TestAbsurdDemands(t *testing.T) {
	is := is.New(t)
	target := quota.Place{Address: netip.MustParseAddrPort("10.0.0.1:80"), Region: "a"}
	for _, rate := range []float64{math.Inf(1), math.NaN(), math.MaxFloat64, 0} {
		demands := []quota.Demand{{Entry: 1, Region: "a", Rate: rate}, {Entry: 2, Region: "a", Rate: rate}}
		sum := quota.Share(demands, 1, target, 6) + quota.Share(demands, 2, target, 6)
		is.True(sum == 0 || sum == 6)
	}
	is.Equal(quota.Share(nil, 1, target, 6), 0)
	is.True(quota.Burst(math.Inf(1)) > 0)
}

// Guards against a target that never gets a request again because it accepted none
// for a while, and against requests that find out when the bucket is empty.
func TestBucket(t *testing.T) {
	is := is.New(t)
	target := &quota.Target{}
	is.True(target.Available(start))
	target.Observe(start, start, quota.Report{Limited: true, Rate: 0})
	_, ok := target.Wait(start)
	is.True(!ok && !target.Available(start)) // no share yet
	target.SetShare(start, 2, 4)
	later := start.Add(time.Minute)
	is.True(target.Available(later))
	for range 2 {
		target.Take(later)
	}
	is.True(!target.Available(later))
	wait, ok := target.Wait(later)
	is.True(ok)
	is.True(!target.Available(later.Add(wait-time.Millisecond)) && target.Available(later.Add(wait+time.Millisecond)))
	target.Return(later.Add(wait + time.Millisecond))
	target.Observe(later.Add(time.Minute), later, quota.Report{})
	for range 10 {
		target.Take(later)
	}
	is.True(target.Available(later))
}

// Guards against a newer demand that an older notice replaces, and against demands
// of entries that have ended.
func TestDemands(t *testing.T) {
	is := is.New(t)
	var d quota.Demands
	d.Set(start, quota.Demand{Entry: 2, Rate: 5})
	d.Set(start.Add(-time.Second), quota.Demand{Entry: 2, Rate: 1})
	d.Set(start.Add(time.Second), quota.Demand{Entry: 1, Rate: 3})
	is.Equal(d.List(), []quota.Demand{{Entry: 1, Rate: 3}, {Entry: 2, Rate: 5}})

	own := quota.Demand{Entry: 3, Rate: 1}
	is.True(d.Announce(start, own))
	is.True(!d.Announce(start.Add(time.Second), own))
	own.Rate = 3
	is.True(d.Announce(start.Add(2*time.Second), own))                     // it has changed
	is.True(d.Announce(start.Add(2*time.Second+quota.RenewInterval), own)) // and is sent again
	is.True(d.Expire(start.Add(14 * time.Second)))
	is.Equal(d.List(), []quota.Demand{{Entry: 3, Rate: 3}})
}

// Guards against changes that an entry announces and a replica does not pass on,
// because each has its own idea of a change.
func TestCloseReports(t *testing.T) {
	is := is.New(t)
	known := quota.Report{Limited: true, Rate: 10}
	for rate, expected := range map[float64]bool{10: true, 10.9: true, 11.1: false, 9.2: true, 9.05: false, 0: false} {
		is.Equal(known.IsClose(quota.Report{Limited: true, Rate: rate}), expected) // rate
	}
	is.True(!known.IsClose(quota.Report{}))
	is.True(quota.Report{}.IsClose(quota.Report{}))
}
