package gossip

// Kind is the kind of a record.
type Kind string

// The kinds.
const (
	KindInstance Kind = "instance"
	KindTarget   Kind = "target"
)

// State is the state of an instance or target.
type State string

// The states. A departure (leaving, left) is final for an incarnation: no
// record of the same start overrides it, whatever its sequence number.
const (
	StateCold     State = "cold"
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateLeaving  State = "leaving"
	StateSuspect  State = "suspect" // an instance that a ring predecessor cannot reach
	StateGone     State = "gone"    // disappeared without notice
	StateLeft     State = "left"    // disappeared after leaving
)

// Ranks order records of the same start: a departure above all sequence
// numbers, the others within one sequence number.
const (
	rankLive    = 0
	rankSuspect = 1
	rankGone    = 2
	rankLeaving = 4
	rankLeft    = 6
	departed    = rankLeaving // ranks from here on are final
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
