package mesh

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time. Events of the same time
// happen in the order in which they were scheduled.
type event struct {
	at     time.Time
	serial int
	run    func()
}

type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// at schedules an event.
func (m *Mesh) at(after time.Duration, run func()) {
	m.serial++
	heap.Push(&m.events, event{at: m.now.Add(after), serial: m.serial, run: run})
}
