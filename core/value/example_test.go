package value_test

import (
	"fmt"

	"github.com/galenalock/galenalock/core/value"
)

func ExampleNewSet() {
	s := value.NewSet("salish", "haida")
	s.Add("okanagan")
	s.Remove("haida")
	fmt.Println(s.Sorted(), s.Has("haida"))
	// Output: [okanagan salish] false
}

func ExampleOption() {
	port := value.None[int]()
	fmt.Println(port.Or(8080))
	// Output: 8080
}
