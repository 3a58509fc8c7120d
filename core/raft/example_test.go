package raft_test

import (
	"fmt"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// A single replica elects itself and applies a command once its owner has
// acknowledged the Persist action that contains it.
func ExampleCore_Step() {
	now := time.Unix(0, 0)
	core, err := raft.New(raft.Config{ID: 1, Snapshot: raft.Founding(raft.Members{{ID: 1}})}, now)
	if err != nil {
		panic(err)
	}
	handle := func(event raft.Event) {
		for queue := []raft.Event{event}; len(queue) > 0; queue = queue[1:] {
			for _, action := range core.Step(now, queue[0]) {
				switch a := action.(type) {
				case raft.Persist:
					fmt.Println("sync", len(a.Entries), "entries")
					queue = append(queue, raft.Persisted{Seq: a.Seq})
				case raft.Apply:
					for _, entry := range a.Entries {
						fmt.Printf("apply %d %q\n", entry.Index, entry.Data)
					}
				}
			}
		}
	}
	handle(raft.Tick{})
	handle(raft.Propose{Commands: [][]byte{[]byte("drain"), []byte("undrain")}})
	// Output:
	// sync 0 entries
	// sync 1 entries
	// apply 2 ""
	// sync 2 entries
	// apply 3 "drain"
	// apply 4 "undrain"
}
