// Package daemon assembles an entry from its listeners, agent, data path, logs and
// metrics. The entry programs and the demo run it.
package daemon
