package state

import (
	"fmt"
	"time"

	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
)

// Valid years of times in commands. The times of the commands themselves are
// stored as 64-bit nanoseconds, which overflow in the year 2262; other times
// only have to be encodable.
const (
	firstYear = 1970
	lastYear  = 2200
	maxYear   = 9000
)

// check converts all times to UTC. It returns the reason why the command is
// malformed, or an empty string.
func (c *Command) check() string {
	if n := c.parts(); n != 1 {
		return fmt.Sprintf("command has %d parts, want 1", n)
	}
	c.Time = c.Time.UTC()
	if year := c.Time.Year(); year < firstYear || year > lastYear {
		return fmt.Sprintf("command time is in the year %d", year)
	}
	switch {
	case c.Submit != nil:
		return c.Submit.check()
	case c.Claim != nil:
		return checkClaim(c.Claim)
	case c.Close != nil:
		return checkClose(c.Close)
	case c.Grant != nil:
		return c.Grant.check()
	case c.Withdraw != nil:
		return checkName("service", c.Withdraw.Service)
	case c.Drain != nil:
		return checkName("name", c.Drain.Name)
	case c.Announce != nil:
		if err := c.Announce.Check(); err != nil {
			return err.Error()
		}
		return checkTime("start", &c.Announce.Start)
	case c.Silence != nil:
		return c.Silence.check()
	}
	return ""
}

func checkName(what, name string) string {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Sprintf("%s has %d bytes, want 1 to %d", what, len(name), MaxNameBytes)
	}
	return ""
}

func checkTime(what string, t *time.Time) string {
	*t = t.UTC()
	if year := t.Year(); year < 1 || year > maxYear {
		return fmt.Sprintf("%s is in the year %d", what, year)
	}
	return ""
}

func (s *Submit) check() string {
	if len(s.Text) > spec.MaxTextBytes {
		return fmt.Sprintf("text has %d bytes, the limit is %d", len(s.Text), spec.MaxTextBytes)
	}
	return checkName("change", s.Change)
}

func checkClaim(c *wire.Claim) string {
	if len(c.Key) > MaxKeyBytes {
		return fmt.Sprintf("key has %d bytes, the limit is %d", len(c.Key), MaxKeyBytes)
	}
	if reason := checkName("service", c.Service); reason != "" {
		return reason
	}
	if reason := checkName("owner", c.Owner); reason != "" {
		return reason
	}
	return checkTime("incarnation", &c.Incarnation)
}

func checkClose(c *wire.Close) string {
	switch c.Outcome {
	case wire.OutcomeDone:
		if c.Answer == nil {
			return "close as done has no answer"
		}
	case wire.OutcomeReleased, wire.OutcomeUnknown:
	default:
		return fmt.Sprintf("outcome %q is unknown", c.Outcome)
	}
	return checkClaim(&wire.Claim{Service: c.Service, Key: c.Key, Owner: c.Owner, Incarnation: c.Incarnation})
}

func (s *Silence) check() string {
	if len(s.Targets) > MaxLeases {
		return fmt.Sprintf("%d silent targets, the limit is %d", len(s.Targets), MaxLeases)
	}
	for i := range s.Targets {
		if reason := checkTime("start", &s.Targets[i].Start); reason != "" {
			return reason
		}
	}
	return ""
}

func (g *Grant) check() string {
	if len(g.Targets) > MaxLeases {
		return fmt.Sprintf("grant has %d targets, the limit is %d", len(g.Targets), MaxLeases)
	}
	for i := range g.Targets {
		if reason := checkTime("start", &g.Targets[i].Start); reason != "" {
			return reason
		}
	}
	return checkName("service", g.Service)
}
