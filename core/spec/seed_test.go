package spec_test

import "flag"

// The seed is fixed so that CI runs are reproducible; the flag -rapid.seed
// overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
