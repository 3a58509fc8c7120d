package agent

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/susp"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	// suspectQueueLength limits the observations that wait to be sent to other
	// entries. Further ones are dropped, since the first ones of a target carry the
	// most information.
	suspectQueueLength = 64
	// maxSuspects limits the observations in one message.
	maxSuspects = 16
)

// suspectReport is an observation of a target that is sent to other entries.
type suspectReport struct {
	service     string
	target      netip.AddrPort
	start       time.Time
	observation susp.Observation
	at          time.Time // for answers, when the request was sent
}

// observationsByClass maps classes of outcomes to observations of the target. A
// complete response counts as a failure only with a status of 500 or above. A
// passed deadline is not listed, since the caller may have set a short one; a late
// response is recorded while the attempt is pending.
var observationsByClass = map[proxy.Class]susp.Observation{
	proxy.Faulty:      susp.Failed,
	proxy.Failed:      susp.Broken,
	proxy.Dial:        susp.Unreachable,
	proxy.Refused:     susp.Shed,
	proxy.Misdirected: susp.Misdirected,
}

// observationOf returns the observation that an outcome stands for, if any. A late
// response does not count in favour of the target; that it was late has been
// recorded while the attempt was pending. A target that pauses is busy, not sick.
func observationOf(at proxy.Attempt, o proxy.Outcome) (susp.Observation, bool) {
	if o.Pause > 0 {
		return 0, false
	}
	if o.Class == proxy.Answered {
		goal := at.Request.Kind.LatencyGoal
		return susp.Answered, goal == 0 || float64(o.HeaderLatency) < overdueGoalShare*float64(goal)
	}
	observation, ok := observationsByClass[o.Class]
	return observation, ok
}

// recordObservation records an observation made by a traffic goroutine during an
// attempt that began at a time, and queues it for other entries if they should know
// it.
func (a *Agent) recordObservation(t *target, observation susp.Observation, began, now time.Time) {
	if observation.IsOfPath() && a.pathLostSince(began) {
		return
	}
	var before, after float64
	seen := now
	if observation == susp.Answered {
		seen = began
		before, _ = t.suspicion.ObserveAnswer(now, began)
	} else {
		before, after = t.suspicion.Observe(now, observation)
		a.log.WithField("service", t.Service).WithField("target", t.Name).WithField("sign", observation.String()).
			WithField("before", before).WithField("after", after).Info("suspicion")
	}
	if !observation.ShouldShare(before) || observation.IsOfPath() && a.path.tracker.InDoubt() {
		return
	}
	select {
	case a.suspectReports <- suspectReport{service: t.Service, target: t.Address, start: t.Start, observation: observation, at: seen}:
	default: // the queue is full, see suspectQueueLength
	}
}

// sendSuspects sends observations to the primary control replica: the given one
// and those that wait in the queue.
func (a *Agent) sendSuspects(now time.Time, first suspectReport) {
	out := wire.Suspects{Region: a.settings.Region}
	for s, ok := first, true; ok; {
		out.List = append(out.List, wire.Suspect{
			Service: s.service, Target: s.target, Start: s.start.UnixMilli(), Observation: uint8(s.observation), Age: now.Sub(s.at),
		})
		select {
		case s = <-a.suspectReports:
			ok = len(out.List) < maxSuspects
		default:
			ok = false
		}
	}
	a.sendNotice(wire.KindSuspects, out)
}

// receiveSuspects records the observations of other entries.
func (a *Agent) receiveSuspects(now time.Time, w wire.Suspects) {
	for _, s := range w.List {
		_, t := a.knownTarget(s.Service, s.Target, s.Start)
		if t == nil {
			continue
		}
		observation := susp.Observation(s.Observation)
		before, after := t.suspicion.ObserveRemote(now, observation, s.Age)
		a.log.WithField("service", s.Service).WithField("target", t.Name).WithField("sign", observation.String()).
			WithField("before", before).WithField("after", after).Debug("suspicion reported by another entry")
	}
}
