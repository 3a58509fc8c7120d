package agent

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/galenalock/galenalock/core/poison"
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
// connections of a process that has ended are lost and new ones are refused. A
// target that is up again by then has a new incarnation.
func (a *Agent) examineLoss(t *target, at proxy.Attempt, o proxy.Outcome) {
	if at.Request.Print == nil {
		return
	}
	loss := possibleCrash{print: at.Request.Print(), request: at.Request.ID, target: t, at: o.End}
	a.tryPost(func(now time.Time) {
		c := &a.crashes
		if len(c.possible) >= maxPossibleCrashes {
			return
		}
		c.possible = append(c.possible, loss)
		if c.probing[t] {
			return
		}
		c.probing[t] = true
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
			defer cancel()
			err := a.hooks.Connect(ctx, t.Address)
			a.post(func(now time.Time) {
				delete(c.probing, t)
				if errors.Is(err, syscall.ECONNREFUSED) {
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

// confirmCrashes records the possible crashes for which crashed reports true, and
// forgets old ones.
func (a *Agent) confirmCrashes(now time.Time, crashed func(p *possibleCrash) bool) {
	kept := a.crashes.possible[:0]
	for i := range a.crashes.possible {
		p := a.crashes.possible[i]
		switch {
		case crashed(&p):
			a.recordCrash(now, &p)
		case now.Sub(p.at) < crashMemory:
			kept = append(kept, p)
		}
	}
	clear(a.crashes.possible[len(kept):])
	a.crashes.possible = kept
}

// recordCrash records that a target crashed while it ran a request.
func (a *Agent) recordCrash(_ time.Time, p *possibleCrash) {
	a.hooks.CountCrash()
	a.log.WithField("service", p.target.Service).WithField("target", p.target.Name).WithField("request", p.request).
		WithField("print", p.print.String()).Warn("target crashed during request")
}
