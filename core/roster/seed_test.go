package roster_test

import "flag"

// Sets a fixed seed, so that CI runs are reproducible. The flag -rapid.seed
// selects another one.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
