package budget

import "runtime/debug"

// Shares of the memory of an instance. The rest is for what the runtime does not count,
// such as the program itself, 12 MB in resident memory, and for what exceeds its limit
// for a moment.
const (
	heapShare   = 0.7
	callerShare = 0.5
)

// OfInstance returns the budget for callers of the only process of an instance with that
// many bytes of memory, and makes the garbage collector keep the process below it. 0
// stands for no bound.
func OfInstance(memory int64) *Budget {
	if memory == 0 {
		return nil
	}
	debug.SetMemoryLimit(int64(float64(memory) * heapShare))
	return New(int64(float64(memory) * callerShare))
}
