package reach

import (
	_ "embed" // path.chart
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/chart"
)

//go:embed path.chart
var pathChart string

// State is the state of the path. Its values are the states of the chart.
type State string

// The states.
const (
	Connected State = "connected" // targets are reached
	Stranded  State = "stranded"  // no target is reached, but another entry reaches one
	Isolated  State = "isolated"  // neither this entry nor another one reaches a target
)

// Action is an action of the chart.
type Action string

// The actions.
const (
	Forgive  Action = "forgive"  // forget failures of targets that the lost path explains
	Abandon  Action = "abandon"  // close idle connections, which may stay silent after the path is back
	Announce Action = "announce" // tell control of the new state
)

const (
	// SampleSize is the number of targets of which a check opens a connection.
	SampleSize = 4
	// minSample is the least number of targets that are evidence of a lost path.
	minSample = 3
	// maxUnreached is the number of targets that may be out of reach, with none
	// reached on a new connection since, before a check is due.
	maxUnreached = 2
	// QuietTime is the time without any contact after which one target out of reach
	// makes a check due.
	QuietTime = 500 * time.Millisecond
	// maxContactAge is the age up to which a response from a target shows that targets
	// are in use although none accepts new connections.
	maxContactAge = 2 * time.Second
	// checkGap is the least time between two checks while the path is not lost.
	checkGap = time.Second
	// minInterval and maxInterval bound the random time between two checks of a lost
	// path. The spread keeps entries that lost it together from returning together.
	minInterval = 300 * time.Millisecond
	maxInterval = 600 * time.Millisecond
)

// Tracker tracks the path of one entry to the targets.
type Tracker struct {
	state atomic.Pointer[State]

	mu          sync.Mutex
	machine     *chart.Machine
	unreached   map[netip.AddrPort]time.Time // last failure since a new connection worked
	lastContact time.Time
	checking    bool
	nextCheck   time.Time
}

// Chart returns the chart of the path after its checks.
func Chart() (*chart.Chart, error) {
	return chart.Parse(pathChart, string(Abandon), string(Announce), string(Forgive))
}

// New returns a tracker in the state Connected. The error is one of the chart.
func New() (*Tracker, error) {
	c, err := Chart()
	if err != nil {
		return nil, err
	}
	t := &Tracker{machine: c.NewMachine(), unreached: map[netip.AddrPort]time.Time{}}
	connected := Connected
	t.state.Store(&connected)
	return t, nil
}

// State returns the current state.
func (t *Tracker) State() State { return *t.state.Load() }

// InDoubt reports whether failures to reach a target may be due to the path.
func (t *Tracker) InDoubt() bool {
	if t.State() != Connected {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checking || len(t.unreached) >= maxUnreached
}

// Contact records bytes received from a target at a time that may have passed; opened
// tells that they arrived on a new connection.
func (t *Tracker) Contact(now time.Time, opened bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.lastContact) {
		t.lastContact = now
	}
	if !opened {
		return
	}
	for target, failed := range t.unreached {
		if !failed.After(now) {
			delete(t.unreached, target)
		}
	}
}

// Unreached records that no connection to a target could be opened, or that one was
// lost or stayed silent. It reports whether a check is due.
func (t *Tracker) Unreached(now time.Time, target netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreached[target] = now
	return t.due(now) && (len(t.unreached) >= maxUnreached || now.Sub(t.lastContact) >= QuietTime)
}

// Due reports whether a lost path is to be checked again.
func (t *Tracker) Due(now time.Time) bool {
	if t.State() == Connected {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.due(now)
}

// due reports whether a check may begin. The caller holds t.mu. A clock that was
// set back does not delay the check.
func (t *Tracker) due(now time.Time) bool {
	return !t.checking && (!now.Before(t.nextCheck) || t.nextCheck.Sub(now) > checkGap)
}

// Begin begins a check and reports whether none was running.
func (t *Tracker) Begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checking {
		return false
	}
	t.checking = true
	return true
}

// eventLost means that neither this entry nor another one reaches a target.
const eventLost = "lost"

// Result is the result of a check.
type Result struct {
	Sampled int  // targets to which a connection was tried
	Reached int  // of these, targets to which one could be opened
	Helped  bool // another entry reaches a target of the sample, or answers for this one
}

// event returns the event that a result stands for in a state, or "" if it proves
// nothing.
func (r Result) event(s State) string {
	switch {
	case s == Connected && r.Reached > 0, s != Connected && r.Sampled > 0 && 2*r.Reached >= r.Sampled:
		return "reached"
	case s == Connected && r.Sampled < minSample, r.Sampled == 0:
		return ""
	case r.Helped:
		return "helped"
	}
	return eventLost
}

// Finish ends a check. It returns the new state and the actions of the transition.
func (t *Tracker) Finish(now time.Time, r Result) (State, []Action) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checking = false
	t.nextCheck = now.Add(checkGap)
	before := t.State()
	event := r.event(before)
	if before == Connected && event == eventLost && now.Sub(t.lastContact) < maxContactAge {
		event = "" // targets accept no new connections, but answer on others
	}
	if event == "" {
		return before, nil
	}
	names, err := t.machine.Fire(event)
	if err != nil {
		return before, nil // the chart handles or ignores every event in every state
	}
	after := State(t.machine.State())
	t.state.Store(&after)
	if after == Connected {
		clear(t.unreached)
		t.lastContact = now
	} else {
		t.nextCheck = now.Add(minInterval + rand.N(maxInterval-minInterval))
	}
	actions := make([]Action, 0, len(names))
	for _, name := range names {
		actions = append(actions, Action(name))
	}
	return after, actions
}

// Sample chooses up to SampleSize targets: one of each service in turn, in random
// order. shuffle is a function like rand.Shuffle.
func Sample(services [][]netip.AddrPort, shuffle func(n int, swap func(i, j int))) []netip.AddrPort {
	lists, most := make([][]netip.AddrPort, len(services)), 0
	for i, targets := range services {
		list := slices.Clone(targets)
		shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		lists[i], most = list, max(most, len(list))
	}
	shuffle(len(lists), func(i, j int) { lists[i], lists[j] = lists[j], lists[i] })
	var out []netip.AddrPort
	for round := range min(most, SampleSize) {
		for _, list := range lists {
			if round < len(list) && len(out) < SampleSize {
				out = append(out, list[round])
			}
		}
	}
	return out
}
