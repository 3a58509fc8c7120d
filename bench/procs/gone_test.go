package procs_test

import "testing"

// Guards against a crashed target that stays in the registry for ever, because
// its two owners do not reach each other to confirm the end of its lease.
func TestCrashedTargetIsForgotten(t *testing.T) {
	f := start(t, layout{replicas: 1, entries: 3, targets: 1})
	f.targets[0].Kill()
	for i := range f.entries {
		f.until("entry forgets the target", func() bool { return f.targetsKnown(i) == len(f.targets)-1 })
	}
}
