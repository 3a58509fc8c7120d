package enrol

import (
	"fmt"
	"net/netip"
	"time"
)

// State is where a target is in its life.
type State string

// The states.
const (
	Ready    State = "ready"
	Draining State = "draining" // no new requests, those in flight end
	Gone     State = "gone"
)

// Bounds of announcements.
const (
	maxName  = 256
	maxSlots = 1 << 16
	maxCold  = 10 * time.Minute
)

// Announcement is what a target says of itself.
type Announcement struct {
	Name       string         `cbor:"name"`
	Service    string         `cbor:"service"`
	Address    netip.AddrPort `cbor:"address"`
	Region     string         `cbor:"region"`
	DataCentre string         `cbor:"datacentre"`
	Slots      int            `cbor:"slots"`
	Start      time.Time      `cbor:"start"` // of the incarnation, by the target's clock
	Seq        uint64         `cbor:"seq"`   // rises with each announcement of the incarnation
	State      State          `cbor:"state"`
	Cold       time.Duration  `cbor:"cold"` // how much longer the target is slow after its start
}

// Error is an announcement that names no target.
type Error struct {
	Field  string
	Reason string
}

// Error names the field and the reason.
func (e *Error) Error() string { return fmt.Sprintf("announcement: %s %s", e.Field, e.Reason) }

// Check returns an *Error for an announcement that the table must not take. The
// end of a target needs no more than its name.
func (a *Announcement) Check() error {
	if a.Name == "" || len(a.Name) > maxName {
		return &Error{Field: "name", Reason: fmt.Sprintf("has %d bytes, want 1 to %d", len(a.Name), maxName)}
	}
	if a.State == Gone {
		return nil
	}
	switch {
	case a.State != Ready && a.State != Draining:
		return &Error{Field: "state", Reason: fmt.Sprintf("%q is unknown", a.State)}
	case a.Service == "" || len(a.Service) > maxName:
		return &Error{Field: "service", Reason: "is missing or too long"}
	case !a.Address.IsValid() || a.Address.Port() == 0 || a.Address.Addr().IsUnspecified():
		return &Error{Field: "address", Reason: "is no address that can be dialled"}
	case a.DataCentre == "" || a.Region == "":
		return &Error{Field: "datacentre", Reason: "is unknown"}
	case a.Slots < 1 || a.Slots > maxSlots:
		return &Error{Field: "slots", Reason: fmt.Sprintf("lies outside 1 to %d", maxSlots)}
	case a.Cold < 0 || a.Cold > maxCold:
		return &Error{Field: "cold", Reason: fmt.Sprintf("lies outside 0 to %s", maxCold)}
	case a.Start.UnixMilli() <= 0:
		return &Error{Field: "start", Reason: "is missing"}
	}
	return nil
}
