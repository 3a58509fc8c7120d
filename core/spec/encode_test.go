package spec_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/spec"
)

const routed = `
[limits]
header = 16384
body = 67108864
headertime = "3s"
idle = "15s"

[[service]]
name = "old"
floor = "70%"
health = "/health"
connections = 390

[[service]]
name = "new"
floor = "70%"

[[route]]
name = "r-1"
host = "a.example"
prefix = "/x/"
split = [{ service = "old", weight = 90 }, { service = "new", weight = 10 }]
kind = { repeat = true, timeout = "4s", goal = "2s", priority = 2, attempts = 2, hedge = true }

[[route]]
name = "r-2"
host = "a.example"
prefix = "/y/"
service = "old"
kind = { repeat = false, timeout = "5s", upload = true, attempts = 1 }
`

// Guards against a text whose meaning changes when it is encoded and parsed again,
// as happens to a configuration received from another system.
func TestEncodeKeepsMeaning(t *testing.T) {
	is := is.New(t)
	first, err := spec.Parse([]byte(routed))
	is.NoErr(err)
	text, err := spec.Encode(first)
	is.NoErr(err)
	second, err := spec.Parse(text)
	is.NoErr(err)
	is.Equal(second.Limits, first.Limits)
	is.Equal(second.Services, first.Services)
	is.Equal(second.Routes, first.Routes)

	kind := second.Match("a.example", "/x/2f").Kind
	is.Equal(kind.Name, "r-1")
	is.Equal(kind.LatencyGoal, 2*time.Second)
	is.Equal(kind.MaxAttempts, 2)
	is.Equal(second.Limits.BodyBytes, int64(64<<20))
}

// Guards against a distribution that differs from the weights of a split, and
// against random values at the ends of the range that select no part.
func TestSplit(t *testing.T) {
	is := is.New(t)
	text, err := spec.Parse([]byte(routed))
	is.NoErr(err)
	route := text.Match("a.example", "/x/1")
	count := map[string]int{}
	for i := range 1000 {
		count[route.PickService((float64(i)+0.5)/1000)]++
	}
	is.Equal(count, map[string]int{"old": 900, "new": 100})
	is.Equal(route.PickService(0), "old")
	is.Equal(route.PickService(1-1e-17), "old") // rounds to 1

	unweighted := spec.Route{Split: []spec.SplitPart{{Service: "a"}, {Service: "b"}}}
	is.Equal(unweighted.PickService(0.2), "a")
	is.Equal(unweighted.PickService(0.7), "b")
}

const keyed = `
[[service]]
name = "one"
floor = "70%"

[[route]]
prefix = "/open/"
service = "one"
public = true

[[workspace]]
name = "a"
rate = 2.5
burst = 4
priority = 3
keys = ["plain:s3cret", 'plain:t"ick', "sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]
`

// Guards against a redacted text that differs in meaning or still holds a key.
func TestRedact(t *testing.T) {
	is := is.New(t)
	text, err := spec.Parse([]byte(keyed))
	is.NoErr(err)
	encoded, err := spec.Encode(text)
	is.NoErr(err)
	sources := [][]byte{[]byte(keyed), encoded}
	for _, notation := range []string{`"\u0070lain:s3cret"`, `'''plain:s3cret'''`, `"""plain:s3cret"""`, "\"\"\"\\\n  plain:s3cret\"\"\""} {
		sources = append(sources, []byte(strings.Replace(keyed, `"plain:s3cret"`, notation, 1)))
	}
	for _, source := range sources {
		redacted := spec.Redact(source)
		is.True(!strings.Contains(string(redacted), "s3cret") && !strings.Contains(string(redacted), "ick"))
		parsed, err := spec.Parse(redacted)
		is.NoErr(err)
		for _, key := range []string{"s3cret", `t"ick`, "secret"} {
			is.Equal(parsed.WorkspaceOfKey(spec.DigestKey(key)).Name, "a")
		}
		w := parsed.Workspace("a")
		is.Equal([]float64{w.RateLimit, w.Burst, float64(*w.Priority)}, []float64{2.5, 4, 3})
		is.True(parsed.Routes[0].Public)
		is.Equal(spec.Redact(redacted), redacted)
	}
}

// Guards against an error message that contains a key.
func TestKeyErrors(t *testing.T) {
	is := is.New(t)
	for _, keys := range []string{`["s3cret"]`, `["plain:s3cret x"]`, `["sha256:s3cret"]`, `["plain:"]`} {
		_, err := spec.Parse([]byte("[[workspace]]\nname = \"a\"\nkeys = " + keys + "\n"))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "workspace[0].keys[0]"))
		is.True(!strings.Contains(err.Error(), "s3cret"))
	}
}
