package eject

import (
	"net/netip"
	"time"
)

// State is what a target announces, or what its owners say of it.
type State string

// The states of a target.
const (
	Cold     State = "cold"
	Ready    State = "ready"
	Draining State = "draining" // draining or leaving
	Gone     State = "gone"
)

// Target is a target as the caller knows it.
type Target struct {
	Service string
	Address netip.AddrPort
	Start   time.Time // incarnation; an older one is ignored
	Slots   int
	State   State
}

// Floor is the capacity that stays in service: a share of the announced
// capacity, or an absolute number of slots.
type Floor struct {
	Share float64
	Slots int
}

// of returns the floor in slots of an announced capacity.
func (f Floor) of(capacity int) float64 { return max(f.Share*float64(capacity), float64(f.Slots)) }
