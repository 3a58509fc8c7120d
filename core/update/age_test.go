package update_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/update"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	revoke  = 5 * time.Second
	step    = 50 * time.Millisecond
	latency = step // one way
)

// ageVariant is a variant of the age of the view that a test shows to be unsafe.
type ageVariant struct {
	unbounded         bool
	stopsInSuspension bool // the clock
	fromAnswer        bool // the age counts from the answer
	anyRevision       bool // an answer that names a later revision confirms the view as well
}

// ageModel is an entry with links to three replicas. Control withdraws the only key of
// revision 1 with revision 2. Time zero is the start of the machine.
type ageModel struct {
	variant     ageVariant
	unreadable  bool          // the entry cannot parse revision 2
	now         time.Duration // of a clock that counts suspension
	suspended   time.Duration // total; while now is below resume, the entry does nothing
	resume      time.Duration
	cutTo       bool // messages to control are lost
	cutFrom     bool // messages from control arrive after the link is healed
	number      uint64
	withdrawnAt time.Duration
	stored      uint64
	process     int
	queue       []modelMessage
	core        *update.Core
	age         *update.Age
	confirmer   *update.Confirmer
}

type modelMessage struct {
	at       time.Duration
	toEntry  bool
	process  int
	received func()
}

func (m *ageModel) monotonic() time.Time { return start.Add(m.now - m.suspended) }

func (m *ageModel) clock() time.Duration {
	if m.variant.stopsInSuspension {
		return m.now - m.suspended
	}
	return m.now
}

func (m *ageModel) restart() {
	m.process++
	m.core = update.New(m.monotonic())
	m.age = update.NewAge(revoke)
	if m.variant.unbounded {
		m.age = update.NewAge(0)
	}
	m.confirmer = update.NewConfirmer(30 * time.Second)
	m.confirmer.SetFrequent(update.FrequentInterval(revoke))
	if m.stored > 0 {
		m.install(m.stored)
	}
}

func (m *ageModel) install(number uint64) {
	if m.unreadable && number == 2 {
		return
	}
	key := spec.NewKey(fmt.Sprint("key-", number))
	text := fmt.Appendf(nil, "%s\n[[workspace]]\nname = \"w\"\nkeys = [\"sha256:%s\"]\n", text(1), key.Digest)
	if m.core.Restore(number, text) == nil && m.core.Number() >= number {
		m.stored = number
		m.age.Apply(number)
	}
}

func (m *ageModel) send(toEntry bool, received func()) {
	if toEntry || !m.cutTo {
		m.queue = append(m.queue, modelMessage{m.now + latency, toEntry, m.process, received})
	}
}

// step advances the model and reports whether the withdrawn key is accepted now.
func (m *ageModel) step() (accepted bool) {
	m.now += step
	frozen := m.now < m.resume
	if frozen {
		m.suspended += step
	}
	due := []modelMessage{}
	m.queue = slices.DeleteFunc(m.queue, func(q modelMessage) bool {
		arrives := m.now >= q.at && (!q.toEntry || !m.cutFrom && !frozen)
		if arrives {
			due = append(due, q)
		}
		return arrives
	})
	for _, q := range due {
		if q.process == m.process || !q.toEntry {
			q.received()
		}
	}
	if frozen {
		return false
	}
	if _, ok := m.confirmer.Ask(m.monotonic(), m.core.Ready(m.monotonic()), []string{"a", "b", "c"}); ok {
		asked, askedAt := m.clock(), m.monotonic()
		m.send(false, func() {
			number := m.number
			m.send(true, func() {
				if m.variant.fromAnswer {
					asked = m.clock()
				}
				m.confirmer.Confirmed(askedAt)
				m.core.Confirm(m.monotonic(), wire.Confirmed{Number: number})
				newest := number
				if m.variant.anyRevision {
					newest = m.core.Number()
				}
				m.age.Confirm(asked, newest)
			})
			m.send(true, func() { m.install(number) })
		})
		for _, replica := range []string{"a", "b", "c"} {
			m.confirmer.Answered(replica) // a new call may be made at any time
		}
	}
	known := m.core.Text() != nil && m.core.Text().WorkspaceOfKey(spec.DigestKey("key-1")) != nil
	return m.core.Ready(m.monotonic()) && known && m.age.Freshness(m.clock()) != update.Outdated
}

// lastAccepted returns how long after its withdrawal a key is accepted, if the events
// happen in this order at these intervals.
func lastAccepted(variant ageVariant, order []int, gap time.Duration, unreadable bool) time.Duration {
	m := &ageModel{variant: variant, unreadable: unreadable, now: time.Hour, number: 1}
	m.restart()
	events := []func(){
		func() { m.cutTo = true },
		func() { m.cutFrom = true },
		func() { m.restart() },
		func() { m.number, m.withdrawnAt = 2, m.now },
		func() { m.resume = m.now + 6*time.Second },
		func() { m.cutTo, m.cutFrom = false, false },
	}
	last := time.Duration(0)
	for i := 0; i <= len(order); i++ {
		for range int(gap/step) + 1 {
			if accepted := m.step(); accepted && m.withdrawnAt > 0 {
				last = m.now - m.withdrawnAt
			}
		}
		if i < len(order) {
			events[order[i]]()
		}
	}
	for range int(12 * time.Second / step) {
		if m.step() {
			last = m.now - m.withdrawnAt
		}
	}
	return last
}

// Guards against a withdrawn key that lets a request run, whatever the order of cuts in
// both directions, a restart, the withdrawal, a suspension and the end of the cuts, and
// also if the entry cannot parse the withdrawing configuration. Each variant without a part
// of the rule accepts the key too late in some order.
func TestWithdrawnKeyIsRefusedInEveryOrder(t *testing.T) {
	worst := func(variant ageVariant) (worst time.Duration) {
		for _, gap := range []time.Duration{0, 450 * time.Millisecond, 2 * time.Second, 4500 * time.Millisecond} {
			permutations([]int{0, 1, 2, 3, 4, 5}, 0, func(order []int) {
				if worst <= revoke { // one order shows that a variant fails
					worst = max(worst, lastAccepted(variant, order, gap, false), lastAccepted(variant, order, gap, true))
				}
			})
		}
		return worst
	}
	is := is.New(t)
	is.True(worst(ageVariant{}) < revoke)
	is.True(worst(ageVariant{unbounded: true}) > revoke)
	is.True(worst(ageVariant{stopsInSuspension: true}) > revoke)
	is.True(worst(ageVariant{fromAnswer: true}) > revoke)
	is.True(worst(ageVariant{anyRevision: true}) > revoke)
}

// Guards against an entry in touch that refuses known keys or cannot tell unknown ones,
// and against one that stops to serve less than 0.6 of the bound after it was cut off.
func TestEntryServesKeysWhileInTouch(t *testing.T) {
	is := is.New(t)
	m := &ageModel{now: time.Hour, number: 1}
	m.restart()
	for range int(30 * time.Second / step) {
		m.step()
		is.True(m.now < time.Hour+time.Second || m.age.Freshness(m.now) == update.Newest)
	}
	m.cutTo = true
	for range int(revoke * 6 / 10 / step) {
		is.True(m.step())
	}
	is.True(m.age.Freshness(m.now) == update.Usable)
}

// permutations calls f with every order of the elements from position i on.
func permutations(elements []int, i int, f func([]int)) {
	if i == len(elements) {
		f(elements)
		return
	}
	for j := i; j < len(elements); j++ {
		elements[i], elements[j] = elements[j], elements[i]
		permutations(elements, i+1, f)
		elements[i], elements[j] = elements[j], elements[i]
	}
}
