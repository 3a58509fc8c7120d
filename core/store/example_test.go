package store_test

import (
	"fmt"
	"os"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/store"
)

// Data that Save has acknowledged is present when the directory is opened again.
func ExampleStore_Save() {
	dir, err := os.MkdirTemp("", "store")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	opts := []store.Option{store.WithReplica(1), store.WithFounders(raft.Members{{ID: 1}})}
	s, err := store.Open(dir, opts...)
	if err != nil {
		panic(err)
	}
	err = s.Save(raft.HardState{Term: 2, Vote: 1}, []raft.Entry{{Index: 2, Term: 2, Data: []byte("drain")}})
	fmt.Println(err, s.Close())

	s, err = store.Open(dir, opts...)
	if err != nil {
		panic(err)
	}
	defer s.Close()
	state := s.Load()
	fmt.Printf("%+v %d %s\n", state.Hard, state.Snapshot.Index, state.Entries[0].Data)
	// Output:
	// <nil> <nil>
	// {Term:2 Vote:1 Commit:0} 1 drain
}
