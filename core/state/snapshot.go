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

	"github.com/galenalock/galenalock/core/wire"
)

// snapshotVersion is raised when the form of a snapshot changes.
const snapshotVersion = 1

type snapshot struct {
	Version int                  `cbor:"version"`
	Index   uint64               `cbor:"index"`
	Now     time.Time            `cbor:"now"`
	Text    []byte               `cbor:"text"`
	Kept    []kept               `cbor:"kept"`
	Winners []string             `cbor:"winners"`
	Changes []savedChange        `cbor:"changes"` // oldest first
	Claims  []savedClaim         `cbor:"claims"`
	Retired []savedRetired       `cbor:"retired"`
	Owners  map[string]*owner    `cbor:"owners"`
	Leases  []Lease              `cbor:"leases"`
	Sets    map[string]uint64    `cbor:"sets"`
	Drains  map[string]time.Time `cbor:"drains"`
}

type savedChange struct {
	ID     string `cbor:"id"`
	Change change `cbor:"change"`
}

type savedClaim struct {
	Key   claimKey `cbor:"key"`
	Claim *claim   `cbor:"claim"`
}

type savedRetired struct {
	Mark    digest  `cbor:"mark"`
	Retired retired `cbor:"retired"`
}

// large decodes snapshots, which come from this process's own disk or from
// another replica and exceed the bounds of a message.
var large = mustLarge()

func mustLarge() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 30, MaxMapPairs: 1 << 30, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Snapshot returns the whole state in a form that is equal for equal states.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{
		Version: snapshotVersion, Index: m.index, Now: m.now,
		Text: m.texts.text, Kept: m.texts.kept, Winners: m.texts.winners,
		Owners: m.claims.owners, Leases: m.grants.list(), Sets: m.grants.sets, Drains: m.drains,
	}
	for _, id := range m.known.order {
		s.Changes = append(s.Changes, savedChange{ID: id, Change: m.known.table[id]})
	}
	keys := slices.SortedFunc(maps.Keys(m.claims.table), func(a, b claimKey) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Key, b.Key))
	})
	for _, key := range keys {
		s.Claims = append(s.Claims, savedClaim{Key: key, Claim: m.claims.table[key]})
	}
	marks := slices.SortedFunc(maps.Keys(m.claims.retired), func(a, b digest) int { return bytes.Compare(a[:], b[:]) })
	for _, mark := range marks {
		s.Retired = append(s.Retired, savedRetired{Mark: mark, Retired: m.claims.retired[mark]})
	}
	return wire.Encode(s)
}

// Restore replaces the state by a snapshot. On an error the state is as
// before.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := large.Unmarshal(data, &s); err != nil {
		return eris.Wrap(err, "restore snapshot")
	}
	if s.Version != snapshotVersion {
		return eris.Errorf("restore snapshot: version %d, want %d", s.Version, snapshotVersion)
	}
	m.reset()
	m.index, m.now = s.Index, s.Now.UTC()
	m.texts = texts{text: s.Text, kept: s.Kept, winners: s.Winners}
	for _, k := range s.Kept {
		m.texts.stored += len(k.Back.Middle)
	}
	for _, c := range s.Changes {
		m.known.add(c.ID, c.Change)
	}
	m.restoreClaims(&s)
	for _, lease := range s.Leases {
		m.grants.leases[leaseKey{lease.Service, lease.Target.Address, lease.Target.Start.UnixNano()}] = lease
	}
	if s.Sets != nil {
		m.grants.sets = s.Sets
	}
	m.grants.schedule()
	if s.Drains != nil {
		m.drains = s.Drains
	}
	m.listDrains()
	return nil
}

func (m *Machine) restoreClaims(s *snapshot) {
	for name, o := range s.Owners {
		if o == nil {
			continue
		}
		o.running = map[claimKey]struct{}{}
		m.claims.owners[name] = o
		m.claims.due.add(dueItem{at: o.Seen.Add(ownerRetention), owner: name})
	}
	for _, c := range s.Claims {
		if c.Claim != nil {
			m.claims.put(c.Key, c.Claim)
		}
	}
	for _, r := range s.Retired {
		m.claims.retire(r.Mark, r.Retired)
	}
}
