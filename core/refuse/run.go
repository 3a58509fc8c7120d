package refuse

// Run tells whether a refused request may have run on a target.
type Run string

// The values of Run.
const (
	NotRun  Run = "no"      // no byte of the request can have reached a target, or the target declared that it did not run it
	Unknown Run = "unknown" // the request may have run
	Ran     Run = "done"    // the request ran earlier; its response is no longer stored
)
