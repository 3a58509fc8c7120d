package story_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/galenactl/story"
)

const log = `
12.1 e1 {"time":"2026-04-24T10:00:09Z","instance":"e1","event":"suspicion","target":"t-1","sign":"failed","after":0.7}
{"time":"2026-04-24T10:00:01Z","instance":"e1","event":"suspicion","target":"t-2","sign":"failed","after":0.7}
no JSON
{"time":"2026-04-24T10:00:10.5Z","instance":"e1","event":"request","request":"r-1","target":"t-1","outcome":"answered","status":500}
{"time":"2026-04-24T10:00:10.4Z","instance":"e1","event":"attempt","request":"r-1","target":"t-1","class":"faulty","status":500}
{"time":"2026-04-24T10:00:11Z","instance":"e1","event":"suspicion","target":"t-1","sign":"failed","after":0.9}
{"time":"2026-04-24T10:00:12Z","instance":"e2","event":"request","request":"r-2","target":"t-2","outcome":"answered","status":200}
`

func ExampleSelect() {
	lines, err := story.Read(strings.NewReader(log))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, l := range story.Select(lines, "r-1") {
		fmt.Println(l)
	}
	// Output:
	// 10:00:09.000 e1 suspicion after=0.7 sign=failed target=t-1
	// 10:00:10.400 e1 attempt class=faulty request=r-1 status=500 target=t-1
	// 10:00:10.500 e1 request outcome=answered request=r-1 status=500 target=t-1
}

// Guards against Select omitting lines about a target or an instance.
func TestSelect(t *testing.T) {
	is := is.New(t)
	lines, err := story.Read(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(len(lines), 6)
	is.Equal(len(story.Select(lines, "t-1")), 4)
	is.Equal(len(story.Select(lines, "e2")), 1)
	is.Equal(len(story.Select(lines, "nothing")), 0)
}

// Guards against a line of any length that hides all others.
func TestReadSkipsLongLines(t *testing.T) {
	is := is.New(t)
	long := `{"event":"request","request":"r-9","text":"` + strings.Repeat("x", 3<<20) + `"}` + "\n"
	lines, err := story.Read(strings.NewReader(long + log + long + strings.TrimSpace(log)))
	is.NoErr(err)
	short, err := story.Read(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(len(lines), 2*len(short))
}
