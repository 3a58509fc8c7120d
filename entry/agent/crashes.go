package agent

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/poison"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	// crashProbeTimeout limits the attempt to connect to a target that may have
	// crashed.
	crashProbeTimeout = 500 * time.Millisecond
	// crashMemory is how long a lost connection may turn out to have been a crash,
	// when the target announces a new incarnation.
	crashMemory = 15 * time.Second
	// maxPossibleCrashes limits the lost connections that are remembered.
	maxPossibleCrashes = 256
	// quarantineSpread is the range of the random part of quarantines. The first
	// entry whose quarantine of a request ends tries it for all.
	quarantineSpread = 0.5
)

// possibleCrash is a request during which the connection to its target was lost.
type possibleCrash struct {
	print   poison.Print
	request string
	target  *target
	at      time.Time
}

// crashes finds out which lost connections were crashes of targets. Only the
// control goroutine accesses it.
type crashes struct {
	possible []possibleCrash
	probing  map[*target]bool
}

// connect opens a connection to a target and closes it at once.
func connect(ctx context.Context, target netip.AddrPort) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", target.String())
	if err != nil {
		return err
	}
	return c.Close()
}

// examineLoss finds out whether a target crashed while it ran a request. The
// connections of a process that has ended are lost and new ones are refused, while
// other targets can be reached. A target that is up again by then has a new
// incarnation.
func (a *Agent) examineLoss(t *target, at proxy.Attempt, o proxy.Outcome) {
	if at.Request.Print == nil {
		return
	}
	loss := possibleCrash{print: at.Request.Print(), request: at.Request.ID, target: t, at: o.End}
	a.tryPost(func(now time.Time) {
		c := &a.crashes
		if len(c.possible) >= maxPossibleCrashes {
			c.possible = slices.Delete(c.possible, 0, 1) // the oldest one
		}
		c.possible = append(c.possible, loss)
		if c.probing[t] {
			return
		}
		c.probing[t] = true
		others := a.sampleTargets(t.Address)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
			defer cancel()
			err := a.hooks.Connect(ctx, t.Address)
			refused := errors.Is(err, syscall.ECONNREFUSED) && (len(others) == 0 || a.countReachable(others) > 0)
			a.post(func(now time.Time) {
				delete(c.probing, t)
				if refused {
					a.confirmCrashes(now, func(p *possibleCrash) bool { return p.target == t })
				}
			})
		}()
	})
}

// confirmRestarts confirms the crashes of targets that have a new incarnation.
func (a *Agent) confirmRestarts(now time.Time, u *upstream) {
	a.confirmCrashes(now, func(p *possibleCrash) bool {
		current := u.targets[p.target.Address]
		return p.target.Service == u.service.Name && current != nil && current.Start.After(p.target.Start)
	})
}

// confirmCrashes records the possible crashes for which crashed reports true, tells
// the other entries, and forgets old ones.
func (a *Agent) confirmCrashes(now time.Time, crashed func(p *possibleCrash) bool) {
	var notices []wire.Crash
	kept := a.crashes.possible[:0]
	for i := range a.crashes.possible {
		p := a.crashes.possible[i]
		switch {
		case crashed(&p):
			if c, isNew := a.recordCrash(now, &p); isNew {
				notices = append(notices, crashNotice(now, c))
			}
		case now.Sub(p.at) < crashMemory:
			kept = append(kept, p)
		}
	}
	clear(a.crashes.possible[len(kept):])
	a.crashes.possible = kept
	if len(notices) > 0 {
		a.sendNotice(wire.KindCrashes, wire.List[wire.Crash]{List: notices})
	}
}

// recordCrash records that a target crashed while it ran a request, and reports
// whether that was not known.
func (a *Agent) recordCrash(now time.Time, p *possibleCrash) (c poison.Crash, isNew bool) {
	a.hooks.CountCrash()
	a.log.WithField("service", p.target.Service).WithField("target", p.target.Name).WithField(logs.FieldRequest, p.request).
		WithField("print", p.print.String()).Warn("target crashed during request")
	c = poison.Crash{Print: p.print, Victim: poison.Victim{Address: p.target.Address, Start: p.target.Start.UnixMilli()}, At: p.at}
	return c, a.addCrash(now, c)
}

// addCrash adds a crash to the table and reports whether it is new.
func (a *Agent) addCrash(now time.Time, c poison.Crash) bool {
	isNew, quarantined := a.poisons.Record(now, c)
	if quarantined {
		left, _ := a.poisons.Quarantined(now, c.Print)
		a.log.WithField("print", c.Print.String()).WithField("hold", left.Round(time.Second).String()).Warn("request quarantined")
	}
	return isNew
}

func crashNotice(now time.Time, c poison.Crash) wire.Crash {
	return wire.Crash{Print: c.Print, Target: c.Victim.Address, Start: c.Victim.Start, Age: now.Sub(c.At)}
}

// recordAnswer records that a target answered a request, which then does not crash
// all targets, and tells the other entries if that makes a difference.
func (a *Agent) recordAnswer(at proxy.Attempt, o proxy.Outcome) {
	if a.poisons.Len() == 0 || at.Request.Print == nil {
		return
	}
	p := at.Request.Print()
	if !a.poisons.Answered(p, o.End) {
		return
	}
	a.log.WithField(logs.FieldRequest, at.Request.ID).WithField("print", p.String()).Info("request answered after crashes")
	a.tryPost(func(now time.Time) {
		a.sendNotice(wire.KindCrashes, wire.List[wire.Crash]{List: []wire.Crash{{Print: p, Answered: true, Age: now.Sub(o.End)}}})
	})
}

// receiveCrashes records the crashes and answers that other entries saw.
func (a *Agent) receiveCrashes(now time.Time, list wire.List[wire.Crash]) {
	for _, c := range list.List {
		at := now.Add(-max(0, c.Age))
		if c.Answered {
			a.poisons.Answered(c.Print, at)
			continue
		}
		a.addCrash(now, poison.Crash{Print: c.Print, Victim: poison.Victim{Address: c.Target, Start: c.Start}, At: at})
	}
}

// sendHeldCrashes sends the crashes of quarantined requests to the primary control
// replica, which may have started after they were reported.
func (a *Agent) sendHeldCrashes(now time.Time) {
	var list []wire.Crash
	for _, c := range a.poisons.Held(now) {
		list = append(list, crashNotice(now, c))
	}
	if len(list) > 0 {
		a.sendNotice(wire.KindCrashes, wire.List[wire.Crash]{List: list})
	}
}

// Quarantined returns the time until a request may be sent to a target again, and
// false if it may be sent now.
func (a *Agent) Quarantined(r proxy.Request, now time.Time) (time.Duration, bool) {
	if a.poisons.Len() == 0 || r.Print == nil {
		return 0, false
	}
	return a.poisons.Quarantined(now, r.Print())
}
