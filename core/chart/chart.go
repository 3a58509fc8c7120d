package chart

// Chart is a checked state chart. It is immutable.
type Chart struct {
	Name   string
	Start  string
	States []State
	index  map[string]int
	events []string
}

// State is one state of a chart.
type State struct {
	Name        string
	Final       bool
	Transitions []Transition
	Ignored     []string
	line        int
}

// Transition is what an event does in a state.
type Transition struct {
	Event   string
	Next    string
	Actions []string
	line    int
}

// Events returns the events of the chart in order of appearance.
func (c *Chart) Events() []string { return c.events }

// Machine returns a new machine in the start state.
func (c *Chart) Machine() *Machine { return &Machine{chart: c, at: c.index[c.Start]} }

// Machine is one object that follows a chart.
type Machine struct {
	chart *Chart
	at    int
}

// State returns the name of the current state.
func (m *Machine) State() string { return m.chart.States[m.at].Name }

// Fire applies an event and returns the actions of the transition, none when
// the state ignores the event.
func (m *Machine) Fire(event string) ([]string, error) {
	s := &m.chart.States[m.at]
	for i := range s.Transitions {
		if t := &s.Transitions[i]; t.Event == event {
			m.at = m.chart.index[t.Next]
			return t.Actions, nil
		}
	}
	if s.Final {
		return nil, nil
	}
	for _, e := range s.Ignored {
		if e == event {
			return nil, nil
		}
	}
	return nil, &EventError{Chart: m.chart.Name, State: s.Name, Event: event}
}
