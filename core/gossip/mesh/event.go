package mesh

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point in virtual time. Events with the same
// time run in the order in which they were scheduled.
type event struct {
	at     time.Time
	serial int
	run    func()
}

// events is a heap of scheduled events.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by the order in which they were scheduled.
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

// schedule runs a function after a duration of virtual time.
func (m *Mesh) schedule(after time.Duration, run func()) {
	m.serial++
	heap.Push(&m.events, event{at: m.now.Add(after), serial: m.serial, run: run})
}
