package gossip_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/wire"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func target(seq uint64, state gossip.State) *gossip.Record {
	return &gossip.Record{Key: "tables|10.0.0.1:80", Kind: gossip.KindTarget, Start: epoch, Seq: seq, State: state}
}

// Guards against messages from a peer that exceed the bounds of queues and tables.
func TestDecodeRefuses(t *testing.T) {
	long := make([]byte, gossip.MaxBody+1)
	for name, m := range map[string]gossip.Message{
		"records": {Records: make([]*gossip.Record, gossip.MaxRecords+1)},
		"null":    {Records: make([]*gossip.Record, 1)},
		"stamps":  {Stamps: make([]gossip.Stamp, gossip.MaxStamps+1)},
		"want":    {Want: make([]uint64, gossip.MaxStamps+1)},
		"buckets": {Buckets: make([]uint64, 3)},
		"differ":  {Differ: []uint8{200}},
		"state":   {Records: []*gossip.Record{target(1, "running")}},
		"key":     {Records: []*gossip.Record{{Kind: gossip.KindTarget, State: gossip.StateReady}}},
		"kind":    {Records: []*gossip.Record{{Key: "a", State: gossip.StateReady}}},
		"body":    {Records: []*gossip.Record{{Key: "a", Kind: gossip.KindTarget, State: gossip.StateReady, Body: long}}},
		"age":     {Records: []*gossip.Record{{Key: "a", Kind: gossip.KindTarget, State: gossip.StateGone, Age: -time.Second}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := m.Encode()
			is.NoErr(err)
			_, err = gossip.Decode(data)
			var refused *gossip.MessageError
			is.True(errors.As(err, &refused))
		})
	}
}

// Guards against input from a peer that makes the decoder or the core panic.
func FuzzDecode(f *testing.F) {
	files, err := filepath.Glob("testdata/messages/*.cbor")
	if err != nil || len(files) == 0 {
		f.Fatal("no corpus", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := gossip.Decode(data)
		if err != nil {
			return
		}
		if _, err := m.Encode(); err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
		c := gossip.New(gossip.WithSelf("a", epoch, gossip.Instance{Role: wire.RoleEntry}))
		c.Linked(epoch, "b", true)
		c.Receive(epoch, "b", m)
		c.Tick(epoch.Add(time.Second))
	})
}
