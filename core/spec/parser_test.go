package spec_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/galenalock/galenalock/core/spec"
)

// manyRoutes returns a text with many routes, of which one leads to another service.
func manyRoutes(routes, moved int) string {
	var b strings.Builder
	b.WriteString("# fleet\n[limits]\nheader = 16384\n\n[[service]]\nname = \"a\"\nfloor = \"70%\"\n\n[[service]]\nname = \"b\"\nfloor = \"70%\"\n")
	for n := range routes {
		service := "a"
		if n == moved {
			service = "b"
		}
		fmt.Fprintf(&b, "\n[[route]]\nname = \"r-%d\"\nhost = \"x.example\"\nprefix = \"/p%d\"\nservice = %q\nkind = {name = \"k\", repeat = true, timeout = \"5s\"}\n", n, n, service)
	}
	return b.String()
}

// Guards against a change of one route that costs every entry as much as the whole
// text.
func TestChangeOfOneRouteDecodesOnlyThatRoute(t *testing.T) {
	is := is.New(t)
	decoded := 0
	p := spec.NewParser(spec.WithDecodeHook(func(bytes int) { decoded += bytes }))
	_, err := p.Parse([]byte(manyRoutes(1400, -1)))
	is.NoErr(err)
	is.True(decoded > 100<<10)
	for moved := range 10 {
		decoded = 0
		text, err := p.Parse([]byte(manyRoutes(1400, moved)))
		is.NoErr(err)
		is.Equal(text.Match("x.example", fmt.Sprintf("/p%d/q", moved)).Service, "b")
		is.True(decoded < 1<<10)
	}
}

// Guards against a text that is understood differently because it is decoded in parts.
// The function Parse is the reference.
func TestParserEqualsParse(t *testing.T) {
	lines := []string{
		"[[service]]", "name = \"a\"", "name = \"b\"", "floor = \"80%\"", "depends = [\"a\"]", "[[service.kind]]", "name = \"k\"", "repeat = true",
		"[[route]]", "prefix = \"/x\"", "service = \"a\"", "service = \"b\"", "kind = {name = \"k\", repeat = true}", "[[workspace]]", "services = [",
		"]", "\"a\",", "[limits]", "header = 1", " [limits]", "[[route]] # comment", "[[route]]\t", "service = []", "limits.header = 2",
		"# comment", "", "\"\"\"", "'''", "name = '''", "health = \"\"\"", "[service]", "[service.kind]", "x = 1", "[[service]]\r",
		"[[service]]\nname = \"a\"\nfloor = \"1\"", "[[service]]\nname = \"b\"\nfloor = \"2\"", "[[route]]\nprefix = \"/y\"\nservice = \"a\"",
	}
	rapid.Check(t, func(t *rapid.T) {
		p := spec.NewParser()
		list := rapid.SliceOfN(rapid.SampledFrom(lines), 0, 12).Draw(t, "lines")
		for range 3 {
			text := []byte(strings.Join(list, "\n"))
			want, wantErr := spec.Parse(text)
			got, err := p.Parse(text)
			if !reflect.DeepEqual(got, want) || fmt.Sprint(err) != fmt.Sprint(wantErr) {
				t.Fatalf("%q: got %v, %v, want %v, %v", text, got, err, want, wantErr)
			}
			edit := rapid.SampledFrom(lines).Draw(t, "edit")
			list = append(list[:len(list):len(list)], edit)
		}
	})
}
