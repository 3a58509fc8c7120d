package state_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// modelClaim is the record of a claim in the model.
type modelClaim struct {
	claim  wire.Claim
	state  wire.ClaimState
	made   time.Time
	closed time.Time
	answer *wire.Answer
}

// model is the reference implementation of the machine. It has no snapshots or
// views, never deletes a record and scans all of them for each command.
type model struct {
	now     time.Time
	claims  map[[2]string]*modelClaim
	owners  map[string]time.Time // latest incarnation
	seen    map[string]time.Time // time of the latest claim
	first   map[string]state.Submit
	answers map[string]state.Submitted
	changes []string
}

func newModel() *model {
	return &model{claims: map[[2]string]*modelClaim{}, owners: map[string]time.Time{}, seen: map[string]time.Time{}, first: map[string]state.Submit{}, answers: map[string]state.Submitted{}}
}

func (m *model) apply(c state.Command) state.Result {
	if c.Time.After(m.now) {
		m.now = c.Time
	}
	for _, p := range m.claims {
		if p.state == wire.ClaimRunning && !p.made.Add(p.claim.Expires).After(m.now) {
			p.state = wire.ClaimUnknown
		}
	}
	switch {
	case c.Submit != nil:
		return state.Result{Submitted: m.submit(*c.Submit)}
	case c.Claim != nil:
		return state.Result{Claimed: m.claim(*c.Claim)}
	case c.Close != nil:
		return state.Result{Claimed: m.close(*c.Close)}
	}
	return state.Result{}
}

func (m *model) submit(s state.Submit) *state.Submitted {
	if first, ok := m.first[s.Change]; ok {
		answer := m.answers[s.Change]
		if first.Base != s.Base || !bytes.Equal(first.Text, s.Text) {
			answer.Outcome = state.Reused
		}
		return &answer
	}
	answer := state.Submitted{Outcome: state.Accepted, Time: m.now}
	switch newest := uint64(len(m.changes)); {
	case s.Base == newest:
		m.changes = append(m.changes, s.Change)
		answer.Revision, answer.Change = newest+1, s.Change
	case s.Base < newest:
		answer.Outcome, answer.Revision, answer.Change = state.Conflict, s.Base+1, m.changes[s.Base]
	default:
		answer.Outcome, answer.Revision = state.Conflict, newest
		if newest > 0 {
			answer.Change = m.changes[newest-1]
		}
	}
	answer.Newest = uint64(len(m.changes))
	m.first[s.Change], m.answers[s.Change] = s, answer
	return &answer
}

func (m *model) claim(c wire.Claim) *wire.Claimed {
	if !m.seen[c.Owner].Add(state.KeyRetention).After(m.now) {
		delete(m.owners, c.Owner) // owners expire after the same time as keys
	}
	m.seen[c.Owner] = m.now
	if last, ok := m.owners[c.Owner]; !ok || c.Incarnation.After(last) {
		m.owners[c.Owner] = c.Incarnation
		for _, p := range m.claims {
			if p.state == wire.ClaimRunning && p.claim.Owner == c.Owner && p.claim.Incarnation.Before(c.Incarnation) {
				p.state = wire.ClaimUnknown
			}
		}
	}
	p := m.claims[[2]string{c.Service, c.Key}]
	same := p != nil && p.claim.Owner == c.Owner && p.claim.Incarnation.Equal(c.Incarnation) && p.claim.Attempt == c.Attempt
	old := p != nil && !p.made.Add(state.KeyRetention).After(m.now)
	switch {
	case p == nil || p.state == wire.ClaimReleased && !same || p.state == wire.ClaimDone && old:
	case p.state == wire.ClaimReleased && p.closed.Add(10*time.Minute).After(m.now):
		return &wire.Claimed{State: wire.ClaimReleased}
	case p.state == wire.ClaimReleased:
	case p.claim.Fingerprint != c.Fingerprint:
		return &wire.Claimed{State: wire.ClaimMismatch}
	case p.state == wire.ClaimRunning && same:
		return &wire.Claimed{State: wire.ClaimGranted}
	case p.state == wire.ClaimDone && !p.closed.Add(state.AnswerRetention).After(m.now):
		return &wire.Claimed{State: wire.ClaimExpired}
	default:
		return &wire.Claimed{State: p.state, Answer: p.answer}
	}
	m.claims[[2]string{c.Service, c.Key}] = &modelClaim{claim: c, state: wire.ClaimRunning, made: m.now}
	return &wire.Claimed{State: wire.ClaimGranted}
}

// close executes a Close. It returns nil where the answer is not compared: for a
// Close by an attempt that does not hold the claim.
func (m *model) close(c wire.Close) *wire.Claimed {
	key := [2]string{c.Service, c.Key}
	p := m.claims[key]
	owner := wire.Claim{Service: c.Service, Key: c.Key, Owner: c.Owner, Incarnation: c.Incarnation, Attempt: c.Attempt}
	old := p != nil && !p.made.Add(state.KeyRetention).After(m.now)
	released := p != nil && p.state == wire.ClaimReleased && !p.closed.Add(10*time.Minute).After(m.now)
	switch {
	case p == nil || released || p.state == wire.ClaimDone && old:
		if c.Outcome == wire.OutcomeReleased {
			m.claims[key] = &modelClaim{claim: owner, state: wire.ClaimReleased, made: m.now, closed: m.now}
		}
		return nil
	case p.claim.Owner != c.Owner || !p.claim.Incarnation.Equal(c.Incarnation) || p.claim.Attempt != c.Attempt:
		return nil
	case p.state == wire.ClaimDone && !p.closed.Add(state.AnswerRetention).After(m.now):
		return &wire.Claimed{State: wire.ClaimExpired}
	case c.Outcome == wire.OutcomeDone && (p.state == wire.ClaimRunning || p.state == wire.ClaimUnknown && !old):
		p.state, p.closed, p.answer = wire.ClaimDone, m.now, c.Answer
	case c.Outcome == wire.OutcomeReleased && p.state == wire.ClaimRunning:
		p.state, p.closed = wire.ClaimReleased, m.now
	case c.Outcome == wire.OutcomeUnknown && p.state == wire.ClaimRunning:
		p.state = wire.ClaimUnknown
	}
	return &wire.Claimed{State: p.state}
}

// randomCommand draws a command over few keys, owners and identifiers, so that
// collisions are frequent. Time advances by seconds, minutes or many hours, and
// sometimes goes back.
func randomCommand(r *rand.Rand, m *model) state.Command {
	jumps := []time.Duration{0, time.Second, 20 * time.Second, 11 * time.Minute, 5 * time.Hour, 25 * time.Hour, -time.Hour}
	now := m.now
	if now.IsZero() {
		now = epoch
	}
	c := state.Command{Time: now.Add(jumps[min(r.IntN(14), r.IntN(len(jumps)))%len(jumps)])}
	incarnation := epoch.Add(time.Duration(r.IntN(3)) * time.Hour)
	key, owner, attempt := fmt.Sprint("k", r.IntN(4)), fmt.Sprint("e", r.IntN(3)), r.Uint64N(3)
	switch r.IntN(5) {
	case 0, 1:
		c.Claim = &wire.Claim{
			Service: "s", Key: key, Fingerprint: uint64(r.IntN(8) / 7), Owner: owner,
			Incarnation: incarnation, Attempt: attempt, Expires: 30 * time.Second,
		}
	case 2, 3:
		outcome := []wire.Outcome{wire.OutcomeDone, wire.OutcomeReleased, wire.OutcomeUnknown}[r.IntN(3)]
		c.Close = &wire.Close{Service: "s", Key: key, Owner: owner, Incarnation: incarnation, Attempt: attempt, Outcome: outcome}
		if p := m.claims[[2]string{"s", key}]; p != nil && r.IntN(2) == 0 {
			c.Close.Owner, c.Close.Incarnation, c.Close.Attempt = p.claim.Owner, p.claim.Incarnation, p.claim.Attempt
		}
		if outcome == wire.OutcomeDone {
			c.Close.Answer = &wire.Answer{Status: 201, Body: []byte(key), Stored: true}
		}
	default:
		base := uint64(max(0, len(m.changes)-r.IntN(3)+r.IntN(2)))
		c.Submit = &state.Submit{Base: base, Change: fmt.Sprint("c", r.IntN(40)), Text: fmt.Appendf(nil, "text %d", r.IntN(2))}
		if first, ok := m.first[c.Submit.Change]; ok && r.IntN(2) == 0 {
			c.Submit = &first
		}
	}
	return c
}
