// Package chart parses, checks, interprets and draws state charts.
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
// transition after a colon. "ignore event ..." lists events that are accepted
// without effect. A state that is not final must handle every event of the
// chart in one of the two ways, so that no event can arrive unforeseen.
//
// Call pattern: Parse an embedded file when the program starts, with the names
// of the actions that the code provides; create one Machine per object with
// Chart.Machine; call Machine.Fire with each event and run the returned
// actions. Chart.Mermaid draws the diagram for the documentation.
package chart
