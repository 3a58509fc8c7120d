package agent

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/susp"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	// suspectQueue bounds the signs that wait to be told to other entries; more
	// are dropped, since the first of a target say most.
	suspectQueue = 64
	// suspectRows bounds the signs in one message.
	suspectRows = 16
)

// sighting is a sign of a target that other entries are told of.
type sighting struct {
	service string
	target  netip.AddrPort
	start   time.Time
	sign    susp.Sign
	at      time.Time
}

// signs is what each class of outcome says about the target. An answer counts
// as a failure of the target only with the status 500 and above. A deadline that
// passes is no sign, since the caller may have set it short; that an answer
// takes too long is noted while the attempt is pending.
var signs = map[proxy.Class]susp.Sign{
	proxy.Faulty:      susp.Failed,
	proxy.Failed:      susp.Broken,
	proxy.Dial:        susp.Unreachable,
	proxy.Refused:     susp.Shed,
	proxy.Misdirected: susp.Misdirected,
}

// signOf returns what an outcome says about the target. A late answer is no sign
// of health; that it was late has been noted while it was pending.
func signOf(at proxy.Attempt, o proxy.Outcome) (susp.Sign, bool) {
	if o.Class == proxy.Answered {
		goal := at.Request.Kind.Goal
		return susp.Answered, goal == 0 || float64(o.HeaderLatency) < lateShare*float64(goal)
	}
	sign, ok := signs[o.Class]
	return sign, ok
}

// suspect takes a sign of a target, which traffic goroutines have seen.
func (a *Agent) suspect(t *target, sign susp.Sign, now time.Time) {
	before, after := t.suspicion.See(now, sign)
	if sign != susp.Answered {
		a.log.WithField("service", t.Service).WithField("target", t.Name).WithField("sign", sign.String()).
			WithField("before", before).WithField("after", after).Info("suspicion")
	}
	if !sign.Shared(before) {
		return
	}
	select {
	case a.sightings <- sighting{service: t.Service, target: t.Address, start: t.Start, sign: sign, at: now}:
	default: // the queue holds enough signs
	}
}

// tellSuspects passes signs on to the primary replica: the given one and those
// that wait behind it.
func (a *Agent) tellSuspects(now time.Time, first sighting) {
	out := wire.Suspects{Region: a.settings.Region}
	for s, ok := first, true; ok; {
		out.List = append(out.List, wire.Suspect{
			Service: s.service, Target: s.target, Start: s.start.UnixMilli(), Sign: uint8(s.sign), Age: now.Sub(s.at),
		})
		select {
		case s = <-a.sightings:
			ok = len(out.List) < suspectRows
		default:
			ok = false
		}
	}
	if r := a.registry; r != nil && r.primary != nil {
		_ = r.primary.Send(wire.KindSuspects, out) // a failed send ends the link
	}
}

// hearSuspects takes the signs that other entries have seen.
func (a *Agent) hearSuspects(now time.Time, w wire.Suspects) {
	for _, s := range w.List {
		u := a.upstreams[s.Service]
		if u == nil {
			continue
		}
		t := u.targets[s.Target]
		if t == nil || t.Start.UnixMilli() != s.Start {
			continue
		}
		sign := susp.Sign(s.Sign)
		before, after := t.suspicion.Hear(now, sign, s.Age)
		a.log.WithField("service", s.Service).WithField("target", t.Name).WithField("sign", sign.String()).
			WithField("before", before).WithField("after", after).Debug("suspicion of another entry")
	}
}
