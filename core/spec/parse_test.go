package spec_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/spec"
)

const sample = `
[[service]]
name = "ledger"
floor = "80%"
[[service.kind]]
name = "order"
methods = ["POST"]
path = "/orders"
repeat = false
key = "required"
weight = 10
timeout = "10s"
[[service.kind]]
name = "look"
repeat = true

[[service]]
name = "tables"
floor = "4"
policy = "fast"

[[route]]
prefix = "/ledger"
service = "ledger"
strip = true

[[route]]
host = "Tables.example"
service = "tables"

[[workspace]]
name = "harbour-17"
services = ["tables"]
rate = 50
`

func ExampleParse() {
	text, err := spec.Parse([]byte(sample))
	if err != nil {
		fmt.Println(err)
		return
	}
	route := text.Match("any.example", "/ledger/orders/7")
	kind := text.Service(route.Service).Kind("POST", "/orders/7")
	fmt.Println(route.Service, kind.Name, kind.Repeatable, kind.Timeout)

	_, err = spec.Parse([]byte("[[service]]\nname = \"ledger\"\nfloor = \"180%\"\n"))
	fmt.Println(err)
	// Output:
	// ledger order false 10s
	// line 3: service[0].floor: "180%" lies outside 0% to 100%
}

// Guards against errors without the right line and key, and against a parser that
// reports only the first error.
func TestParseErrors(t *testing.T) {
	data, err := os.ReadFile("testdata/errors.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, block := range strings.Split(string(data), "\n=== ")[1:] {
		name, rest, _ := strings.Cut(block, "\n")
		text, want, _ := strings.Cut(rest, "--- errors\n")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := spec.Parse([]byte(text))
			var faults spec.Errors
			is.True(errors.As(err, &faults))
			if want = strings.TrimRight(want, "\n"); name == "syntax" {
				is.True(strings.HasPrefix(err.Error(), "line 1: "))
				return
			}
			is.Equal(err.Error(), want)
		})
	}
}

// Guards against a prefix that matches a part of a path segment, and against a
// route for any host that takes precedence over one for the request's host.
func TestMatch(t *testing.T) {
	is := is.New(t)
	text, err := spec.Parse([]byte(sample))
	is.NoErr(err)
	is.Equal(text.Match("x", "/ledgers"), nil)
	is.Equal(text.Match("x", "/ledger").Service, "ledger")
	is.Equal(text.Match("x", "/ledger/").Service, "ledger")
	is.Equal(text.Match("tables.example", "/ledger").Service, "tables")
	is.Equal(text.Match("TABLES.example", "/").Service, "tables")
	is.Equal(text.Service("ledger").Kind("POST", "/ordersx").Name, "look")
	is.True(!text.Workspace("harbour-17").Allows("ledger"))
	is.Equal(text.Service("ledger").Floor.ForCapacity(25*6), 120)
	is.Equal(text.Service("tables").Floor.ForCapacity(3), 3)
}

// Guards against a text that makes the parser panic, and against an accepted text
// on which a lookup panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("service = 1"))
	f.Add([]byte("[[service]]\nname='a'\nfloor='1'\n[[service.kind]]\n"))
	f.Add([]byte("service = [{name = 'a', floor = 'x'}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := spec.Parse(data)
		if err != nil {
			return
		}
		text.Match("a", "/a/b")
		for _, s := range text.Services {
			s.Kind("GET", "/a")
			s.Floor.ForCapacity(12)
		}
	})
}
