package proxy

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/refuse"
)

// headerRelay marks a request that one entry passes on to another one, and the
// response to it. Its value is a list of fields such as "attempts=2 repeat=no".
const headerRelay = "Galenalock-Relay"

// Path limits the way that a request may take to a target.
type Path int

// The paths.
const (
	AnyPath    Path = iota
	DirectPath      // not through another entry
	RelayPath       // only through another entry
)

// IsRelayed reports whether a request was passed on by another entry, which is to
// be served by Proxy.ServeRelayed.
func IsRelayed(r *http.Request) bool { return r.Header.Get(headerRelay) != "" }

// ServeRelayed serves a request that another entry passed on. Only other entries may
// reach it: they have admitted the request, and are told what callers are not.
func (p *Proxy) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	fields := parseFields(r.Header.Get(headerRelay))
	c := newCall(p, w, r)
	c.request.Path, c.request.RelayedFrom = DirectPath, fields["from"]
	c.relayed = true
	c.attemptsLeft = max(1, atoi(fields["attempts"]))
	c.earlierAttempts = max(0, atoi(fields["number"]))
	c.atMostOnce = fields["repeat"] == "no"
	c.chosenService = fields["service"]
	c.access.relayedWorkspace, c.access.relayedDigest = fields[relayWorkspace], fields[relayKey]
	r.Header.Del(headerRelay)
	c.run()
}

// relayRequest returns the request that passes the call on to another entry. The
// configuration of this entry decides which service runs it. That of the other one may
// be older or newer.
func (a *attempt) relayRequest(m *pool.Request) *pool.Request {
	c := a.call
	m.URI = c.r.URL.RequestURI()
	if c.r.Method == http.MethodOptions && c.r.URL.Path == "*" {
		m.URI = "*"
	}
	value := fmt.Sprintf("from=%s attempts=%d number=%d service=%s", c.proxy.owner, a.allowance, a.info.Number, c.request.Service.Name)
	if c.atMostOnce {
		value += " repeat=no"
	}
	value += c.relayFields()
	m.Header = maps.Clone(m.Header)
	m.Header[headerRelay] = []string{value}
	return m
}

// remainingAttempts returns the number of targets that may still receive the
// request.
func (c *call) remainingAttempts() int {
	limit := c.request.Kind.MaxAttempts
	if limit == 0 {
		limit = 1 + defaultRetries
	}
	return max(1, limit-(c.attempts-c.unsent))
}

// Results of a relayed request, the first field of headerRelay in responses.
const (
	relayAnswered = "answered"
	relayRefused  = "refused"
)

// relayError means that the entry to which a request was passed on refused it.
type relayError struct {
	reason     refuse.Reason
	run        refuse.Run
	retryAfter time.Duration
	declined   bool // the request was sent to no target
}

// Error returns the reason of the refusal.
func (e *relayError) Error() string { return "refused by another entry: " + string(e.reason) }

func (e *relayError) class() Class {
	switch {
	case e.declined:
		return Declined
	case e.run == refuse.NotRun:
		return Refused
	}
	return Failed
}

// checkRelay returns an error unless the response was made by a target and passed on
// by an entry.
func (a *attempt) checkRelay(h http.Header) error {
	value := h.Get(headerRelay)
	result, rest, _ := strings.Cut(value, " ")
	switch result {
	case relayAnswered:
		delete(h, headerRelay)
		a.recordRelayedLeaving(parseFields(rest))
		return nil
	case relayRefused:
		fields := parseFields(rest)
		e := &relayError{
			reason: refuse.Reason(fields["reason"]), run: refuse.Run(fields["run"]),
			retryAfter: time.Duration(max(0, atoi(fields["retry"]))) * time.Millisecond,
		}
		e.declined = e.run == refuse.NotRun && fields["sent"] == "0"
		switch {
		case e.reason.Status() == 0:
			e.reason = refuse.Broken // of a newer version
		case e.declined && e.reason.OfConfiguration():
			// This entry has a route for the request, so the configurations differ.
			e.reason, e.retryAfter = refuse.NoPath, retryElsewhere
		}
		return e
	}
	return &IdentityError{Header: headerRelay, Got: value, Want: relayAnswered}
}

// recordRelayedLeaving records that the target that answered another entry leaves.
func (a *attempt) recordRelayedLeaving(fields map[string]string) {
	address, err := netip.ParseAddrPort(fields["leaving"])
	start, startErr := strconv.ParseInt(fields["start"], 10, 64)
	if err == nil && startErr == nil {
		a.outcome.Leaving, a.outcome.LeavingTarget, a.outcome.LeavingStart = true, address, time.UnixMilli(start)
	}
}

// markRelayed tells the entry that passed the request on that the response is that
// of a target, and whether the target leaves. a is nil for a recorded response.
func (c *call) markRelayed(h http.Header, a *attempt) {
	if !c.relayed {
		return
	}
	value := relayAnswered
	if a != nil && a.outcome.Leaving {
		value += fmt.Sprintf(" leaving=%s start=%d", a.info.Target.Address, a.info.Target.Incarnation.UnixMilli())
	}
	h[headerRelay] = []string{value}
}

// markRefused tells the entry that passed the request on why it was refused.
func (c *call) markRefused(h http.Header, e *refuse.Error) {
	if c.relayed {
		h[headerRelay] = []string{fmt.Sprintf("%s reason=%s run=%s retry=%d sent=%d",
			relayRefused, e.Reason, e.Run, e.RetryAfter.Milliseconds(), c.attempts-c.unsent)}
	}
}

// isDeclined reports whether an error means that another entry sent the request to
// no target.
func isDeclined(err error) bool {
	var relay *relayError
	return errors.As(err, &relay) && relay.declined
}

func parseFields(value string) map[string]string {
	out := map[string]string{}
	for _, field := range strings.Fields(value) {
		name, v, _ := strings.Cut(field, "=")
		out[name] = v
	}
	return out
}

// atoi returns the number, or 0 for malformed text.
func atoi(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}
