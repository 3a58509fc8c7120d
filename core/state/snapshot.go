package state

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// Range of snapshot versions that can be restored. snapshotVersion is
// incremented when the format changes; version 1 had no targets.
const (
	firstVersion    = 1
	snapshotVersion = 2
)

type snapshot struct {
	Version   int                  `cbor:"version"`
	Index     uint64               `cbor:"index"`
	Now       time.Time            `cbor:"now"`
	Text      []byte               `cbor:"text"`
	Revisions []storedRevision     `cbor:"kept"`
	ChangeIDs []string             `cbor:"winners"`
	Changes   []savedChange        `cbor:"changes"` // oldest first
	Claims    []savedClaim         `cbor:"claims"`
	Retired   []savedRetired       `cbor:"retired"`
	Owners    map[string]*owner    `cbor:"owners"`
	Leases    []Lease              `cbor:"leases"`
	Sets      map[string]uint64    `cbor:"sets"`
	Drains    map[string]time.Time `cbor:"drains"`
	Targets   enrol.Saved          `cbor:"targets"`
}

type savedChange struct {
	ID     string `cbor:"id"`
	Change change `cbor:"change"`
}

// savedClaim and savedRetired are encoded as arrays of plain values. They make
// up most of a snapshot, and the replica is blocked while one is taken.
type savedClaim struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Key         string
	Hash        uint64
	Owner       string
	Incarnation [2]int64 // seconds and nanoseconds
	Attempt     uint64
	State       wire.ClaimState
	Created     int64 // Unix nanoseconds
	Until       int64 // Unix nanoseconds
	Answer      []byte
}

type savedRetired struct {
	_         struct{} `cbor:",toarray"`
	KeyDigest digest
	Hash      uint64
	Until     int64
	Unknown   bool
}

func saveClaim(key claimKey, c *claim) savedClaim {
	return savedClaim{
		Service: key.Service, Key: key.Key, Hash: c.Hash, Owner: c.Owner,
		Incarnation: [2]int64{c.Incarnation.Unix(), int64(c.Incarnation.Nanosecond())},
		Attempt:     c.Attempt, State: c.State, Created: c.Created.UnixNano(), Until: c.Until.UnixNano(), Answer: c.Answer,
	}
}

func (s *savedClaim) restore() (claimKey, *claim) {
	return claimKey{Service: s.Service, Key: s.Key}, &claim{
		Hash: s.Hash, Owner: s.Owner, Incarnation: time.Unix(s.Incarnation[0], s.Incarnation[1]).UTC(),
		Attempt: s.Attempt, State: s.State, Created: time.Unix(0, s.Created).UTC(), Until: time.Unix(0, s.Until).UTC(), Answer: s.Answer,
	}
}

// snapshotDecoder decodes snapshots. They come from the local disk or from
// another replica and may exceed the limits for messages.
var snapshotDecoder = newSnapshotDecoder()

func newSnapshotDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 30, MaxMapPairs: 1 << 30, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Snapshot returns the encoded state. The encoding is canonical: equal states
// give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{
		Version: snapshotVersion, Index: m.index, Now: m.now,
		Text: m.texts.text, Revisions: m.texts.revisions, ChangeIDs: m.texts.changeIDs,
		Owners: m.claims.owners, Leases: m.grants.list(), Sets: m.grants.sets, Drains: m.drains,
		Targets: m.enrol.Save(),
	}
	for _, id := range m.answered.order {
		s.Changes = append(s.Changes, savedChange{ID: id, Change: m.answered.table[id]})
	}
	keys := slices.SortedFunc(maps.Keys(m.claims.table), func(a, b claimKey) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Key, b.Key))
	})
	s.Claims = make([]savedClaim, 0, len(keys))
	for _, key := range keys {
		s.Claims = append(s.Claims, saveClaim(key, m.claims.table[key]))
	}
	digests := slices.SortedFunc(maps.Keys(m.claims.retired), func(a, b digest) int { return bytes.Compare(a[:], b[:]) })
	for _, keyDigest := range digests {
		r := m.claims.retired[keyDigest]
		s.Retired = append(s.Retired, savedRetired{KeyDigest: keyDigest, Hash: r.Hash, Until: r.Until, Unknown: r.Unknown})
	}
	return wire.Encode(s)
}

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := snapshotDecoder.Unmarshal(data, &s); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	if s.Version < firstVersion || s.Version > snapshotVersion {
		return eris.Errorf("unsupported snapshot version %d, want %d to %d", s.Version, firstVersion, snapshotVersion)
	}
	m.reset()
	m.index, m.now = s.Index, s.Now.UTC()
	m.texts = texts{text: s.Text, revisions: s.Revisions, changeIDs: s.ChangeIDs}
	for _, stored := range s.Revisions {
		m.texts.spliceBytes += len(stored.Reverse.Middle)
	}
	for _, c := range s.Changes {
		m.answered.add(c.ID, c.Change)
	}
	m.restoreClaims(&s)
	for _, lease := range s.Leases {
		m.grants.leases[leaseKey{lease.Service, lease.Target.Address, lease.Target.Start.UnixNano()}] = lease
	}
	if s.Sets != nil {
		m.grants.sets = s.Sets
	}
	m.grants.refresh()
	if s.Drains != nil {
		m.drains = s.Drains
	}
	m.rebuildDrained()
	m.enrol = enrol.Restore(s.Targets)
	return nil
}

func (m *Machine) restoreClaims(s *snapshot) {
	for name, o := range s.Owners {
		if o == nil {
			continue
		}
		o.running = map[claimKey]struct{}{}
		m.claims.owners[name] = o
		m.claims.expiries.addOwner(o.Seen.Add(ownerRetention), name)
	}
	for i := range s.Claims {
		m.claims.insert(s.Claims[i].restore())
	}
	for _, r := range s.Retired {
		m.claims.retire(r.KeyDigest, retiredClaim{Hash: r.Hash, Until: r.Until, Unknown: r.Unknown})
	}
}
