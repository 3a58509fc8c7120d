package gossip

// Kind tells what a record describes.
type Kind string

// Kinds of records.
const (
	KindInstance Kind = "instance"
	KindTarget   Kind = "target"
)

// State is the lifecycle state of an instance or target.
type State string

// States of instances and targets. A departure (leaving, left) is final for an
// incarnation: no live record with the same start time overrides it, whatever
// its sequence number.
const (
	StateCold     State = "cold"
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateLeaving  State = "leaving"
	StateSuspect  State = "suspect" // an instance that a ring predecessor cannot reach
	StateGone     State = "gone"    // disappeared without notice
	StateLeft     State = "left"    // disappeared after leaving
)

// Ranks order records with the same start time: departures rank above all
// sequence numbers, the other states within one sequence number.
const (
	rankLive    = 0
	rankSuspect = 1
	rankGone    = 2
	rankLeaving = 4
	rankLeft    = 6
	departedBit = rankLeaving // set in the ranks of leaving and left
)

var ranks = map[State]uint8{
	StateCold:     rankLive,
	StateReady:    rankLive,
	StateDraining: rankLive,
	StateSuspect:  rankSuspect,
	StateGone:     rankGone,
	StateLeaving:  rankLeaving,
	StateLeft:     rankLeft,
}

// Dead reports whether a record of the state is a tombstone.
func (s State) Dead() bool { return s == StateGone || s == StateLeft }
