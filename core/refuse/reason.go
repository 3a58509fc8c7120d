package refuse

import "net/http"

// Reason is a one-word identifier of why a request was refused.
type Reason string

// The reasons. Each is also the value of a counter attribute.
const (
	NoRoute     Reason = "noroute"     // no route matches the request
	NoMethod    Reason = "nomethod"    // no request kind of the service accepts the method and path
	NoWorkspace Reason = "noworkspace" // unknown workspace, or one without access to the service
	NoKey       Reason = "nokey"       // the request kind requires an Idempotency-Key
	BadKey      Reason = "badkey"      // the Idempotency-Key is malformed
	BadRequest  Reason = "badrequest"  // the request is malformed
	Upgrade     Reason = "upgrade"     // the request asks to upgrade the protocol
	BadDigest   Reason = "baddigest"   // the upload does not match its Content-Digest
	TooLarge    Reason = "toolarge"    // the body exceeds the limit
	BigHeader   Reason = "bigheader"   // the header exceeds the limit
	Mismatch    Reason = "mismatch"    // the Idempotency-Key was used for another request
	Rate        Reason = "rate"        // the workspace exceeds its rate limit
	Unmetered   Reason = "unmetered"   // the rate limit of the workspace could not be checked
	Overload    Reason = "overload"    // the request was shed before dispatch
	Deadline    Reason = "deadline"    // the request cannot finish, or did not finish, by the deadline
	NoTarget    Reason = "notarget"    // no target of the service is available
	NoPath      Reason = "nopath"      // the instance reaches no target, and no other instance that does
	Paused      Reason = "paused"      // the targets of the service want no request from this entry for some time
	Limited     Reason = "limited"     // the targets of the service are at the limits that they named
	Connect     Reason = "connect"     // no connection to a target could be opened
	Shed        Reason = "shed"        // the target declared that it did not run the request
	Quarantined Reason = "quarantined" // the request crashed several targets
	Broken      Reason = "broken"      // the target failed after the request was dispatched
	NoQuorum    Reason = "noquorum"    // the claim could not be committed
	Running     Reason = "running"     // an earlier request with the key is still running
	Lost        Reason = "lost"        // the outcome of an earlier request with the key is unknown
	Expired     Reason = "expired"     // the request ran, but the stored response for the key has expired
	Draining    Reason = "draining"    // the instance is shutting down
	NotReady    Reason = "notready"    // the instance has no configuration yet
	Stale       Reason = "stale"       // the instance has known for too long of a newer configuration than it has in force

	Unauthorized Reason = "unauthorized" // the request has no key of a workspace
	Unconfirmed  Reason = "unconfirmed"  // the instance cannot confirm that its configuration, which has the keys, is recent
)

type reasonInfo struct {
	status int
	title  string
}

var reasonTable = map[Reason]reasonInfo{
	NoRoute:     {http.StatusNotFound, "No route matches the request"},
	NoMethod:    {http.StatusMethodNotAllowed, "The service accepts no such request"},
	NoWorkspace: {http.StatusForbidden, "The workspace is unknown or has no access to the service"},
	NoKey:       {http.StatusBadRequest, "The request needs an Idempotency-Key"},
	BadKey:      {http.StatusBadRequest, "The Idempotency-Key is malformed"},
	BadRequest:  {http.StatusBadRequest, "The request is malformed"},
	Upgrade:     {http.StatusNotImplemented, "A switch of protocols is not supported"},
	BadDigest:   {http.StatusBadRequest, "The body does not match its Content-Digest"},
	BigHeader:   {http.StatusRequestHeaderFieldsTooLarge, "The header is too large"},
	TooLarge:    {http.StatusRequestEntityTooLarge, "The body is too large"},
	Mismatch:    {http.StatusUnprocessableEntity, "The Idempotency-Key was used for another request"},
	Rate:        {http.StatusTooManyRequests, "The workspace exceeds its rate"},
	Unmetered:   {http.StatusServiceUnavailable, "The rate limit of the workspace could not be checked"},
	Overload:    {http.StatusServiceUnavailable, "The service is overloaded"},
	Deadline:    {http.StatusGatewayTimeout, "The deadline has passed"},
	NoTarget:    {http.StatusServiceUnavailable, "No target of the service is available"},
	NoPath:      {http.StatusServiceUnavailable, "The instance reaches no target"},
	Paused:      {http.StatusServiceUnavailable, "The targets of the service have asked for a pause"},
	Limited:     {http.StatusServiceUnavailable, "The targets of the service are at their limits"},
	Connect:     {http.StatusBadGateway, "No target could be connected"},
	Shed:        {http.StatusServiceUnavailable, "The target shed the request"},
	Quarantined: {http.StatusServiceUnavailable, "The request has crashed several targets"},
	Broken:      {http.StatusBadGateway, "The target failed while it handled the request"},
	NoQuorum:    {http.StatusServiceUnavailable, "The claim for the request could not be committed"},
	Running:     {http.StatusConflict, "An earlier request with the same key is still running"},
	Lost:        {http.StatusConflict, "The outcome of an earlier request with the same key is unknown"},
	Expired:     {http.StatusGone, "The request ran; its stored answer has expired"},
	Draining:    {http.StatusServiceUnavailable, "The instance is shutting down"},
	NotReady:    {http.StatusServiceUnavailable, "The instance has no configuration yet"},
	Stale:       {http.StatusServiceUnavailable, "The instance does not have the newest configuration"},

	Unauthorized: {http.StatusUnauthorized, "The request needs the key of a workspace"},
	Unconfirmed:  {http.StatusServiceUnavailable, "The instance cannot confirm that its configuration is recent"},
}

// Reasons returns every reason.
func Reasons() []Reason {
	out := make([]Reason, 0, len(reasonTable))
	for r := range reasonTable {
		out = append(out, r)
	}
	return out
}

// Status returns the HTTP status code for the reason.
func (r Reason) Status() int { return reasonTable[r].status }

// OfConfiguration reports whether the request is refused because the configuration
// has nothing that accepts it.
func (r Reason) OfConfiguration() bool {
	return r == NoRoute || r == NoMethod || r == NoWorkspace || r == Unauthorized
}

// Title returns a short description for people.
func (r Reason) Title() string { return reasonTable[r].title }
