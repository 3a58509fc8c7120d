package update

import (
	"errors"
	"time"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
)

// ControlWait is how long a started instance waits for a control replica that
// confirms the newest revision with its majority. After it the peers decide.
const ControlWait = 3 * time.Second

// pullTimeout is how long an unanswered pull keeps a started instance from
// being ready; the peer is then taken as out of reach.
const pullTimeout = 2 * time.Second

// Core holds the revision in force. It is not safe for concurrent use.
type Core struct {
	keeper  delta.Keeper
	parsed  *spec.Text
	started time.Time

	confirmed   bool // a majority has named its newest revision since the start
	wanted      uint64
	confirmedAt time.Time
	pulls       map[string]time.Time // peers that have not answered, by instance
	ready       bool
	controlOnly bool
	lower       func(number, current uint64) bool
}

// Option changes a core.
type Option func(*Core)

// WithControlOnly makes the confirmation of a control replica the only way to
// become ready, for instances that have no peers to ask.
func WithControlOnly() Option { return func(c *Core) { c.controlOnly = true } }

// WithLower sets what decides whether a revision is refused as not higher than
// the current one. Only tests replace it, to show what the rule prevents.
func WithLower(refuse func(number, current uint64) bool) Option {
	return func(c *Core) { c.lower = refuse }
}

// New returns a core for an instance that starts now.
func New(now time.Time, opts ...Option) *Core {
	c := &Core{
		started: now,
		pulls:   map[string]time.Time{},
		lower:   func(number, current uint64) bool { return number <= current },
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Restore installs the copy that the instance kept before it stopped. A copy
// that cannot be read is an error and leaves the core empty.
func (c *Core) Restore(number uint64, text []byte) error {
	_, err := c.install(number, text)
	return err
}

// Number returns the revision in force, 0 for none.
func (c *Core) Number() uint64 { return c.keeper.Number() }

// Text returns the parsed text in force, or nil.
func (c *Core) Text() *spec.Text { return c.parsed }

// Source returns the text in force as it was submitted.
func (c *Core) Source() []byte { return c.keeper.Text() }

// Digest announces the revision in force.
func (c *Core) Digest() wire.Revision { return c.keeper.Digest() }

// Answer returns what a peer with the revision of the pull needs.
func (c *Core) Answer(pull wire.Pull) (wire.Revision, error) { return c.keeper.Answer(pull) }

// Pull returns the question for a newer revision, and notes that the instance
// has been asked.
func (c *Core) Pull(now time.Time, instance string) wire.Pull {
	c.pulls[instance] = now
	return c.question()
}

func (c *Core) question() wire.Pull {
	d := c.keeper.Digest()
	return wire.Pull{Have: d.Number, Sum: d.Sum}
}

// Result is what became of a revision.
type Result struct {
	Installed bool
	Pull      *wire.Pull // question for the sender, or nil
}

// Receive takes a revision or a digest from a control replica or a peer.
func (c *Core) Receive(now time.Time, instance string, r wire.Revision) (Result, error) {
	delete(c.pulls, instance)
	if c.lower(r.Number, c.Number()) {
		return Result{}, nil
	}
	if !r.Whole {
		pull := c.Pull(now, instance)
		return Result{Pull: &pull}, nil
	}
	text, err := delta.Apply(c.Number(), c.Source(), r)
	var refused *delta.Error
	if errors.As(err, &refused) && r.Base != 0 {
		c.pulls[instance] = now
		return Result{Pull: &wire.Pull{}}, nil
	}
	if err != nil {
		return Result{}, err
	}
	installed, err := c.install(r.Number, text)
	return Result{Installed: installed}, err
}

func (c *Core) install(number uint64, text []byte) (bool, error) {
	parsed, err := spec.Parse(text)
	if err != nil {
		return false, err
	}
	if !c.lower(number, c.Number()) && number <= c.Number() {
		// Reached only with the rule replaced: forget the newer revision.
		c.keeper = delta.Keeper{}
	}
	if !c.keeper.Install(number, text) {
		return false, nil
	}
	c.parsed = parsed
	return true, nil
}

// Confirm takes the newest revision that a control replica confirmed with its
// majority.
func (c *Core) Confirm(now time.Time, confirmed wire.Confirmed) {
	c.confirmed = true
	c.confirmedAt = now
	c.wanted = max(c.wanted, confirmed.Number)
}

// Lost notes that an instance can no longer be asked.
func (c *Core) Lost(instance string) { delete(c.pulls, instance) }

// Confirmed returns the time since a majority confirmed the revision in force,
// or since the start.
func (c *Core) Confirmed(now time.Time) time.Duration {
	if c.confirmedAt.IsZero() {
		return now.Sub(c.started)
	}
	return now.Sub(c.confirmedAt)
}

// Ready reports whether the instance may serve: it has the revision that a
// majority confirmed since the start, or control did not answer in time and
// every peer that was asked did. Once ready it stays so.
func (c *Core) Ready(now time.Time) bool {
	if c.ready || c.Number() == 0 {
		return c.ready
	}
	if c.confirmed {
		c.ready = c.Number() >= c.wanted
		return c.ready
	}
	if c.controlOnly || now.Sub(c.started) < ControlWait {
		return false
	}
	for _, asked := range c.pulls {
		if now.Sub(asked) < pullTimeout {
			return false
		}
	}
	c.ready = true
	return true
}
