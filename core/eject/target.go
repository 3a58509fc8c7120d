package eject

import (
	"net/netip"
	"time"
)

// State is the state that a target announces or that its operators set.
type State string

// The states of a target.
const (
	Cold     State = "cold"
	Ready    State = "ready"
	Draining State = "draining" // draining or leaving
	Gone     State = "gone"
)

// Target is what the caller knows of a target.
type Target struct {
	Service string
	Address netip.AddrPort
	Start   time.Time // identifies the incarnation; an older one is ignored
	Slots   int
	State   State
}

// Floor is the capacity that stays in service: a share of the announced
// capacity, or an absolute number of slots.
type Floor struct {
	Share float64
	Slots int
}

// inSlots returns the floor as a number of slots, given the announced capacity.
func (f Floor) inSlots(capacity int) float64 { return max(f.Share*float64(capacity), float64(f.Slots)) }
