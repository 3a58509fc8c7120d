package raft

import (
	"net/netip"
	"slices"

	"github.com/galenalock/galenalock/core/wire"
)

// Member is one replica in the group configuration.
type Member struct {
	ID          uint64         `cbor:"id"`
	Addr        netip.AddrPort `cbor:"addr"`
	Learner     bool           `cbor:"learner,omitempty"`     // receives the log but does not vote
	Joining     bool           `cbor:"joining,omitempty"`     // a learner that becomes a voter once it has caught up
	Incarnation uint64         `cbor:"incarnation,omitempty"` // identifier of the last data directory that the group admitted, zero for a founder's first one
}

// Members is the group configuration in ascending order of ID.
type Members []Member

// Find returns the member with the given ID.
func (m Members) Find(id uint64) (Member, bool) {
	for _, member := range m {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voting members.
func (m Members) Voters() int {
	count := 0
	for _, member := range m {
		if !member.Learner {
			count++
		}
	}
	return count
}

func (m Members) isVoter(id uint64) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

func (m Members) sorted() Members {
	out := slices.Clone(m)
	slices.SortFunc(out, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (m Members) with(member Member) Members {
	return append(m.without(member.ID), member).sorted()
}

func (m Members) without(id uint64) Members {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.ID == id })
}

// quorumValue returns the largest value that a majority of the voters reaches or
// exceeds.
func (m Members) quorumValue(value func(id uint64) uint64) uint64 {
	values := make([]uint64, 0, len(m))
	for _, member := range m {
		if !member.Learner {
			values = append(values, value(member.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (m Members) encode() []byte {
	data, err := wire.Encode(m)
	if err != nil {
		panic(err) // a Members value holds only encodable fields
	}
	return data
}

func decodeMembers(data []byte) (Members, error) {
	var m Members
	if err := wire.Decode(data, &m); err != nil {
		return nil, err
	}
	return m, nil
}
