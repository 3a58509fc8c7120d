package route

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// mostConnections bounds the connections of one instance to one target:
	// its slots and some that wait; more cannot run at once.
	mostConnections = 8
	// nearShare is the share of a target's connections that its own region
	// gets when several regions use it; the others serve spill.
	nearShare = 0.75
	// wanted is the number of targets per instance and distance that a
	// subset aims at: enough for power of two choices with some of them out.
	wanted = 20
)

// assign returns the number of connections that this instance may hold to each
// target, zero for targets outside its subset. Every instance computes the
// same table, so the connections of all instances to one target stay within
// what it accepts.
//
// The instances of one group (the target's region, or all others) stand in the
// order of their hashes, and each target takes a window of them. Windows of
// consecutive targets adjoin, so instances get equal numbers of targets, and
// an instance that comes or goes shifts each window by at most one.
func assign(here Here, targets []Target, peers []Peer) []int {
	out := make([]int, len(targets))
	order := sorted(here, peers)
	regions := map[string][]int{}
	for i := range targets {
		regions[targets[i].Region] = append(regions[targets[i].Region], i)
	}
	// Where the window of a group does not hold all of it, the windows of other
	// regions begin elsewhere in the order, so that they leave out others.
	for number, region := range slices.Sorted(maps.Keys(regions)) {
		members := regions[region]
		slices.SortFunc(members, func(a, b int) int { return compare(targets[a], targets[b]) })
		near := region == here.Region
		rank, size, others := -1, 0, 0
		for _, p := range order {
			if (p.Region == region) != near {
				others++
				continue
			}
			if p.Instance == here.Instance {
				rank = size
			}
			size++
		}
		if rank < 0 {
			continue
		}
		rank = (rank + size*number/len(regions)) % size
		for at, i := range members {
			quota := quota(targets[i].Connections, near, size, others)
			out[i] = window(rank, size, at, len(members), quota)
		}
	}
	return out
}

// quota is the number of a target's connections that a group of the given size
// shares. The instances of other regions get what nearShare leaves, and more
// when that takes to give every instance one.
func quota(connections int, near bool, size, others int) int {
	if others == 0 {
		return connections
	}
	home, away := size, others
	if !near {
		home, away = others, size
	}
	spare := max(connections-int(float64(connections)*nearShare), min(away, connections-home))
	if near {
		return connections - spare
	}
	return spare
}

// window returns the connections of the instance at a rank of size instances
// to the target at a place among count targets.
func window(rank, size, place, count, quota int) int {
	if quota <= 0 {
		return 0
	}
	// Each instance reaches the wanted number of targets when each target
	// admits this many instances.
	admitted := min(size, max(1, (size*min(wanted, count)+count-1)/count))
	admitted = min(admitted, quota)
	first := place * admitted % size
	if (rank-first+size)%size >= admitted {
		return 0
	}
	return min(mostConnections, quota/admitted)
}

func sorted(here Here, peers []Peer) []Peer {
	order := slices.Clone(peers)
	if !slices.ContainsFunc(order, func(p Peer) bool { return p.Instance == here.Instance }) {
		order = append(order, Peer{Instance: here.Instance, Region: here.Region})
	}
	slices.SortFunc(order, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Instance), xxhash.Sum64String(b.Instance)), cmp.Compare(a.Instance, b.Instance))
	})
	return order
}

func compare(a, b Target) int {
	x, y := a.Address.Addr().As16(), b.Address.Addr().As16()
	return cmp.Or(bytes.Compare(x[:], y[:]), cmp.Compare(a.Address.Port(), b.Address.Port()))
}
