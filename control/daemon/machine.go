package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// machine protects the replicated state machine with a lock and publishes a view
// after each change. Only the goroutine of the group changes it; the lock is for
// snapshots requested by operators.
type machine struct {
	mu       sync.Mutex
	state    *state.Machine
	view     atomic.Pointer[state.View]
	onChange func()
	commits  *meter.Counter
}

func newMachine(commits *meter.Counter) *machine {
	m := &machine{state: state.New(), onChange: func() {}, commits: commits}
	m.view.Store(m.state.View())
	return m
}

func (m *machine) callbacks() group.Machine {
	return group.Machine{Apply: m.apply, Snapshot: m.snapshot, Restore: m.restore}
}

func (m *machine) apply(index uint64, command []byte) []byte {
	var c state.Command
	if wire.Decode(command, &c) == nil {
		m.commits.Add(1, c.Kind())
	}
	m.mu.Lock()
	result := m.state.Apply(index, command)
	m.view.Store(m.state.View())
	m.mu.Unlock()
	m.onChange()
	return result
}

// holds reports whether there is a record of a key.
func (m *machine) holds(service, key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Holds(service, key)
}

func (m *machine) snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

func (m *machine) restore(data []byte) error {
	m.mu.Lock()
	err := m.state.Restore(data)
	m.view.Store(m.state.View())
	m.mu.Unlock()
	m.onChange()
	return err
}
