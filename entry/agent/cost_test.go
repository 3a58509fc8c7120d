package agent_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// Guards against a change of one service that makes an entry update the routers of all
// others, which keeps it from the next change.
func TestChangeOfOneServiceLeavesTheOthersAlone(t *testing.T) {
	// The update of a router with a target sorts a copy of the list of entries.
	const services, entries, perService = 100, 4000, 4000 * 16 // bytes, half of that copy
	near := startFakeRegistry(t, "near", "salish")
	for n := range services {
		near.announceFor(fmt.Sprint("s", n), uint64(n+1), n+1, enrol.Ready, false)
	}
	a := startRegistryAgent(t, near.addr)
	waitUntil(t, "ready", func() bool { return a.View().Ready })
	near.send(t, wire.KindEntries, wire.Entries{Regions: map[string]int{"salish": entries}})
	text := serviceText(services)
	least := uint64(1 << 62)
	for number := uint64(2); number < 8; number++ {
		changed := bytes.Replace(text, []byte(`floor = "50%"`), []byte(`floor = "`+string(rune('0'+number))+`0%"`), 1)
		whole, err := delta.Whole(number, changed)
		if err != nil {
			t.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		near.send(t, wire.KindRevision, whole)
		waitUntil(t, "in force", func() bool { return a.View().Revision == number })
		ticked := time.Now()
		waitUntil(t, "ticked", func() bool { return time.Since(ticked) > 4*tick })
		runtime.ReadMemStats(&after)
		if number > 2 { // the first one adds the services
			least = min(least, after.TotalAlloc-before.TotalAlloc)
		}
	}
	if least > services*perService {
		t.Errorf("a change of one of %d services took %d kB", services, least>>10)
	}
}

// tick is the interval at which an agent with a registry updates its routers.
const tick = 100 * time.Millisecond
