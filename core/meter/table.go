package meter

import "slices"

// Name is the name of a metric without the prefix and suffix that the exporter
// adds.
type Name string

// Names of all metrics. Only metrics in definitions can be registered, and a test
// checks docs/METRICS.md against them.
const (
	Requests            Name = "requests"
	Refusals            Name = "refusals"
	Retries             Name = "retries"
	RetryDecisions      Name = "verdicts"
	Durations           Name = "duration"
	Inflight            Name = "inflight"
	RequestsInterrupted Name = "cuts"
	ActiveRevision      Name = "revision"
	RevisionLag         Name = "lag"
	Links               Name = "links"
	LinkBytes           Name = "linkbytes"
	Ejections           Name = "ejections"
	TargetLimits        Name = "limits"
	WorkspaceTokens     Name = "tokens"
	TargetCrashes       Name = "crashes"
	TargetPauses        Name = "pauses"
	PathStates          Name = "paths"
	RelayedRequests     Name = "relays"
	Admissions          Name = "admissions"
	Claims              Name = "claims"
	CrossRegionBytes    Name = "crossing"
	NearbyBytes         Name = "nearby"
	Connections         Name = "connections"
	Commits             Name = "commits"
	Fsyncs              Name = "syncs"
	DroppedMessages     Name = "dropped"
	DroppedLogLines     Name = "linesout"
	ClosedConnections   Name = "closures"
	HeldBytes           Name = "held"
)

// Metric describes one metric.
type Metric struct {
	Name      Name
	Kind      string
	Unit      string
	Attribute string
	Help      string
}

type definition struct{ kind, unit, attribute, help string }

var definitions = map[Name]definition{
	Requests:            {"counter", "{request}", "service", "Requests answered, by service"},
	Refusals:            {"counter", "{request}", "reason", "Requests refused, by reason"},
	Retries:             {"counter", "{attempt}", "reason", "Further attempts, by reason"},
	RetryDecisions:      {"counter", "{attempt}", "verdict", "Decisions of the retry budgets on further attempts, by verdict"},
	Durations:           {"histogram", "s", "service", "Time from the first byte of a request to the last byte of its answer"},
	RequestsInterrupted: {"counter", "{request}", "service", "Requests cut off by a stop at its time limit or by a second signal"},
	Inflight:            {"gauge", "{request}", "", "Requests in flight"},
	ActiveRevision:      {"gauge", "{revision}", "", "Revision of the configuration in force"},
	RevisionLag:         {"gauge", "s", "", "Time for which the entry has known of a newer revision than the one in force, 0 if it knows of none"},
	Links:               {"gauge", "{link}", "", "Open links to other processes"},
	LinkBytes:           {"counter", "By", "direction", "Bytes on links between processes"},
	Ejections:           {"counter", "{event}", "event", "Events in the ejection of targets"},
	TargetLimits:        {"counter", "{event}", "event", "Changes of the limits that targets name: named, changed or lifted"},
	WorkspaceTokens:     {"counter", "{request}", "result", "Requests of workspaces with a limit, by result: taken, promised (run without an answer of the leader of control), empty or unknown"},
	TargetCrashes:       {"counter", "{request}", "", "Requests during which their target crashed"},
	TargetPauses:        {"counter", "{event}", "event", "Targets that begin a pause (paused) or tell that they leave (leaving)"},
	PathStates:          {"counter", "{check}", "state", "Checks of the path to the targets, by the state that they found: connected, stranded or isolated"},
	RelayedRequests:     {"counter", "{request}", "result", "Requests passed to another entry because this one has no path, by result: answered, declined, refused, failed or cancelled"},
	Admissions:          {"counter", "{request}", "event", "Requests at entries while the targets of a service queue requests: held, released after that, diverted to targets further away, or refused because they could not end in time"},
	Claims:              {"counter", "{claim}", "state", "Claims, by answer"},
	CrossRegionBytes:    {"counter", "By", "direction", "Bytes exchanged with targets in other regions"},
	NearbyBytes:         {"counter", "By", "direction", "Bytes of bodies exchanged with targets in other data centres of the region"},
	Connections:         {"counter", "{attempt}", "use", "Attempts that ended with a complete response, by connection: opened or reused"},
	Commits:             {"counter", "{command}", "command", "Commands applied by a control replica"},
	Fsyncs:              {"counter", "{sync}", "", "Calls of fsync by a control replica"},
	ClosedConnections:   {"counter", "{connection}", "reason", "Connections closed to protect other callers, by reason: memory (it was needed for others), connections (at the limit, idle for longest or not going on) or stall (a request body or a response did not go on)"},
	HeldBytes:           {"gauge", "By", "", "Estimated memory of connections of callers and the requests on them, 0 if the memory of the instance is not set"},
	DroppedLogLines:     {"gauge", "{line}", "", "Lines left out of the log since the start"},
	DroppedMessages:     {"counter", "{message}", "queue", "Messages dropped from full statistics queues"},
}

// Metrics returns all metrics sorted by name.
func Metrics() []Metric {
	out := make([]Metric, 0, len(definitions))
	for name, def := range definitions {
		out = append(out, Metric{Name: name, Kind: def.kind, Unit: def.unit, Attribute: def.attribute, Help: def.help})
	}
	slices.SortFunc(out, func(a, b Metric) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// UnknownError reports the name of a metric that is not defined.
type UnknownError struct{ Name Name }

// Error returns a message with the name of the metric.
func (e *UnknownError) Error() string { return "metric " + string(e.Name) + " is not defined" }
