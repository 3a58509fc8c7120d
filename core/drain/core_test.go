package drain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/drain"
)

var epoch = time.Unix(1000, 0)

func Example() {
	core := drain.New(drain.WithTimeouts(5*time.Second, time.Minute))
	number, _ := core.Begin(drain.Request{ID: "r-1", Service: "ledger", Kind: "order", Start: epoch})
	fmt.Println(core.Stop(epoch))
	phase, _ := core.Step(epoch.Add(5 * time.Second))
	_, ok := core.Begin(drain.Request{ID: "r-2"})
	fmt.Println(phase, ok, core.Inflight())
	core.Finish(number)
	<-core.Done()
	fmt.Println(len(core.Interrupted()))
	// Output:
	// grace
	// waiting false map[{ledger order}:1]
	// 0
}

// Guards against a shutdown that interrupts requests before the time limit or a
// second signal, that waits longer, or that does not report interrupted requests.
func TestShutdown(t *testing.T) {
	cases := []struct {
		name        string
		run         func(c *drain.Core)
		phase       drain.Phase
		interrupted int
		accept      bool
	}{
		{"serving", func(*drain.Core) {}, drain.Serving, 0, true},
		{"grace accepts", func(c *drain.Core) { c.Stop(epoch); c.Step(epoch.Add(4 * time.Second)) }, drain.Grace, 0, true},
		{"waits", func(c *drain.Core) { c.Stop(epoch); c.Step(epoch.Add(64 * time.Second)) }, drain.Waiting, 0, false},
		{"limit", func(c *drain.Core) { c.Stop(epoch); c.Step(epoch.Add(65 * time.Second)) }, drain.Ended, 1, false},
		{"second signal", func(c *drain.Core) { c.Stop(epoch); c.Stop(epoch.Add(time.Second)) }, drain.Ended, 1, false},
		{"late end stays reported", func(c *drain.Core) { c.Stop(epoch); c.Stop(epoch); c.Finish(1) }, drain.Ended, 1, false},
		{"third signal", func(c *drain.Core) { c.Stop(epoch); c.Stop(epoch); c.Stop(epoch) }, drain.Ended, 1, false},
		{"done", func(c *drain.Core) { c.Stop(epoch); c.Finish(1); c.Step(epoch.Add(5 * time.Second)) }, drain.Ended, 0, false},
		{"resumed", func(c *drain.Core) { c.Stop(epoch); c.Step(epoch.Add(6 * time.Second)); c.Resume() }, drain.Serving, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core := drain.New(drain.WithTimeouts(5*time.Second, time.Minute))
			core.Begin(drain.Request{ID: "r-1", Start: epoch})
			c.run(core)
			phase, _ := core.Step(epoch)
			is.Equal(phase, c.phase)
			is.Equal(len(core.Interrupted()), c.interrupted)
			_, ok := core.Begin(drain.Request{ID: "r-2"})
			is.Equal(ok, c.accept)
			is.Equal(core.Closing(), phase != drain.Serving)
		})
	}
}
