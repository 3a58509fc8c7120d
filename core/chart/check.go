package chart

import "slices"

// check looks for faults that concern the chart as a whole.
func (p *parser) check(actions []string) {
	c := p.chart
	if c.Name == "" {
		p.fault(1, "chart", "the chart has no name")
	}
	first, ok := c.index[c.Start]
	if !ok {
		p.fault(max(p.line, 1), c.Start, "the start state is not defined")
	}
	for i := range c.States {
		p.checkState(&c.States[i], actions)
	}
	if !ok {
		return
	}
	reached := make([]bool, len(c.States))
	p.reach(first, reached)
	for i, r := range reached {
		if !r {
			p.fault(c.States[i].line, c.States[i].Name, "state cannot be reached")
		}
	}
}

func (p *parser) checkState(s *State, actions []string) {
	for _, t := range s.Transitions {
		if _, ok := p.chart.index[t.Next]; !ok {
			p.fault(t.line, t.Next, "unknown state")
		}
		for _, a := range t.Actions {
			if !slices.Contains(actions, a) {
				p.fault(t.line, a, "no code provides this action")
			}
		}
		if s.Final {
			p.fault(t.line, t.Event, "a final state has no transitions")
		}
	}
	if s.Final {
		return
	}
	for _, e := range p.chart.events {
		if !s.handles(e) {
			p.fault(s.line, e, "event has no transition in state "+s.Name)
		}
	}
}

func (p *parser) reach(at int, reached []bool) {
	if reached[at] {
		return
	}
	reached[at] = true
	for _, t := range p.chart.States[at].Transitions {
		if next, ok := p.chart.index[t.Next]; ok {
			p.reach(next, reached)
		}
	}
}
