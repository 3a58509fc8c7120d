package state_test

import (
	"fmt"

	"github.com/galenalock/galenalock/core/state"
)

// Of two changes made from the same base, the second gets a conflict that names
// the first. A resend of the first gets the original answer.
func ExampleMachine_Apply() {
	m := state.New()
	for i, s := range []state.Submit{
		{Base: 0, Change: "floor", Text: []byte("floor = 80%")},
		{Base: 0, Change: "rate", Text: []byte("rate = 50")},
		{Base: 0, Change: "floor", Text: []byte("floor = 80%")},
	} {
		result, err := apply(m, uint64(i+1), state.Command{Time: epoch, Submit: &s})
		fmt.Println(result.Submitted.Outcome, result.Submitted.Revision, result.Submitted.Change, err)
	}
	// Output:
	// accepted 1 floor <nil>
	// conflict 1 floor <nil>
	// accepted 1 floor <nil>
}
