package roster

import (
	"maps"
	"slices"
)

// Snapshot is an immutable view of all live targets.
type Snapshot struct {
	version  uint64
	services map[string][]Target
}

// Version rises with every change.
func (s *Snapshot) Version() uint64 { return s.version }

// Services returns the names of the services with live targets, sorted.
func (s *Snapshot) Services() []string { return slices.Sorted(maps.Keys(s.services)) }

// Targets returns the live targets of a service, sorted by address. It includes
// cold, draining and leaving ones; the slice must not be changed.
func (s *Snapshot) Targets(service string) []Target { return s.services[service] }

// Len returns the number of live targets.
func (s *Snapshot) Len() int {
	n := 0
	for _, targets := range s.services {
		n += len(targets)
	}
	return n
}

// Snapshot returns the present view. Services that have not changed share their
// slice with the last one.
func (r *Roster) Snapshot() *Snapshot {
	if len(r.dirty) == 0 {
		return r.last
	}
	next := &Snapshot{version: r.last.version + 1, services: maps.Clone(r.last.services)}
	for name := range r.dirty {
		var targets []Target
		for _, row := range r.services[name] {
			if !row.record.State.Dead() {
				targets = append(targets, row.target)
			}
		}
		if len(targets) == 0 {
			delete(next.services, name)
			continue
		}
		slices.SortFunc(targets, func(a, b Target) int { return a.Address.Compare(b.Address) })
		next.services[name] = targets
	}
	clear(r.dirty)
	r.last = next
	return next
}
