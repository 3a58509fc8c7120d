package state

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/galenalock/galenalock/core/delta"
)

// digest identifies a submission or a key. It is SHA-256 truncated to 16 bytes,
// which makes collisions infeasible, accidental or deliberate.
type digest [16]byte

// change is a submission and the answer to it.
type change struct {
	Hash   digest    `cbor:"print"`
	Answer Submitted `cbor:"answer"`
}

// changes holds the answers to the last MaxChanges submissions.
type changes struct {
	table map[string]change
	order []string // oldest first
}

func (c *changes) add(id string, one change) {
	if _, ok := c.table[id]; !ok {
		c.order = append(c.order, id)
	}
	c.table[id] = one
	for len(c.order) > MaxChanges {
		delete(c.table, c.order[0])
		c.order = c.order[1:]
	}
}

func hashSubmission(s *Submit) digest {
	h := sha256.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], s.Base)
	h.Write(base[:])
	h.Write(s.Text)
	return digest(h.Sum(nil)[:16])
}

func (m *Machine) submit(s *Submit) *Submitted {
	if s.Rank > 0 {
		return m.submitRanked(s)
	}
	hash := hashSubmission(s)
	if first, ok := m.answered.table[s.Change]; ok && m.dedup(s.Change) {
		if first.Hash == hash {
			return &first.Answer
		}
		reused := first.Answer
		reused.Outcome = Reused
		return &reused
	}
	answer := Submitted{Outcome: Accepted, Time: m.now}
	newest := m.texts.newest()
	if s.Base == newest {
		m.texts.add(Revision{
			Number: newest + 1, Base: s.Base, Change: s.Change,
			Sum: delta.Sum(s.Text), Size: len(s.Text), Time: m.now, Rank: m.texts.rank(),
		}, s.Text)
		answer.Revision, answer.Change = newest+1, s.Change
	} else {
		answer.Outcome = Conflict
		answer.Revision = newest
		if s.Base < newest {
			answer.Revision = s.Base + 1
		}
		answer.Change = m.texts.changeID(answer.Revision)
	}
	answer.Newest = m.texts.newest()
	m.answered.add(s.Change, change{Hash: hash, Answer: answer})
	return &answer
}

// submitRanked handles a text whose order an external source defines. Answers
// need not be recorded to make a resend safe: its rank is no longer higher than
// the one in force, so it is answered with Held.
func (m *Machine) submitRanked(s *Submit) *Submitted {
	newest := m.texts.newest()
	answer := Submitted{Outcome: Held, Revision: newest, Newest: newest, Time: m.now}
	if s.Rank <= m.texts.rank() {
		answer.Change = m.texts.changeID(newest)
		return &answer
	}
	m.texts.add(Revision{
		Number: newest + 1, Base: newest, Change: s.Change, Rank: s.Rank,
		Sum: delta.Sum(s.Text), Size: len(s.Text), Time: m.now,
	}, s.Text)
	answer.Outcome, answer.Revision, answer.Newest, answer.Change = Accepted, newest+1, newest+1, s.Change
	return &answer
}
