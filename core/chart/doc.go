// Package chart parses, validates, executes and draws state charts.
//
// A chart file has one statement per line; # starts a comment:
//
//	chart target
//	start cold
//	state cold
//	  warmed -> healthy : restore
//	  gone -> gone : drop
//	state gone final
//
// A state lists its events as "event -> state", followed by the actions of the
// transition after a colon. "ignore event ..." lists events that have no effect.
// A state that is not final must list every event of the chart in one of the two
// ways, so that no combination of state and event is overlooked. A final state
// ignores every event.
//
// To use a chart, call Parse on an embedded file when the program starts, with
// the names of the actions that the code implements. Create one Machine per
// object with Chart.NewMachine, call Machine.Fire with each event, and run the
// returned actions. Chart.Mermaid draws the diagram for the documentation.
package chart
