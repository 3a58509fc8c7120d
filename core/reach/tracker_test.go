package reach_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/reach"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
}

func tracker(t testing.TB) *reach.Tracker {
	r, err := reach.New()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func ExampleTracker() {
	t, _ := reach.New()
	fmt.Println(t.Unreached(start, address(1)), t.Begin())
	state, actions := t.Finish(start, reach.Result{Sampled: 4, Helped: true})
	fmt.Println(state, actions)
	state, _ = t.Finish(start.Add(time.Second), reach.Result{Sampled: 4, Reached: 2})
	fmt.Println(state)
	// Output:
	// true true
	// stranded [forgive abandon announce]
	// connected
}

// Guards against targets that are down being taken for a lost path, and the other
// way round.
func TestStateFollowsOtherEntries(t *testing.T) {
	for name, c := range map[string]struct {
		results []reach.Result
		want    reach.State
	}{
		"another entry reaches them":    {[]reach.Result{{Sampled: 4, Helped: true}}, reach.Stranded},
		"nobody reaches them":           {[]reach.Result{{Sampled: 4}}, reach.Isolated},
		"one is reached from here":      {[]reach.Result{{Sampled: 4, Reached: 1, Helped: true}}, reach.Connected},
		"too few targets":               {[]reach.Result{{Sampled: 2, Helped: true}}, reach.Connected},
		"few reached after the loss":    {[]reach.Result{{Sampled: 4, Helped: true}, {Sampled: 4, Reached: 1, Helped: true}}, reach.Stranded},
		"half reached after the loss":   {[]reach.Result{{Sampled: 4, Helped: true}, {Sampled: 4, Reached: 2}}, reach.Connected},
		"the others lose them too":      {[]reach.Result{{Sampled: 4, Helped: true}, {Sampled: 4}}, reach.Isolated},
		"another entry is back":         {[]reach.Result{{Sampled: 4}, {Sampled: 4, Helped: true}}, reach.Stranded},
		"no targets known after a loss": {[]reach.Result{{Sampled: 4}, {}}, reach.Isolated},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := tracker(t)
			for _, result := range c.results {
				r.Finish(start, result)
			}
			is.Equal(r.State(), c.want)
		})
	}
}

// Guards against requests that are refused because targets at their limit accept no
// new connections, while they answer on the open ones.
func TestTargetsThatAnswerAreInUse(t *testing.T) {
	is := is.New(t)
	r := tracker(t)
	r.Contact(start, false)
	state, _ := r.Finish(start.Add(time.Second), reach.Result{Sampled: 4})
	is.Equal(state, reach.Connected)
	state, _ = r.Finish(start.Add(time.Second), reach.Result{Sampled: 4, Helped: true})
	is.Equal(state, reach.Stranded)
	silent := tracker(t)
	silent.Contact(start, false)
	state, _ = silent.Finish(start.Add(3*time.Second), reach.Result{Sampled: 4})
	is.Equal(state, reach.Isolated)
}

// Guards against checks for every single failure, and against a loss that is not
// checked because connections from before it still work.
func TestCheckIsDue(t *testing.T) {
	is := is.New(t)
	r := tracker(t)
	r.Contact(start, true)
	is.True(!r.Unreached(start.Add(time.Millisecond), address(1))) // others have just been reached
	is.True(!r.Unreached(start.Add(2*time.Millisecond), address(1)))
	r.Contact(start.Add(3*time.Millisecond), false) // an old connection
	is.True(r.Unreached(start.Add(4*time.Millisecond), address(2)))
	is.True(r.InDoubt())
	is.True(r.Begin())
	is.True(!r.Begin())
	is.True(!r.Unreached(start.Add(5*time.Millisecond), address(3)))
	r.Finish(start.Add(10*time.Millisecond), reach.Result{Sampled: 1, Reached: 1})
	is.True(!r.InDoubt())
	is.True(!r.Unreached(start.Add(20*time.Millisecond), address(4)))
	is.True(!r.Unreached(start.Add(30*time.Millisecond), address(5))) // too soon after the last check
	is.True(r.Unreached(start.Add(2*time.Second), address(6)))

	late := tracker(t)
	late.Contact(start, true)
	late.Unreached(start.Add(2*time.Millisecond), address(1))
	late.Contact(start.Add(time.Millisecond), true) // before the failure
	is.True(late.Unreached(start.Add(3*time.Millisecond), address(2)))

	quiet := tracker(t)
	quiet.Contact(start, true)
	is.True(quiet.Unreached(start.Add(time.Second), address(1)))
}

// Guards against a lost path that is checked all the time, or by all entries at the
// same moment.
func TestLostPathIsCheckedAgain(t *testing.T) {
	is := is.New(t)
	seen := map[time.Duration]bool{}
	for range 50 {
		r := tracker(t)
		is.True(!r.Due(start.Add(time.Hour)))
		r.Finish(start, reach.Result{Sampled: 4, Helped: true})
		is.True(!r.Due(start.Add(100 * time.Millisecond)))
		wait := time.Duration(0)
		for ; !r.Due(start.Add(wait)); wait += 10 * time.Millisecond {
			is.True(wait < time.Second)
		}
		seen[wait] = true
	}
	is.True(len(seen) > 10)
}

// Guards against samples of a single service, which may be out of order as a whole.
func TestSampleCoversServices(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	services := [][]netip.AddrPort{{}, {address(1)}, {address(2), address(3)}, {address(4), address(5), address(6), address(7)}}
	for range 100 {
		seen := map[netip.AddrPort]bool{}
		for _, a := range reach.Sample(services, rng.Shuffle) {
			seen[a] = true
		}
		is.Equal(len(seen), reach.SampleSize)
		is.True(seen[address(1)] && (seen[address(2)] || seen[address(3)]))
	}
	is.Equal(len(reach.Sample(services[:2], rng.Shuffle)), 1)
	is.Equal(len(reach.Sample(nil, rng.Shuffle)), 0)
}
