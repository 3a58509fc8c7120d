package chart

import "slices"

// checkChart reports errors that need the whole chart, such as unknown target
// states and unreachable states.
func (p *parser) checkChart(actions []string) {
	c := p.chart
	if c.Name == "" {
		p.addError(1, "chart", "the chart has no name")
	}
	first, ok := c.index[c.Start]
	if !ok {
		p.addError(max(p.startLine, 1), c.Start, "the start state is not defined")
	}
	for i := range c.States {
		p.checkState(&c.States[i], actions)
	}
	if !ok {
		return
	}
	reached := make([]bool, len(c.States))
	p.markReachable(first, reached)
	for i, r := range reached {
		if !r {
			p.addError(c.States[i].line, c.States[i].Name, "state cannot be reached")
		}
	}
}

func (p *parser) checkState(s *State, actions []string) {
	for _, t := range s.Transitions {
		if _, ok := p.chart.index[t.Next]; !ok {
			p.addError(t.line, t.Next, "unknown state")
		}
		for _, a := range t.Actions {
			if !slices.Contains(actions, a) {
				p.addError(t.line, a, "no code provides this action")
			}
		}
		if s.Final {
			p.addError(t.line, t.Event, "a final state has no transitions")
		}
	}
	if s.Final {
		return
	}
	for _, e := range p.chart.events {
		if !s.handles(e) {
			p.addError(s.line, e, "event has no transition in state "+s.Name)
		}
	}
}

func (p *parser) markReachable(state int, reached []bool) {
	if reached[state] {
		return
	}
	reached[state] = true
	for _, t := range p.chart.States[state].Transitions {
		if next, ok := p.chart.index[t.Next]; ok {
			p.markReachable(next, reached)
		}
	}
}
