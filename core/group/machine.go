package group

// Machine is the replicated state machine. Its functions are called from one
// goroutine and must be deterministic: their results depend only on their
// arguments and the state.
type Machine struct {
	Apply    func(index uint64, command []byte) (result []byte)
	Snapshot func() ([]byte, error)
	Restore  func(snapshot []byte) error // replaces the whole state
}
