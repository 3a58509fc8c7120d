package auth_test

import (
	"fmt"

	"github.com/galenalock/galenalock/core/auth"
)

func ExampleDigest() {
	fmt.Println(auth.Digest("open sesame"))
	fmt.Println(auth.Operate.Allows(auth.Read), auth.Read.Allows(auth.Operate))
	// Output:
	// 41ef4bb0b23661e66301aac36066912dac037827b4ae63a7b1165a5aa93ed4eb
	// true false
}
