package scale

import (
	"bytes"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// answerBodySize is the body size of a stored answer, in bytes.
const answerBodySize = 1 << 10

// HeapSizes holds the heap bytes of one item of each kind, averaged over many
// items.
type HeapSizes struct {
	Record    float64 `json:"record"`    // of a target in the gossip core
	Row       float64 `json:"row"`       // of a target in the roster with its snapshot
	Endpoint  float64 `json:"endpoint"`  // of a target in the router of its service
	Claim     float64 `json:"claim"`     // of a claim whose answer has a body of 1 KiB
	Route     float64 `json:"route"`     // of a route in the parsed text
	Workspace float64 `json:"workspace"` // of a workspace in the parsed text
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// heapPerItem returns the heap bytes per item that the n items made by build
// occupy.
func heapPerItem(n int, build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	items := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(items)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(n)
}

// MeasureHeap measures the heap bytes of n items of each kind.
func MeasureHeap(n int) (HeapSizes, error) {
	messages, err := encodeRecords(n)
	if err != nil {
		return HeapSizes{}, err
	}
	var h HeapSizes
	var core *gossip.Core
	defer runtime.KeepAlive(messages)
	h.Record = heapPerItem(n, func() any {
		core = gossip.New(gossip.WithSelf("entry-1", epoch, gossip.Instance{}))
		for _, data := range messages {
			m, decodeErr := gossip.Decode(data)
			if decodeErr != nil {
				err = decodeErr
				break
			}
			core.Receive(epoch, "entry-2", m)
		}
		return core
	})
	h.Row = heapPerItem(n, func() any {
		r := roster.New(roster.WithSelf("entry-1"))
		for _, record := range core.Records(gossip.KindTarget) {
			r.Learn(epoch, record)
		}
		return []any{r, r.Snapshot()}
	})
	h.Endpoint = heapPerItem(n, func() any { return newRouters(n) })
	h.Claim = heapPerItem(n, func() any { return newClaims(n) })
	h.Route = heapPerTextItem(n, &err, func(i int) string {
		return fmt.Sprintf("[[route]]\nhost = \"h%d.example\"\nprefix = \"/p\"\nservice = \"tables\"\n", i)
	})
	h.Workspace = heapPerTextItem(n, &err, func(i int) string {
		return fmt.Sprintf("[[workspace]]\nname = \"workspace-%d\"\nservices = [\"tables\"]\nrate = 50\n", i)
	})
	return h, eris.Wrap(err, "measure heap")
}

func heapPerTextItem(n int, err *error, item func(i int) string) float64 {
	text := bytes.NewBufferString("[[service]]\nname = \"tables\"\nfloor = \"50%\"\npolicy = \"careful\"\n[[service.kind]]\nname = \"lookup\"\nrepeat = true\nweight = 1.0\ntimeout = \"1s\"\n")
	for i := range n {
		text.WriteString(item(i))
	}
	size := heapPerItem(n, func() any {
		parsed, parseErr := spec.Parse(text.Bytes())
		if parseErr != nil {
			*err = parseErr
		}
		return parsed
	})
	runtime.KeepAlive(text) // if it were freed during the measurement, its size would be subtracted
	return size
}

// renewals returns the announcements of n targets.
func renewals(n int) []wire.Renew {
	out := make([]wire.Renew, n)
	for i := range out {
		out[i] = wire.Renew{
			Service: fmt.Sprint("service-", i%serviceCount), Region: "region-1", DataCentre: fmt.Sprint("centre-", i%dataCentreCount),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
			Slots:   6, Connections: 400, Start: epoch, Seq: 1, State: "ready", TTL: targetTTL.Seconds(),
		}
	}
	return out
}

// encodeRecords returns encoded messages with the records of n targets.
func encodeRecords(n int) ([][]byte, error) {
	var remaining []*gossip.Record
	for _, renew := range renewals(n) {
		actions, err := roster.New().Announce(epoch, renew)
		if err != nil {
			return nil, err
		}
		remaining = append(remaining, actions[0].Record)
	}
	var out [][]byte
	for len(remaining) > 0 {
		batch := remaining[:min(len(remaining), gossip.MaxRecords)]
		remaining = remaining[len(batch):]
		data, err := (&gossip.Message{Records: batch}).Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, data)
	}
	return out, nil
}

func newRouters(n int) []*route.Router {
	byService := make([][]route.Target, serviceCount)
	for i, renew := range renewals(n) {
		byService[i%serviceCount] = append(byService[i%serviceCount], route.Target{
			Address: renew.Address, Start: renew.Start, Region: renew.Region, DataCentre: renew.DataCentre,
			Slots: renew.Slots, Connections: renew.Connections, ReadySince: epoch, Weight: 1,
		})
	}
	var out []*route.Router
	for _, targets := range byService {
		r := route.New(epoch, route.Location{Instance: "entry-1", Region: "region-1", DataCentre: "centre-1"})
		r.Update(epoch, targets, []route.Peer{{Instance: "entry-1", Region: "region-1"}})
		out = append(out, r)
	}
	return out
}

func newClaims(n int) *state.Machine {
	m := state.New()
	apply := func(index uint64, c state.Command) {
		data, err := wire.Encode(c)
		if err != nil {
			panic(err) // a command of plain values always encodes
		}
		m.Apply(index, data)
	}
	for i := range n {
		key := fmt.Sprintf("0c9d6a3e-7f41-4d19-9a55-%012d", i)
		answer := &wire.Answer{Status: 201, Body: bytes.Repeat([]byte("x"), answerBodySize), Stored: true}
		apply(uint64(2*i+1), state.Command{Time: epoch, Claim: &wire.Claim{Service: "ledger", Key: key, Owner: "entry-1", Attempt: 1, Expires: time.Minute}})
		apply(uint64(2*i+2), state.Command{Time: epoch, Close: &wire.Close{Service: "ledger", Key: key, Owner: "entry-1", Attempt: 1, Outcome: wire.OutcomeDone, Answer: answer}})
	}
	return m
}
