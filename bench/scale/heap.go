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

// answerSize is the body of a stored answer in the measurement.
const answerSize = 1 << 10

// Heap is the memory of one item in bytes, measured on many of them.
type Heap struct {
	Record    float64 `json:"record"`    // of a target in the gossip core
	Row       float64 `json:"row"`       // of a target in the roster with its snapshot
	Endpoint  float64 `json:"endpoint"`  // of a target in the router of its service
	Claim     float64 `json:"claim"`     // of a claim whose answer has a body of 1 KiB
	Route     float64 `json:"route"`     // of a route in the parsed text
	Workspace float64 `json:"workspace"` // of a workspace in the parsed text
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// grow returns the bytes of heap that build adds for each of n items.
func grow(n int, build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(n)
}

// Memory measures the memory of n items of each kind.
func Memory(n int) (Heap, error) {
	messages, err := records(n)
	if err != nil {
		return Heap{}, err
	}
	var h Heap
	var core *gossip.Core
	defer runtime.KeepAlive(messages)
	h.Record = grow(n, func() any {
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
	h.Row = grow(n, func() any {
		r := roster.New(roster.WithSelf("entry-1"))
		for _, record := range core.Records(gossip.KindTarget) {
			r.Learn(epoch, record)
		}
		return []any{r, r.Snapshot()}
	})
	h.Endpoint = grow(n, func() any { return endpoints(n) })
	h.Claim = grow(n, func() any { return claims(n) })
	h.Route = growText(n, &err, func(i int) string {
		return fmt.Sprintf("[[route]]\nhost = \"h%d.example\"\nprefix = \"/p\"\nservice = \"tables\"\n", i)
	})
	h.Workspace = growText(n, &err, func(i int) string {
		return fmt.Sprintf("[[workspace]]\nname = \"workspace-%d\"\nservices = [\"tables\"]\nrate = 50\n", i)
	})
	return h, eris.Wrap(err, "memory")
}

func growText(n int, err *error, line func(i int) string) float64 {
	text := bytes.NewBufferString("[[service]]\nname = \"tables\"\nfloor = \"50%\"\npolicy = \"careful\"\n[[service.kind]]\nname = \"lookup\"\nrepeat = true\nweight = 1.0\ntimeout = \"1s\"\n")
	for i := range n {
		text.WriteString(line(i))
	}
	size := grow(n, func() any {
		parsed, parseErr := spec.Parse(text.Bytes())
		if parseErr != nil {
			*err = parseErr
		}
		return parsed
	})
	runtime.KeepAlive(text) // freed within the measurement, it would count as negative
	return size
}

// renewals returns the announcements of n targets.
func renewals(n int) []wire.Renew {
	out := make([]wire.Renew, n)
	for i := range out {
		out[i] = wire.Renew{
			Service: fmt.Sprint("service-", i%services), Region: "region-1", DataCentre: fmt.Sprint("centre-", i%dataCentres),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
			Slots:   6, Connections: 400, Start: epoch, Seq: 1, State: "ready", TTL: ttl.Seconds(),
		}
	}
	return out
}

// records returns encoded messages that hold the records of n targets.
func records(n int) ([][]byte, error) {
	var all []*gossip.Record
	for _, renew := range renewals(n) {
		actions, err := roster.New().Announce(epoch, renew)
		if err != nil {
			return nil, err
		}
		all = append(all, actions[0].Record)
	}
	var out [][]byte
	for len(all) > 0 {
		part := all[:min(len(all), gossip.MaxRecords)]
		all = all[len(part):]
		data, err := (&gossip.Message{Records: part}).Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, data)
	}
	return out, nil
}

func endpoints(n int) []*route.Router {
	byService := make([][]route.Target, services)
	for i, renew := range renewals(n) {
		byService[i%services] = append(byService[i%services], route.Target{
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

func claims(n int) *state.Machine {
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
		answer := &wire.Answer{Status: 201, Body: bytes.Repeat([]byte("x"), answerSize), Stored: true}
		apply(uint64(2*i+1), state.Command{Time: epoch, Claim: &wire.Claim{Service: "ledger", Key: key, Owner: "entry-1", Attempt: 1, Expires: time.Minute}})
		apply(uint64(2*i+2), state.Command{Time: epoch, Close: &wire.Close{Service: "ledger", Key: key, Owner: "entry-1", Attempt: 1, Outcome: wire.OutcomeDone, Answer: answer}})
	}
	return m
}
