// Package fleet tracks the instances of a fleet for a control replica. It pushes
// revisions, orders and targets over their links and collects their reports.
package fleet
