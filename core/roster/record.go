package roster

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/wire"
)

// Bounds of the fields of an announcement.
const (
	MinTTL      = time.Second
	MaxTTL      = time.Minute
	maxName     = 128
	maxCapacity = 1 << 20
)

// AnnounceError reports an invalid field of an announcement.
type AnnounceError struct {
	Key    string
	Reason string
}

// Error returns the key and the reason.
func (e *AnnounceError) Error() string { return fmt.Sprintf("announcement: %s: %s", e.Key, e.Reason) }

// Check returns an AnnounceError if an announcement is invalid.
func Check(r wire.Renew) error {
	for _, name := range []struct{ key, value string }{
		{"service", r.Service}, {"region", r.Region}, {"datacentre", r.DataCentre},
	} {
		if name.value == "" || len(name.value) > maxName || strings.Contains(name.value, "|") {
			return &AnnounceError{Key: name.key, Reason: fmt.Sprintf("is empty, longer than %d bytes or contains |", maxName)}
		}
	}
	switch {
	case !r.Address.IsValid() || r.Address.Port() == 0:
		return &AnnounceError{Key: "address", Reason: "is not an IP address with a port"}
	case r.Slots < 0 || r.Slots > maxCapacity:
		return &AnnounceError{Key: "slots", Reason: "is out of bounds"}
	case r.Connections < 0 || r.Connections > maxCapacity:
		return &AnnounceError{Key: "connections", Reason: "is out of bounds"}
	case r.Start.IsZero():
		return &AnnounceError{Key: "start", Reason: "is missing"}
	case !(r.TTL >= MinTTL.Seconds() && r.TTL <= MaxTTL.Seconds()):
		return &AnnounceError{Key: "ttl", Reason: fmt.Sprintf("is not between %s and %s", MinTTL, MaxTTL)}
	}
	switch gossip.State(r.State) {
	case gossip.StateCold, gossip.StateReady, gossip.StateDraining, gossip.StateLeaving:
		return nil
	}
	return &AnnounceError{Key: "state", Reason: "is not cold, ready, draining or leaving"}
}

// Key returns the key of the record of a target.
func Key(service string, address netip.AddrPort) string { return service + "|" + address.String() }

// targetBody is the body of the record of a target. The key holds the service and
// the address.
type targetBody struct {
	_           struct{} `cbor:",toarray"`
	Region      string
	DataCentre  string
	Slots       int
	Connections int
	TTL         int64 // milliseconds
}

// newRecord converts an announcement to a record.
func newRecord(r wire.Renew) *gossip.Record {
	data, err := wire.Encode(targetBody{
		Region: r.Region, DataCentre: r.DataCentre, Slots: r.Slots, Connections: r.Connections,
		TTL: int64(r.TTL * 1000),
	})
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return &gossip.Record{
		Key: Key(r.Service, r.Address), Kind: gossip.KindTarget, Start: r.Start, Seq: r.Seq,
		State: gossip.State(r.State), Body: data,
	}
}

// parseRecord decodes the record of a target and returns its TTL, which is limited
// to the bounds of announcements.
func parseRecord(r *gossip.Record) (Target, time.Duration, error) {
	service, text, _ := strings.Cut(r.Key, "|")
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return Target{}, 0, &AnnounceError{Key: "address", Reason: err.Error()}
	}
	var b targetBody
	if err := wire.Decode(r.Body, &b); err != nil {
		return Target{}, 0, err
	}
	ttl := min(max(time.Duration(b.TTL)*time.Millisecond, MinTTL), MaxTTL)
	return Target{
		Service: service, Address: address, Region: b.Region, DataCentre: b.DataCentre,
		Slots: b.Slots, Connections: b.Connections, Start: r.Start, State: r.State,
	}, ttl, nil
}
