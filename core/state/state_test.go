package state_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// apply encodes a command, applies it and decodes the result, as the log does.
func apply(m *state.Machine, index uint64, c state.Command) (state.Result, error) {
	var result state.Result
	data, err := wire.Encode(c)
	if err != nil {
		return result, err
	}
	err = wire.Decode(m.Apply(index, data), &result)
	return result, err
}

// compareWithModel runs a random schedule of commands through the machine and the
// model, restores the machine from a snapshot at random steps, and returns the
// first difference.
func compareWithModel(seed uint64, steps int, opts ...state.Option) error {
	r := rand.New(rand.NewPCG(seed, 0))
	reference, m := newModel(), state.New(opts...)
	revision := uint64(0)
	for i := range steps {
		c := randomCommand(r, reference)
		want := reference.apply(c)
		got, err := apply(m, uint64(i+1), c)
		if err != nil {
			return err
		}
		if c.Close != nil && want.Claimed == nil {
			got.Claimed = nil
		}
		if !reflect.DeepEqual(want, got) {
			return fmt.Errorf("seed %d, step %d, %s %+v: got %+v %+v, want %+v %+v", seed, i, c.Kind(),
				c.Claim, got.Submitted, got.Claimed, want.Submitted, want.Claimed)
		}
		if n := m.View().Newest().Number; n < revision {
			return fmt.Errorf("seed %d, step %d: revision decreased from %d to %d", seed, i, revision, n)
		}
		revision = m.View().Newest().Number
		if r.IntN(20) == 0 {
			data, err := m.Snapshot()
			if err != nil {
				return err
			}
			m = state.New(opts...)
			if err := m.Restore(data); err != nil {
				return err
			}
			again, err := m.Snapshot()
			if err != nil {
				return err
			}
			if !bytes.Equal(data, again) {
				return fmt.Errorf("seed %d, step %d: snapshot differs after restore", seed, i)
			}
		}
	}
	return nil
}

// Guards against any result that differs from the model's: a key granted twice,
// a grant of a claim of unknown outcome, a new answer to a resend, a decreasing
// revision, state lost in a snapshot.
func TestMachineEqualsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := compareWithModel(rapid.Uint64().Draw(t, "seed"), 300); err != nil {
			t.Fatal(err)
		}
	})
}

// countDoubleGrants runs a random schedule of commands and counts the grants of a
// key that another attempt had been granted, had not released and whose
// retention had not ended.
func countDoubleGrants(seed uint64, opts ...state.Option) (int, error) {
	r := rand.New(rand.NewPCG(seed, 0))
	reference, m := newModel(), state.New(opts...)
	type holder struct {
		attempt string
		at      time.Time
	}
	holders := map[string]holder{}
	count := 0
	for i := range 2000 {
		c := randomCommand(r, reference)
		reference.apply(c)
		got, err := apply(m, uint64(i+1), c)
		if err != nil {
			return 0, err
		}
		switch {
		case c.Claim != nil && got.Claimed.State == wire.ClaimGranted:
			now := holder{attempt: fmt.Sprint(c.Claim.Owner, c.Claim.Incarnation, c.Claim.Attempt), at: m.View().Time}
			before, held := holders[c.Claim.Key]
			if held && before.attempt != now.attempt && now.at.Sub(before.at) < state.KeyRetention {
				count++
			}
			if !held || before.attempt != now.attempt {
				holders[c.Claim.Key] = now
			}
		case c.Close != nil && got.Claimed.State == wire.ClaimReleased:
			if holders[c.Close.Key].attempt == fmt.Sprint(c.Close.Owner, c.Close.Incarnation, c.Close.Attempt) {
				delete(holders, c.Close.Key)
			}
		}
	}
	return count, nil
}

// Guards against dispatching a non-repeatable request twice because its key was
// granted to two attempts.
func TestNoKeyIsGrantedTwice(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		repeated, err := countDoubleGrants(seed, state.WithLock(func(_, _ string) bool { return false }))
		is.NoErr(err)
		is.True(repeated > 0) // without the lock the same schedule grants keys twice
		got, err := countDoubleGrants(seed)
		is.NoErr(err)
		is.Equal(got, 0)
	}
}

// resend submits a change, then 500 others, and the first one again after a
// snapshot and restore. It returns the first and the last answer.
func resend(seed uint64, opts ...state.Option) (first, last state.Submitted, err error) {
	r := rand.New(rand.NewPCG(seed, 0))
	m := state.New(opts...)
	submit := func(i int, s state.Submit) *state.Submitted {
		got, e := apply(m, uint64(i), state.Command{Time: epoch.Add(time.Duration(i) * time.Second), Submit: &s})
		if e != nil {
			err = e
			return &state.Submitted{}
		}
		return got.Submitted
	}
	lost := state.Submit{Change: "lost", Text: fmt.Appendf(nil, "text %d", r.Uint64())}
	first = *submit(1, lost)
	for i := range 500 {
		submit(i+2, state.Submit{Base: uint64(i + 1), Change: fmt.Sprint("c", i), Text: fmt.Appendf(nil, "text %d", r.Uint64())})
	}
	data, e := m.Snapshot()
	m = state.New(opts...)
	if e != nil || m.Restore(data) != nil {
		return first, last, fmt.Errorf("snapshot: %w", e)
	}
	return first, *submit(502, lost), err
}

// Guards against answering a resent change with a conflict, or applying it
// again, after its first answer was lost.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		first, last, err := resend(seed, state.WithDedup(func(string) bool { return false }))
		is.NoErr(err)
		is.True(first != last) // without deduplication the resend gets a conflict
		first, last, err = resend(seed)
		is.NoErr(err)
		is.Equal(first, last)
		is.Equal(first.Outcome, state.Accepted)
	}
}

// Guards against a history whose text differs from the submitted one.
func TestHistoryKeepsTexts(t *testing.T) {
	is := is.New(t)
	m := state.New()
	for i := range uint64(100) {
		_, err := apply(m, i+1, state.Command{Time: epoch, Submit: &state.Submit{Base: i, Change: fmt.Sprint(i), Text: fmt.Appendf(nil, "a\nrevision %d\nz", i+1)}})
		is.NoErr(err)
	}
	history := m.View().History()
	is.Equal(len(history), state.MaxRevisions)
	for _, h := range history {
		text, ok := m.View().Text(h.Number)
		is.True(ok)
		is.Equal(string(text), fmt.Sprintf("a\nrevision %d\nz", h.Number))
	}
	_, ok := m.View().Text(100 - state.MaxRevisions)
	is.True(!ok)
}

// Guards against dropping a lease while an entry may still act on it, and
// against accepting a grant that was based on an older set.
func TestLeases(t *testing.T) {
	is := is.New(t)
	m := state.New()
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	grant := func(at, set int, targets ...netip.AddrPort) *state.Granted {
		c := &state.Grant{Service: "s", Set: uint64(set), Lease: 10 * time.Second}
		for _, t := range targets {
			c.Targets = append(c.Targets, state.Target{Address: t, Start: epoch})
		}
		got, err := apply(m, 1, state.Command{Time: epoch.Add(time.Duration(at) * time.Second), Grant: c})
		is.NoErr(err)
		return got.Granted
	}
	is.True(grant(0, 0, a).Applied)
	is.True(!grant(1, 0, b).Applied)
	is.True(grant(3, 1, b).Applied)
	leases := m.View().Leases
	is.Equal(len(leases), 2)
	is.True(!leases[0].Current && leases[1].Current)
	is.Equal(m.View().NextExpiry, epoch.Add(10*time.Second))
	_, err := apply(m, 2, state.Command{Time: epoch.Add(10 * time.Second), Withdraw: &state.Withdraw{Service: "s", Targets: []netip.AddrPort{b}}})
	is.NoErr(err)
	leases = m.View().Leases
	is.Equal(len(leases), 1)
	is.True(!leases[0].Current)
}

// Guards against commands that crash a replica (all replicas apply the same log,
// so each would crash), and against state that a snapshot does not restore.
func FuzzApply(f *testing.F) {
	r := rand.New(rand.NewPCG(1, 2))
	m := newModel()
	for range 20 {
		c := randomCommand(r, m)
		m.apply(c)
		data, err := wire.Encode(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, one, two []byte) {
		m, other := state.New(), state.New()
		m.Apply(1, one)
		data, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := other.Restore(data); err != nil {
			t.Fatal(err)
		}
		if a, b := m.Apply(2, two), other.Apply(2, two); !bytes.Equal(a, b) {
			t.Fatalf("results differ after restore: %x, %x", a, b)
		}
		a, errA := m.Snapshot()
		b, errB := other.Snapshot()
		if errA != nil || errB != nil || !bytes.Equal(a, b) {
			t.Fatalf("snapshots differ after restore: %v %v", errA, errB)
		}
	})
}

// Guards against storing answers that exceed the limits.
func TestLargeAnswersAreNotStored(t *testing.T) {
	is := is.New(t)
	m := state.New()
	for name, size := range map[string][2]int{"whole": {wire.MaxAnswer, 10}, "body": {wire.MaxAnswer + 1, 10}, "header": {10, state.MaxHeaderBytes + wire.MaxAnswer}} {
		claim := wire.Claim{Service: "s", Key: name, Owner: "e", Attempt: 1, Expires: time.Minute}
		_, err := apply(m, 1, state.Command{Time: epoch, Claim: &claim})
		is.NoErr(err)
		answer := &wire.Answer{Status: 200, Header: map[string][]string{"H": {string(bytes.Repeat([]byte("h"), size[1]))}}, Body: make([]byte, size[0]), Stored: true}
		_, err = apply(m, 2, state.Command{Time: epoch, Close: &wire.Close{Service: "s", Key: name, Owner: "e", Attempt: 1, Outcome: wire.OutcomeDone, Answer: answer}})
		is.NoErr(err)
		got, err := apply(m, 3, state.Command{Time: epoch, Claim: &claim})
		is.NoErr(err)
		is.Equal(got.Claimed.State, wire.ClaimDone)
		is.Equal(got.Claimed.Answer.Status, 200)
		is.Equal(got.Claimed.Answer.Stored, name == "whole")
		is.Equal(got.Claimed.Answer.Header == nil, name == "header")
	}
}
