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

// Version returns a number that increases with every change.
func (s *Snapshot) Version() uint64 { return s.version }

// Services returns the names of the services with live targets, sorted.
func (s *Snapshot) Services() []string { return slices.Sorted(maps.Keys(s.services)) }

// Targets returns the live targets of a service, sorted by address, including
// cold, draining and leaving ones. The slice must not be modified.
func (s *Snapshot) Targets(service string) []Target { return s.services[service] }

// Len returns the number of live targets.
func (s *Snapshot) Len() int {
	n := 0
	for _, targets := range s.services {
		n += len(targets)
	}
	return n
}

// Snapshot returns the current view. Services that have not changed share their
// slice with the previous snapshot.
func (r *Roster) Snapshot() *Snapshot {
	if len(r.changedServices) == 0 {
		return r.lastSnapshot
	}
	next := &Snapshot{version: r.lastSnapshot.version + 1, services: maps.Clone(r.lastSnapshot.services)}
	for name := range r.changedServices {
		var targets []Target
		for _, tracked := range r.services[name] {
			if !tracked.record.State.Dead() {
				targets = append(targets, tracked.target)
			}
		}
		if len(targets) == 0 {
			delete(next.services, name)
			continue
		}
		slices.SortFunc(targets, func(a, b Target) int { return a.Address.Compare(b.Address) })
		next.services[name] = targets
	}
	clear(r.changedServices)
	r.lastSnapshot = next
	return next
}
