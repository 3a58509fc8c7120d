package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ringCount is the number of hash rings. With three, the overlay stays connected
// when a third of the instances fails at once.
const ringCount = 3

// ringPosition is the position of an instance on one ring.
type ringPosition struct {
	hash uint64
	name string
}

func positionOf(ring int, name string) ringPosition {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write([]byte{byte(ring)}) // never fails
	_, _ = d.WriteString(name)
	return ringPosition{hash: d.Sum64(), name: name}
}

func (p ringPosition) compare(o ringPosition) int {
	return cmp.Or(cmp.Compare(p.hash, o.hash), cmp.Compare(p.name, o.name))
}

// hashRings holds the live instances on each ring, sorted by position.
type hashRings [ringCount][]ringPosition

func (h *hashRings) add(name string) {
	for ring := range h {
		p := positionOf(ring, name)
		if i, found := slices.BinarySearchFunc(h[ring], p, ringPosition.compare); !found {
			h[ring] = slices.Insert(h[ring], i, p)
		}
	}
}

func (h *hashRings) remove(name string) {
	for ring := range h {
		if i, found := slices.BinarySearchFunc(h[ring], positionOf(ring, name), ringPosition.compare); found {
			h[ring] = slices.Delete(h[ring], i, i+1)
		}
	}
}

// successors calls visit with the names that follow name on a ring, in order,
// until visit returns false or all were visited.
func (h *hashRings) successors(ring int, name string, visit func(string) bool) {
	positions := h[ring]
	i, found := slices.BinarySearchFunc(positions, positionOf(ring, name), ringPosition.compare)
	if found {
		i++
	}
	for n := range positions {
		next := positions[(i+n)%len(positions)].name
		if next == name || !visit(next) {
			return
		}
	}
}
