// Package daemon assembles an entry: listeners, agent, data path, logs and
// metrics. The program and the demo both run it.
package daemon
