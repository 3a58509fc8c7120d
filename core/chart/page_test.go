package chart_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/reach"
)

const chartsPage = "../../docs/CHARTS.md"

// Guards against a diagram in the documentation that differs from the chart that
// the code interprets. With UPDATE=1 in the environment the test rewrites them.
func TestChartsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(chartsPage)
	is.NoErr(err)
	life, err := eject.LifeCycle()
	is.NoErr(err)
	path, err := reach.Chart()
	is.NoErr(err)
	want, rest := "", string(data)
	for _, diagram := range []string{life.Mermaid(), path.Mermaid()} {
		text, after, found := strings.Cut(rest, "```mermaid")
		is.True(found)
		_, after, found = strings.Cut(after, "\n```\n")
		is.True(found)
		want += text + "```mermaid\n" + strings.TrimRight(diagram, "\n") + "\n```\n"
		rest = after
	}
	if os.Getenv("UPDATE") == "1" {
		is.NoErr(os.WriteFile(chartsPage, []byte(want), 0o644))
		return
	}
	is.Equal(string(data), want) // nothing behind the last diagram
}
