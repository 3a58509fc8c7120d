package gossip_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/wire"
)

func Example() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	self := gossip.Instance{Role: wire.RoleEntry, DataCentre: "salish-1", Peer: netip.MustParseAddrPort("10.0.0.1:7000")}
	core := gossip.New(gossip.WithSelf("entry-1", now, self))
	core.Linked(now, "entry-2", true)
	record := &gossip.Record{Key: "tables|10.0.1.1:80", Kind: gossip.KindTarget, Start: now, Seq: 1, State: gossip.StateReady}
	for _, action := range core.Put(now, record) {
		switch action.Type {
		case gossip.Change:
			fmt.Println("changed", action.Record.Key, action.Record.State)
		case gossip.Send:
			fmt.Println("sent to", action.To, len(action.Message.Records), "record")
		}
	}
	// Output:
	// changed tables|10.0.1.1:80 ready
	// sent to entry-2 1 record
}
