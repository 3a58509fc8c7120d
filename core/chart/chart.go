package chart

// Chart is a state chart that passed all checks. It is immutable.
type Chart struct {
	Name   string
	Start  string
	States []State
	index  map[string]int
	events []string
}

// State is a state with the transitions it defines and the events it ignores.
type State struct {
	Name        string
	Final       bool
	Transitions []Transition
	Ignored     []string
	line        int
}

// Transition is the next state and the actions for an event.
type Transition struct {
	Event   string
	Next    string
	Actions []string
	line    int
}

// Events returns the events of the chart in order of appearance.
func (c *Chart) Events() []string { return c.events }

// NewMachine returns a machine in the start state.
func (c *Chart) NewMachine() *Machine { return &Machine{chart: c, current: c.index[c.Start]} }

// Machine is an instance of a chart. It holds the current state.
type Machine struct {
	chart   *Chart
	current int
}

// State returns the name of the current state.
func (m *Machine) State() string { return m.chart.States[m.current].Name }

// Fire applies an event and returns the actions of the transition. It returns
// none when the state ignores the event or is final, and an *EventError when the
// state has no transition for the event.
func (m *Machine) Fire(event string) ([]string, error) {
	s := &m.chart.States[m.current]
	for i := range s.Transitions {
		if t := &s.Transitions[i]; t.Event == event {
			m.current = m.chart.index[t.Next]
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
