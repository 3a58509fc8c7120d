package group_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/galenalock/galenalock/core/group"
)

// A group of one replica commits commands once it has elected itself.
func ExampleGroup_Propose() {
	dir, err := os.MkdirTemp("", "group")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	var log []string
	g, err := group.New(
		group.WithID(1),
		group.WithDir(dir),
		group.WithFound(true),
		group.WithMachine(group.Machine{
			Apply: func(index uint64, command []byte) []byte {
				log = append(log, string(command))
				return []byte(fmt.Sprintf("%s is command %d", command, len(log)))
			},
			Snapshot: func() ([]byte, error) { return nil, nil },
			Restore:  func([]byte) error { return nil },
		}),
	)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()

	var result []byte
	for {
		result, err = g.Propose(ctx, []byte("drain"))
		var notLeader *group.NotLeaderError
		if !errors.As(err, &notLeader) {
			break
		}
		time.Sleep(time.Millisecond) // the election is still in progress
	}
	fmt.Println(string(result), err, g.Read(ctx))
	cancel()
	fmt.Println(<-done)
	// Output:
	// drain is command 1 <nil> <nil>
	// <nil>
}
