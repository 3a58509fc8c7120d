package route

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxConnections bounds the connections of one instance to one target. It
	// covers the slots of the target and a few waiting requests; more could not
	// run at once.
	maxConnections = 8
	// ownRegionShare is the share of a target's connections that its own region
	// gets when several regions use it. The others take overflow traffic.
	ownRegionShare = 0.75
	// subsetSize is the number of targets per instance and region that a subset
	// aims at: enough for power of two choices with some of them out of service.
	subsetSize = 20
)

// assignConnections returns the number of connections that this instance may
// hold to each target, zero for targets outside its subset. Instances with the
// same targets and peers compute the same assignment, so the connections of all
// instances to one target stay within the number that it accepts.
//
// The instances of one group (the target's region, or all other regions) are
// sorted by hash, and each target is assigned to a window of them. The windows
// of consecutive targets are adjacent, so instances get equal numbers of
// targets, and adding or removing an instance shifts each window by at most one.
func assignConnections(location Location, targets []Target, peers []Peer) []int {
	out := make([]int, len(targets))
	if len(targets) == 0 {
		return out
	}
	order := sortPeers(location, peers)
	regions := map[string][]int{}
	for i := range targets {
		regions[targets[i].Region] = append(regions[targets[i].Region], i)
	}
	// If a window does not cover the whole group, the windows for the targets of
	// different regions start at different ranks, so that they leave out
	// different instances.
	for index, region := range slices.Sorted(maps.Keys(regions)) {
		members := regions[region]
		slices.SortFunc(members, func(a, b int) int { return compareAddresses(targets[a], targets[b]) })
		ownRegion := region == location.Region
		rank, size, others := -1, 0, 0
		for _, p := range order {
			if (p.Region == region) != ownRegion {
				others++
				continue
			}
			if p.Instance == location.Instance {
				rank = size
			}
			size++
		}
		if rank < 0 {
			continue
		}
		rank = (rank + size*index/len(regions)) % size
		for position, i := range members {
			quota := groupQuota(targets[i].Connections, ownRegion, size, others)
			out[i] = windowConnections(rank, size, position, len(members), quota)
		}
	}
	return out
}

// groupQuota returns the number of a target's connections that a group of the
// given size shares. The instances of other regions get what ownRegionShare
// leaves, and more if every one of them needs that to get a connection.
func groupQuota(connections int, ownRegion bool, size, others int) int {
	if others == 0 {
		return connections
	}
	ownInstances, otherInstances := size, others
	if !ownRegion {
		ownInstances, otherInstances = others, size
	}
	otherQuota := max(connections-int(float64(connections)*ownRegionShare), min(otherInstances, connections-ownInstances))
	if ownRegion {
		return connections - otherQuota
	}
	return otherQuota
}

// windowConnections returns the connections of the instance with the given rank
// among size instances to the target at the given place among count targets.
func windowConnections(rank, size, place, count, quota int) int {
	if quota <= 0 {
		return 0
	}
	// Each instance reaches subsetSize targets if each target admits this many
	// instances.
	admitted := min(size, max(1, (size*min(subsetSize, count)+count-1)/count))
	admitted = min(admitted, quota)
	start := place * admitted % size
	if (rank-start+size)%size >= admitted {
		return 0
	}
	return min(maxConnections, quota/admitted)
}

// sortPeers returns the peers and this instance, sorted by hash.
func sortPeers(location Location, peers []Peer) []Peer {
	order := slices.Clone(peers)
	if !slices.ContainsFunc(order, func(p Peer) bool { return p.Instance == location.Instance }) {
		order = append(order, Peer{Instance: location.Instance, Region: location.Region})
	}
	slices.SortFunc(order, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Instance), xxhash.Sum64String(b.Instance)), cmp.Compare(a.Instance, b.Instance))
	})
	return order
}

func compareAddresses(a, b Target) int {
	x, y := a.Address.Addr().As16(), b.Address.Addr().As16()
	return cmp.Or(bytes.Compare(x[:], y[:]), cmp.Compare(a.Address.Port(), b.Address.Port()))
}
