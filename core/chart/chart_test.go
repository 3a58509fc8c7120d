package chart_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/chart"
)

const lamp = `
chart lamp
start off
state off
  press -> on : light
  break -> gone
state on
  press -> off : dark   # comments end a line
  break -> gone : dark
state gone final
`

func ExampleParse() {
	c, err := chart.Parse(lamp, "light", "dark")
	if err != nil {
		fmt.Println(err)
		return
	}
	m := c.NewMachine()
	actions, _ := m.Fire("press")
	fmt.Println(m.State(), actions)
	fmt.Print(c.Mermaid())
	// Output:
	// on [light]
	// stateDiagram-v2
	//     [*] --> off
	//     off --> on: press / light
	//     off --> gone: break
	//     on --> off: press / dark
	//     on --> gone: break / dark
	//     gone --> [*]
}

// Guards against an invalid chart that is accepted, or rejected without the line
// of the error.
func TestInvalidCharts(t *testing.T) {
	data, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range strings.Split(string(data), "== ")[1:] {
		head, text, _ := strings.Cut(c, "\n")
		name, want, _ := strings.Cut(head, " | ")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := chart.Parse(text, "run")
			var parseErr *chart.Error
			is.True(errors.As(err, &parseErr))
			is.Equal(err.Error(), "chart: "+want)
		})
	}
}

// Guards against an event that is missing from the chart and is dropped without
// an error.
func TestUnknownEvent(t *testing.T) {
	is := is.New(t)
	c, err := chart.Parse(lamp, "light", "dark")
	is.NoErr(err)
	var unknown *chart.EventError
	_, err = c.NewMachine().Fire("melt")
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.State, "off")
}
