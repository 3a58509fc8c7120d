package chart

import (
	"errors"
	"slices"
	"strings"
	"unicode"
)

// Parse parses and validates a chart. Actions are the names of the actions that
// the code implements. All errors are returned, joined with errors.Join; each is
// an *Error.
func Parse(text string, actions ...string) (*Chart, error) {
	p := &parser{chart: &Chart{index: map[string]int{}}}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if words := strings.Fields(line); len(words) > 0 {
			p.parseStatement(i+1, words)
		}
	}
	p.checkChart(actions)
	if err := errors.Join(p.errs...); err != nil {
		return nil, err
	}
	return p.chart, nil
}

type parser struct {
	chart     *Chart
	startLine int // line of the start statement
	errs      []error
}

func (p *parser) addError(line int, word, reason string) {
	p.errs = append(p.errs, &Error{Line: line, Token: word, Reason: reason})
}

func (p *parser) parseStatement(line int, words []string) {
	for _, w := range words {
		if w != "->" && w != ":" && strings.ContainsFunc(w, func(r rune) bool { return !unicode.IsLower(r) }) {
			p.addError(line, w, "names are one word of lower-case letters")
			return
		}
	}
	c := p.chart
	switch {
	case words[0] == "chart" && len(words) == 2:
		c.Name = words[1]
	case words[0] == "start" && len(words) == 2:
		c.Start, p.startLine = words[1], line
	case words[0] == "state" && (len(words) == 2 || len(words) == 3 && words[2] == "final"):
		if _, ok := c.index[words[1]]; ok {
			p.addError(line, words[1], "state is defined twice")
			return
		}
		c.index[words[1]] = len(c.States)
		c.States = append(c.States, State{Name: words[1], Final: len(words) == 3, line: line})
	case len(c.States) == 0:
		p.addError(line, words[0], "statement before the first state")
	case words[0] == "ignore" && len(words) > 1 && words[1] != "->":
		for _, w := range words[1:] {
			p.recordHandled(line, w)
		}
		s := &c.States[len(c.States)-1]
		s.Ignored = append(s.Ignored, words[1:]...)
	case len(words) == 3 && words[1] == "->" || len(words) > 4 && words[1] == "->" && words[3] == ":":
		p.recordHandled(line, words[0])
		t := Transition{Event: words[0], Next: words[2], line: line}
		if len(words) > 4 {
			t.Actions = words[4:]
		}
		s := &c.States[len(c.States)-1]
		s.Transitions = append(s.Transitions, t)
	default:
		p.addError(line, words[0], "expected chart, start, state, ignore or event -> state : actions")
	}
}

// recordHandled adds an event to those of the chart and reports an error when the
// last state handles it already.
func (p *parser) recordHandled(line int, event string) {
	s := &p.chart.States[len(p.chart.States)-1]
	if s.handles(event) {
		p.addError(line, event, "event is handled twice in state "+s.Name)
	}
	if !slices.Contains(p.chart.events, event) {
		p.chart.events = append(p.chart.events, event)
	}
}

func (s *State) handles(event string) bool {
	return slices.Contains(s.Ignored, event) ||
		slices.ContainsFunc(s.Transitions, func(t Transition) bool { return t.Event == event })
}
