package enrol

import (
	"fmt"
	"net/netip"
	"time"
)

// State is the lifecycle state of a target.
type State string

// States of a target.
const (
	Ready    State = "ready"
	Draining State = "draining" // takes no new requests, completes those in flight
	Gone     State = "gone"
)

// Limits on the fields of an announcement.
const (
	maxName  = 256
	maxSlots = 1 << 16
	maxCold  = 10 * time.Minute
)

// Announcement is the description that a target sends of itself.
type Announcement struct {
	Name       string         `cbor:"name"`
	Service    string         `cbor:"service"`
	Address    netip.AddrPort `cbor:"address"`
	Region     string         `cbor:"region"`
	DataCentre string         `cbor:"datacentre"`
	Slots      int            `cbor:"slots"`
	Start      time.Time      `cbor:"start"` // start of the incarnation, by the target's clock
	Seq        uint64         `cbor:"seq"`   // increases with each announcement of the incarnation
	State      State          `cbor:"state"`
	Cold       time.Duration  `cbor:"cold"` // remaining time of slowness after the start
}

// Error reports an invalid field of an announcement.
type Error struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *Error) Error() string { return fmt.Sprintf("announcement: %s %s", e.Field, e.Reason) }

// Check validates an announcement and returns an *Error if it is malformed. An
// announcement with state Gone needs only a name.
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
