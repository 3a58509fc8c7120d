package fleet

import (
	"context"
	"math/rand/v2"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// maxNear limits the near entries in one answer. Each asking entry gets others.
	maxNear = 6
	// maxFar limits the other entries of each distance. They tell a path that a whole
	// data centre or region has lost from targets that are down.
	maxFar = 2
	// lostPerHelper is the number of entries without a path that one entry helps.
	// With more, entries farther away help as well.
	lostPerHelper = 2
)

// Distances between entries, for the choice of helpers.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	distances
)

// Helpers returns entries that reach targets, for the entry at the other end of a
// link.
func (f *Fleet) Helpers(ctx context.Context, c *link.Conn) (wire.Helpers, error) {
	return postAndWait(ctx, f, func() (wire.Helpers, error) {
		entries := make([]Instance, 0, len(f.sessions))
		for linked, s := range f.sessions {
			if i := f.instances[linked.Peer().Instance]; s.isEntry && i != nil {
				entries = append(entries, *i)
			}
		}
		return ChooseHelpers(c.Peer(), entries), nil
	})
}

// ChooseHelpers chooses helpers for one entry. The near ones are those of its data
// centre if they can help all that have no path there, otherwise those of the
// region, otherwise all.
func ChooseHelpers(self wire.Hello, entries []Instance) wire.Helpers {
	var out wire.Helpers
	var helpers [distances][]wire.Helper
	var lost [distances]int
	for _, i := range entries {
		d := distance(self, i)
		if d == sameDataCentre {
			out.Entries++
		}
		switch {
		case i.State == wire.StateNoPath:
			lost[d]++
		case i.State == wire.StateReady && i.Name != self.Instance:
			helpers[d] = append(helpers[d], wire.Helper{Instance: i.Name, Address: i.Peer, Region: i.Region, DataCentre: i.DataCentre})
		}
	}
	out.Lost = lost[sameDataCentre]
	var near []wire.Helper
	needing, next := 0, 0
	for ; next < distances && (len(near) == 0 || needing > lostPerHelper*len(near)); next++ {
		needing += lost[next]
		near = append(near, helpers[next]...)
	}
	out.List = someOf(near, maxNear)
	out.Near = len(out.List)
	for _, list := range helpers[next:] {
		out.List = append(out.List, someOf(list, maxFar)...)
	}
	return out
}

func distance(self wire.Hello, i Instance) int {
	switch {
	case self.Region != i.Region:
		return otherRegion
	case self.DataCentre != i.DataCentre:
		return sameRegion
	}
	return sameDataCentre
}

// someOf returns up to n random elements of the list, which it reorders.
func someOf(list []wire.Helper, n int) []wire.Helper {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
