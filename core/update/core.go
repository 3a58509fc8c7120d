package update

import (
	"errors"
	"time"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
)

// ControlTimeout is how long a started instance waits until a control replica
// confirms the newest revision with its majority. After that, the replies of the
// peers decide.
const ControlTimeout = 3 * time.Second

// pullTimeout is how long an unanswered pull delays readiness. After that, the
// peer counts as unreachable.
const pullTimeout = 2 * time.Second

// Core holds the revision in force on an instance. It is not safe for concurrent
// use.
type Core struct {
	store   delta.RevisionStore
	parser  *spec.Parser
	parsed  *spec.Text
	started time.Time

	confirmed        bool // a majority has confirmed its newest revision since the start
	requiredRevision uint64
	confirmedAt      time.Time
	refused          uint64               // highest revision whose text cannot be parsed
	pendingPulls     map[string]time.Time // time of each unanswered pull, by instance
	ready            bool
	controlOnly      bool
	isStale          func(number, current uint64) bool
}

// Option configures a Core.
type Option func(*Core)

// WithControlOnly makes an instance ready only after a control replica has
// confirmed the newest revision. It is for instances without peers.
func WithControlOnly() Option { return func(c *Core) { c.controlOnly = true } }

// WithStaleCheck sets the function that decides whether a revision is rejected
// because it is not higher than the current one. Only tests replace it, to show
// which fault it prevents.
func WithStaleCheck(check func(number, current uint64) bool) Option {
	return func(c *Core) { c.isStale = check }
}

// New returns a Core for an instance that starts now.
func New(now time.Time, opts ...Option) *Core {
	c := &Core{
		started:      now,
		parser:       spec.NewParser(),
		pendingPulls: map[string]time.Time{},
		isStale:      func(number, current uint64) bool { return number <= current },
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Restore installs the text that the instance stored before it stopped. If the
// text cannot be parsed, Restore returns an error and installs nothing.
func (c *Core) Restore(number uint64, text []byte) error {
	_, err := c.install(number, text)
	return err
}

// Number returns the number of the revision in force, 0 if there is none.
func (c *Core) Number() uint64 { return c.store.Number() }

// Text returns the parsed text in force, or nil.
func (c *Core) Text() *spec.Text { return c.parsed }

// Source returns the text in force as it was submitted.
func (c *Core) Source() []byte { return c.store.Text() }

// Digest returns a message that announces the revision in force without its
// text.
func (c *Core) Digest() wire.Revision { return c.store.Digest() }

// Answer returns the message that brings the sender of a pull up to date.
func (c *Core) Answer(pull wire.Pull) (wire.Revision, error) { return c.store.Answer(pull) }

// Pull returns a request for a newer revision and records that the instance has
// been asked.
func (c *Core) Pull(now time.Time, instance string) wire.Pull {
	c.pendingPulls[instance] = now
	return c.newPull()
}

func (c *Core) newPull() wire.Pull {
	d := c.store.Digest()
	return wire.Pull{Have: d.Number, Checksum: d.Checksum}
}

// Result is the effect of a received revision.
type Result struct {
	Installed bool
	Pull      *wire.Pull // request to send back to the sender, or nil
}

// Receive handles a revision or a digest from a control replica or a peer.
func (c *Core) Receive(now time.Time, instance string, r wire.Revision) (Result, error) {
	delete(c.pendingPulls, instance)
	if c.isStale(r.Number, c.Number()) || r.Number == c.refused {
		return Result{}, nil
	}
	if !r.HasData {
		pull := c.Pull(now, instance)
		return Result{Pull: &pull}, nil
	}
	text, err := delta.Apply(c.Number(), c.Source(), r)
	var refused *delta.Error
	if errors.As(err, &refused) && r.Base != 0 {
		c.pendingPulls[instance] = now
		return Result{Pull: &wire.Pull{}}, nil
	}
	if err != nil {
		return Result{}, err
	}
	installed, err := c.install(r.Number, text)
	if err != nil {
		c.refused = max(c.refused, r.Number)
	}
	return Result{Installed: installed}, err
}

// Lacks reports whether a revision is higher than the one in force and has not been
// refused.
func (c *Core) Lacks(number uint64) bool { return number > c.Number() && number != c.refused }

// IsPulling reports whether a pull from an instance is waiting for its answer.
func (c *Core) IsPulling(now time.Time, instance string) bool {
	asked, ok := c.pendingPulls[instance]
	return ok && now.Sub(asked) < pullTimeout
}

func (c *Core) install(number uint64, text []byte) (bool, error) {
	parsed, err := c.parser.Parse(text)
	if err != nil {
		return false, err
	}
	if !c.isStale(number, c.Number()) && number <= c.Number() {
		// Reached only if WithStaleCheck is set: discard the newer revision.
		c.store = delta.RevisionStore{}
	}
	if !c.store.Install(number, text) {
		return false, nil
	}
	c.parsed = parsed
	return true, nil
}

// Confirm records the newest revision that a control replica has confirmed with
// its majority.
func (c *Core) Confirm(now time.Time, confirmed wire.Confirmed) {
	c.confirmed = true
	c.confirmedAt = now
	c.requiredRevision = max(c.requiredRevision, confirmed.Number)
}

// RemovePeer discards the pending pull of an instance that is no longer
// connected.
func (c *Core) RemovePeer(instance string) { delete(c.pendingPulls, instance) }

// SinceConfirmed returns the time since the last Confirm, or since the start if
// there was none.
func (c *Core) SinceConfirmed(now time.Time) time.Duration {
	if c.confirmedAt.IsZero() {
		return now.Sub(c.started)
	}
	return now.Sub(c.confirmedAt)
}

// Ready reports whether the instance may serve. It may if it has the revision
// that a majority has confirmed since the start. It also may if no confirmation
// came within ControlTimeout and each pull was answered or timed out. Once
// ready, it stays ready.
func (c *Core) Ready(now time.Time) bool {
	if c.ready || c.Number() == 0 {
		return c.ready
	}
	if c.confirmed {
		c.ready = c.Number() >= c.requiredRevision
		return c.ready
	}
	if c.controlOnly || now.Sub(c.started) < ControlTimeout {
		return false
	}
	for _, asked := range c.pendingPulls {
		if now.Sub(asked) < pullTimeout {
			return false
		}
	}
	c.ready = true
	return true
}
