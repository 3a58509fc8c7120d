package fleet_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/fleet"
	"github.com/galenalock/galenalock/core/wire"
)

// entries returns ready entries of one data centre, the first ones without a path.
func entries(region, dataCentre string, count, lost int) []fleet.Instance {
	out := make([]fleet.Instance, count)
	for i := range out {
		out[i] = fleet.Instance{Name: fmt.Sprintf("%s-%d", dataCentre, i), Region: region, DataCentre: dataCentre, State: wire.StateReady}
		if i < lost {
			out[i].State = wire.StateNoPath
		}
	}
	return out
}

// Guards against helpers that have no path themselves, are not ready, are the asking
// entry, or are farther away than needed; and against a few near ones that get the
// requests of many.
func TestHelpersAreNearAndNotOverloaded(t *testing.T) {
	self := wire.Hello{Instance: "a-0", Region: "x", DataCentre: "a"}
	for name, c := range map[string]struct {
		lost  [3]int // of 8 entries each in a, in b of the same region and in c
		near  map[string]bool
		count int
	}{
		"none lost":                      {[3]int{}, map[string]bool{"a": true}, 6},
		"some lost":                      {[3]int{4, 0, 0}, map[string]bool{"a": true}, 4},
		"one left in the data centre":    {[3]int{7, 0, 0}, map[string]bool{"a": true, "b": true}, 6},
		"none left in the data centre":   {[3]int{8, 2, 0}, map[string]bool{"b": true}, 6},
		"none left in the region":        {[3]int{8, 8, 2}, map[string]bool{"c": true}, 6},
		"one left in the region":         {[3]int{8, 7, 2}, map[string]bool{"b": true, "c": true}, 6},
		"none left at all":               {[3]int{8, 8, 8}, nil, 0},
		"few left, too few for the lost": {[3]int{8, 8, 7}, map[string]bool{"c": true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := entries("x", "a", 8, c.lost[0])
			all = append(all, entries("x", "b", 8, c.lost[1])...)
			all = append(all, entries("y", "c", 8, c.lost[2])...)
			starting := fleet.Instance{Name: "a-9", Region: "x", DataCentre: "a", State: wire.StateStarting}
			for range 20 {
				got := fleet.ChooseHelpers(self, append(all, starting))
				is.Equal(got.Near, c.count)
				is.Equal(got.Entries, 9)
				is.Equal(got.Lost, c.lost[0])
				for i, h := range got.List {
					is.True(h.Instance != self.Instance && h.Instance != starting.Name)
					is.True(i >= got.Near || c.near[h.DataCentre])
				}
			}
		})
	}
}

// Guards against a data centre that has lost its path as a whole, and of which every
// entry asks only others that have lost it too.
func TestHelpersIncludeFarEntries(t *testing.T) {
	is := is.New(t)
	all := append(entries("x", "a", 8, 0), entries("x", "b", 8, 0)...)
	all = append(all, entries("y", "c", 8, 0)...)
	far := map[string]int{}
	for _, h := range fleet.ChooseHelpers(wire.Hello{Instance: "a-0", Region: "x", DataCentre: "a"}, all).List {
		far[h.DataCentre]++
	}
	is.Equal(far["b"], 2)
	is.Equal(far["c"], 2)
}
