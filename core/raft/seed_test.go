package raft_test

import "flag"

// The seed is fixed so that CI gives the same result in every run. The flag
// -rapid.seed sets another one.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
