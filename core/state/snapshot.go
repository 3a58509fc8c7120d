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

// snapshotVersion is raised when the form of a snapshot changes. Version 1 had
// no targets.
const (
	firstVersion    = 1
	snapshotVersion = 2
)

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
	Targets enrol.Saved          `cbor:"targets"`
}

type savedChange struct {
	ID     string `cbor:"id"`
	Change change `cbor:"change"`
}

// savedClaim and savedRetired are arrays of plain values: they make up most of
// a snapshot, and the replica does nothing else while it is made.
type savedClaim struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Key         string
	Print       uint64
	Owner       string
	Incarnation [2]int64 // seconds and nanoseconds
	Attempt     uint64
	State       wire.ClaimState
	Made        int64 // Unix nanoseconds, as Until
	Until       int64
	Answer      []byte
}

type savedRetired struct {
	_     struct{} `cbor:",toarray"`
	Mark  digest
	Print uint64
	Until int64
	Lost  bool
}

func saveClaim(key claimKey, c *claim) savedClaim {
	return savedClaim{
		Service: key.Service, Key: key.Key, Print: c.Print, Owner: c.Owner,
		Incarnation: [2]int64{c.Incarnation.Unix(), int64(c.Incarnation.Nanosecond())},
		Attempt:     c.Attempt, State: c.State, Made: c.Made.UnixNano(), Until: c.Until.UnixNano(), Answer: c.Answer,
	}
}

func (s *savedClaim) restore() (claimKey, *claim) {
	return claimKey{Service: s.Service, Key: s.Key}, &claim{
		Print: s.Print, Owner: s.Owner, Incarnation: time.Unix(s.Incarnation[0], s.Incarnation[1]).UTC(),
		Attempt: s.Attempt, State: s.State, Made: time.Unix(0, s.Made).UTC(), Until: time.Unix(0, s.Until).UTC(), Answer: s.Answer,
	}
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
		Targets: m.enrol.Save(),
	}
	for _, id := range m.known.order {
		s.Changes = append(s.Changes, savedChange{ID: id, Change: m.known.table[id]})
	}
	keys := slices.SortedFunc(maps.Keys(m.claims.table), func(a, b claimKey) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Key, b.Key))
	})
	s.Claims = make([]savedClaim, 0, len(keys))
	for _, key := range keys {
		s.Claims = append(s.Claims, saveClaim(key, m.claims.table[key]))
	}
	marks := slices.SortedFunc(maps.Keys(m.claims.retired), func(a, b digest) int { return bytes.Compare(a[:], b[:]) })
	for _, mark := range marks {
		r := m.claims.retired[mark]
		s.Retired = append(s.Retired, savedRetired{Mark: mark, Print: r.Print, Until: r.Until, Lost: r.Lost})
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
	if s.Version < firstVersion || s.Version > snapshotVersion {
		return eris.Errorf("restore snapshot: version %d, want %d to %d", s.Version, firstVersion, snapshotVersion)
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
		m.claims.due.addOwner(o.Seen.Add(ownerRetention), name)
	}
	for i := range s.Claims {
		m.claims.put(s.Claims[i].restore())
	}
	for _, r := range s.Retired {
		m.claims.retire(r.Mark, retired{Print: r.Print, Until: r.Until, Lost: r.Lost})
	}
}
