package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rings is the number of hash rings. With three, the overlay stays connected
// when a third of the instances fails at once.
const rings = 3

// spot is the place of an instance on one ring.
type spot struct {
	at   uint64
	name string
}

func place(ring int, name string) spot {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(ring)}) // never fails
	_, _ = d.WriteString(name)
	return spot{at: d.Sum64(), name: name}
}

func (s spot) compare(o spot) int {
	return cmp.Or(cmp.Compare(s.at, o.at), cmp.Compare(s.name, o.name))
}

// circle holds the live instances in the order of their places on each ring.
type circle [rings][]spot

func (c *circle) add(name string) {
	for ring := range c {
		s := place(ring, name)
		if i, found := slices.BinarySearchFunc(c[ring], s, spot.compare); !found {
			c[ring] = slices.Insert(c[ring], i, s)
		}
	}
}

func (c *circle) remove(name string) {
	for ring := range c {
		if i, found := slices.BinarySearchFunc(c[ring], place(ring, name), spot.compare); found {
			c[ring] = slices.Delete(c[ring], i, i+1)
		}
	}
}

// successors calls visit with the names after name on a ring until it returns
// false or the ring is exhausted.
func (c *circle) successors(ring int, name string, visit func(string) bool) {
	spots := c[ring]
	i, found := slices.BinarySearchFunc(spots, place(ring, name), spot.compare)
	if found {
		i++
	}
	for n := range spots {
		next := spots[(i+n)%len(spots)].name
		if next == name || !visit(next) {
			return
		}
	}
}
