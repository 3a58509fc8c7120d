package procs_test

import "testing"

// Guards against a crashed target that stays in the registry for ever, because
// its two owners do not reach each other to confirm the end of its lease.
func TestCrashedTargetIsForgotten(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the time to live of a target (15 s)")
	}
	f := start(t, 3, 1)
	f.targets[0].Kill()
	for i := range f.entries {
		f.until("entry forgets the target", func() bool { return f.targetsKnown(i) == len(f.targets)-1 })
	}
}
