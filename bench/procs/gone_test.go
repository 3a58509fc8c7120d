package procs_test

import "testing"

// Guards against a crashed target that is never removed from the registry because
// its two owners cannot reach each other to confirm that its lease has expired.
func TestCrashedTargetIsForgotten(t *testing.T) {
	f := startFleet(t, fleetSize{replicas: 1, entries: 3, targets: 1})
	f.targets[0].Kill()
	for i := range f.entries {
		f.waitUntil("entry forgets the target", func() bool { return f.knownTargets(i) == len(f.targets)-1 })
	}
}
