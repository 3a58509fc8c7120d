package fleet

import (
	"bytes"
	"context"
	"time"

	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// install takes the newest revisions out of the view and reports whether there
// were any.
func (f *Fleet) install() bool {
	v := f.View()
	newest, have := v.Newest().Number, f.keeper.Number()
	if newest <= have {
		return false
	}
	for number := max(have+1, newest-min(newest, spliceRange)+1); number <= newest; number++ {
		if text, ok := v.Text(number); ok {
			f.keeper.Install(number, text)
		}
	}
	return true
}

// update pushes what has changed in the view.
func (f *Fleet) update() {
	installed := f.install()
	for c, s := range f.sessions {
		if s.entry && installed {
			f.push(c.Send, s)
		}
		f.pushTargets(c, s)
	}
	f.order()
}

// push sends the newest revision as a splice to a session whose revision is
// known, and announces it to others, which then pull.
func (f *Fleet) push(send func(kind wire.Kind, body any) error, s *session) {
	digest := f.keeper.Digest()
	r := digest
	if s.have.Have != 0 && (s.primary || !s.follows) {
		answer, err := f.keeper.Answer(s.have)
		if err != nil {
			f.Log.WithField(logs.FieldError, err.Error()).Error("splice")
			return
		}
		r = answer
		s.have = wire.Pull{Have: digest.Number, Sum: digest.Sum}
	}
	_ = send(wire.KindRevision, r) // a failed send ends the link
}

// compose returns the orders of the moment.
func (f *Fleet) compose() wire.Orders {
	v, now := f.View(), f.Clock()
	o := wire.Orders{Index: v.Index}
	if v.Time.After(now) {
		now = v.Time
	}
	for _, l := range v.Leases {
		left := min(l.Expires.Sub(now), f.leases[keyOf(l)].left(f.Clock()))
		if l.Current && left > 0 {
			o.Grants = append(o.Grants, wire.Grant{
				Service: l.Service, Target: l.Target.Address, Start: l.Target.Start, Left: left, Score: l.Target.Score,
			})
		}
	}
	for _, d := range v.Drains {
		o.Drains = append(o.Drains, d.Name)
	}
	o.Watch = f.watched()
	return o
}

// order sends the orders to all entries when they differ from those sent last.
// Leases that merely run down make no difference.
func (f *Fleet) order() {
	f.see()
	o := f.compose()
	f.advise(o)
	stable := o
	stable.Index = 0
	stable.Grants = nil
	ends := []state.Lease{}
	for _, l := range f.View().Leases {
		if l.Current {
			ends = append(ends, l)
		}
	}
	encoded, err := wire.Encode([]any{stable, ends})
	if err != nil {
		f.Log.WithField(logs.FieldError, err.Error()).Error("orders")
		return
	}
	if bytes.Equal(encoded, f.orders) {
		return
	}
	f.orders = encoded
	for c, s := range f.sessions {
		if s.entry {
			f.send(c, wire.KindOrders, o)
		}
	}
}

// tick lets time pass: decisions, expiry, and instances that are gone.
func (f *Fleet) tick(ctx context.Context) {
	now := f.Clock()
	f.decide(ctx, now)
	f.order()
	f.digest(now)
	f.recount(now)
	f.ticks++
	if f.ticks%int(pushInterval) != 0 {
		return
	}
	due := f.View().NextExpiry
	if f.Leads() && !due.IsZero() && !due.After(now) {
		f.propose(ctx, []state.Command{{Tick: &state.Tick{}}}, false)
	}
	for name, i := range f.instances {
		if now.Sub(i.Heard) > forgetAfter && !f.linked(name) {
			delete(f.instances, name)
			delete(f.passed, name)
		}
	}
}

func (f *Fleet) linked(name string) bool {
	for c := range f.sessions {
		if c.Peer().Instance == name {
			return true
		}
	}
	return false
}

// decide asks for commands unless those of the last time are still under way.
func (f *Fleet) decide(ctx context.Context, now time.Time) {
	if f.hooks.Decide == nil || f.deciding {
		return
	}
	if commands := f.hooks.Decide(now, f.Leads(), f.View()); len(commands) > 0 {
		f.deciding = true
		f.propose(ctx, commands, true)
	}
}

// propose has commands applied one after another, beside the fleet's
// goroutine, which a lost majority would block.
func (f *Fleet) propose(ctx context.Context, commands []state.Command, decided bool) {
	go func() {
		for _, c := range commands {
			limited, cancel := context.WithTimeout(ctx, proposeTimeout)
			result, err := f.Propose(limited, c)
			cancel()
			if decided && f.hooks.Decided != nil {
				f.post(func() { f.hooks.Decided(f.Clock(), c, result, err) })
			}
		}
		if decided {
			f.post(func() { f.deciding = false })
		}
	}()
}

// proposeTimeout is shorter than a lease, so that a decision is not applied
// long after it was made.
const proposeTimeout = 3 * time.Second
