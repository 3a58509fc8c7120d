// Package fleet keeps track of the instances linked to a control replica,
// pushes revisions and orders to them and collects their reports.
package fleet
