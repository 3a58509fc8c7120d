// Package stub is a stand-in target: it serves lookups, orders and uploads,
// announces itself to the fleet, counts what it ran and fails on demand.
package stub
