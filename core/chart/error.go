package chart

import "fmt"

// Error is a fault in a chart file.
type Error struct {
	Line   int
	Word   string // the word that is wrong
	Reason string
}

// Error names the line, the word and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("chart: line %d: %s: %s", e.Line, e.Word, e.Reason)
}

// EventError is an event that the chart does not know.
type EventError struct{ Chart, State, Event string }

// Error names the chart, the state and the event.
func (e *EventError) Error() string {
	return fmt.Sprintf("chart %s: state %s: no transition for event %s", e.Chart, e.State, e.Event)
}
