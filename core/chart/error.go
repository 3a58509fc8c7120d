package chart

import "fmt"

// Error is an error in a chart file.
type Error struct {
	Line   int
	Token  string // the offending token
	Reason string
}

// Error returns the line, the token and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("chart: line %d: %s: %s", e.Line, e.Token, e.Reason)
}

// EventError is returned for an event that the current state neither handles nor
// ignores.
type EventError struct{ Chart, State, Event string }

// Error returns the chart, the state and the event.
func (e *EventError) Error() string {
	return fmt.Sprintf("chart %s: state %s: no transition for event %s", e.Chart, e.State, e.Event)
}
