// Package stub implements a stub target for tests and measurements. It serves
// lookups, orders and uploads, announces itself to the fleet, counts the requests
// it executed and injects faults on demand.
package stub
