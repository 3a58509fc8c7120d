package daemon

import (
	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/reach"
	"github.com/galenalock/galenalock/entry/agent"
)

// counters are the metrics of an entry that the data path does not count itself.
type counters struct {
	retryDecisions   *meter.Counter
	crossRegionBytes *meter.Counter
	linkBytes        *meter.Counter
	requestsCut      *meter.Counter
	targetLimits     *meter.Counter
	targetCrashes    *meter.Counter
	pathStates       *meter.Counter
	relays           *meter.Counter
	pauses           *meter.Counter
	admissions       *meter.Counter
	tokens           *meter.Counter
	nearbyBytes      *meter.Counter
	connections      *meter.Counter
	closures         *meter.Counter
}

func newCounters(m *meter.Meter) (*counters, error) {
	c := &counters{}
	for _, metric := range []struct {
		name meter.Name
		into **meter.Counter
	}{
		{meter.RetryDecisions, &c.retryDecisions}, {meter.CrossRegionBytes, &c.crossRegionBytes},
		{meter.LinkBytes, &c.linkBytes}, {meter.RequestsInterrupted, &c.requestsCut},
		{meter.TargetLimits, &c.targetLimits}, {meter.TargetCrashes, &c.targetCrashes},
		{meter.PathStates, &c.pathStates}, {meter.RelayedRequests, &c.relays},
		{meter.TargetPauses, &c.pauses}, {meter.Admissions, &c.admissions},
		{meter.WorkspaceTokens, &c.tokens},
		{meter.NearbyBytes, &c.nearbyBytes}, {meter.Connections, &c.connections},
		{meter.ClosedConnections, &c.closures},
	} {
		counter, err := m.Counter(metric.name)
		if err != nil {
			return nil, err
		}
		*metric.into = counter
	}
	return c, nil
}

// addRetry counts a decision of the retry budget. The reason is ignored, since the
// data path counts allowed retries by reason.
func (c *counters) addRetry(_, decision string) { c.retryDecisions.Add(1, decision) }

func (c *counters) addCrossRegion(sent, received int64) {
	c.crossRegionBytes.Add(sent, "out")
	c.crossRegionBytes.Add(received, "in")
}

func (c *counters) addRoute(r agent.Route) {
	use := "opened"
	if r.Reused {
		use = "reused"
	}
	c.connections.Add(1, use)
	if r.Nearby {
		c.nearbyBytes.Add(r.Sent, "out")
		c.nearbyBytes.Add(r.Received, "in")
	}
}

func (c *counters) addLinkBytes(dir string, n int) { c.linkBytes.Add(int64(n), dir) }

func (c *counters) addLimitEvent(event quota.Event) { c.targetLimits.Add(1, string(event)) }

func (c *counters) addPath(state reach.State) { c.pathStates.Add(1, string(state)) }

func (c *counters) addPause(event string) { c.pauses.Add(1, event) }

func (c *counters) addAdmission(event limit.Event) { c.admissions.Add(1, string(event)) }

func (c *counters) addToken(result string) { c.tokens.Add(1, result) }

func (c *counters) addRelay(result string) { c.relays.Add(1, result) }

func (c *counters) addCrash() { c.targetCrashes.Add(1, "") }

func (c *counters) addClosure(reason string) { c.closures.Add(1, reason) }
