// Package daemon assembles and runs one control replica.
package daemon
