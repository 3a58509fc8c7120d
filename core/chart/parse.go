package chart

import (
	"errors"
	"slices"
	"strings"
	"unicode"
)

// Parse reads and checks a chart. Actions are the names that the code provides.
// All faults are returned, joined; each is an *Error.
func Parse(text string, actions ...string) (*Chart, error) {
	p := &parser{chart: &Chart{index: map[string]int{}}}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if words := strings.Fields(line); len(words) > 0 {
			p.statement(i+1, words)
		}
	}
	p.check(actions)
	if err := errors.Join(p.faults...); err != nil {
		return nil, err
	}
	return p.chart, nil
}

type parser struct {
	chart  *Chart
	line   int // line of the start statement
	faults []error
}

func (p *parser) fault(line int, word, reason string) {
	p.faults = append(p.faults, &Error{Line: line, Word: word, Reason: reason})
}

func (p *parser) statement(line int, words []string) {
	for _, w := range words {
		if w != "->" && w != ":" && strings.ContainsFunc(w, func(r rune) bool { return !unicode.IsLower(r) }) {
			p.fault(line, w, "names are one word of lower-case letters")
			return
		}
	}
	c := p.chart
	switch {
	case words[0] == "chart" && len(words) == 2:
		c.Name = words[1]
	case words[0] == "start" && len(words) == 2:
		c.Start, p.line = words[1], line
	case words[0] == "state" && (len(words) == 2 || len(words) == 3 && words[2] == "final"):
		if _, ok := c.index[words[1]]; ok {
			p.fault(line, words[1], "state is defined twice")
			return
		}
		c.index[words[1]] = len(c.States)
		c.States = append(c.States, State{Name: words[1], Final: len(words) == 3, line: line})
	case len(c.States) == 0:
		p.fault(line, words[0], "statement before the first state")
	case words[0] == "ignore" && len(words) > 1 && words[1] != "->":
		for _, w := range words[1:] {
			p.handle(line, w)
		}
		s := &c.States[len(c.States)-1]
		s.Ignored = append(s.Ignored, words[1:]...)
	case len(words) == 3 && words[1] == "->" || len(words) > 4 && words[1] == "->" && words[3] == ":":
		p.handle(line, words[0])
		t := Transition{Event: words[0], Next: words[2], line: line}
		if len(words) > 4 {
			t.Actions = words[4:]
		}
		s := &c.States[len(c.States)-1]
		s.Transitions = append(s.Transitions, t)
	default:
		p.fault(line, words[0], "expected chart, start, state, ignore or event -> state : actions")
	}
}

// handle records that the last state handles an event.
func (p *parser) handle(line int, event string) {
	s := &p.chart.States[len(p.chart.States)-1]
	if s.handles(event) {
		p.fault(line, event, "event is handled twice in state "+s.Name)
	}
	if !slices.Contains(p.chart.events, event) {
		p.chart.events = append(p.chart.events, event)
	}
}

func (s *State) handles(event string) bool {
	return slices.Contains(s.Ignored, event) ||
		slices.ContainsFunc(s.Transitions, func(t Transition) bool { return t.Event == event })
}
