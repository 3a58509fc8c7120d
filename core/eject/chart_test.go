package eject_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/eject"
)

const chartsPage = "../../docs/CHARTS.md"

// Guards against a diagram in the documentation that differs from the chart that
// the code interprets. With UPDATE=1 in the environment the test rewrites it.
func TestChartsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(chartsPage)
	is.NoErr(err)
	life, err := eject.LifeCycle()
	is.NoErr(err)
	head, _, _ := strings.Cut(string(data), "```mermaid")
	want := head + "```mermaid\n" + strings.TrimRight(life.Mermaid(), "\n") + "\n```\n"
	if os.Getenv("UPDATE") == "1" {
		is.NoErr(os.WriteFile(chartsPage, []byte(want), 0o644))
		return
	}
	is.Equal(string(data), want)
}
