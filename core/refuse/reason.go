package refuse

import "net/http"

// Reason names in one word why a request was refused.
type Reason string

// The reasons. Each has a counter attribute of the same name.
const (
	NoRoute     Reason = "noroute"     // no route matches the request
	NoMethod    Reason = "nomethod"    // no kind of the service accepts the method and path
	NoWorkspace Reason = "noworkspace" // unknown workspace, or one without access to the service
	NoKey       Reason = "nokey"       // the kind requires an Idempotency-Key
	BadKey      Reason = "badkey"      // the Idempotency-Key is malformed
	BadRequest  Reason = "badrequest"  // the request itself is malformed
	Upgrade     Reason = "upgrade"     // the request asks for a switch of protocols
	BadDigest   Reason = "baddigest"   // the upload does not match its Content-Digest
	TooLarge    Reason = "toolarge"    // the body exceeds the limit
	BigHeader   Reason = "bigheader"   // the header exceeds the limit
	Mismatch    Reason = "mismatch"    // the key was used for another request
	Rate        Reason = "rate"        // the workspace exceeds its rate
	Overload    Reason = "overload"    // shed before dispatch
	Deadline    Reason = "deadline"    // cannot finish, or did not finish, by the deadline
	NoTarget    Reason = "notarget"    // no target of the service can be used
	Connect     Reason = "connect"     // no connection to a target could be opened
	Shed        Reason = "shed"        // the target declared that it did not run the request
	Broken      Reason = "broken"      // the target failed after the request was dispatched
	NoQuorum    Reason = "noquorum"    // the claim could not be committed
	Running     Reason = "running"     // an earlier request with the key is still running
	Lost        Reason = "lost"        // the outcome of an earlier request with the key is unknown
	Expired     Reason = "expired"     // the stored answer for the key is gone, the request ran
	Draining    Reason = "draining"    // the instance is shutting down
	NotReady    Reason = "notready"    // the instance has no configuration yet
)

type entry struct {
	status int
	title  string
}

var table = map[Reason]entry{
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
	Overload:    {http.StatusServiceUnavailable, "The service is overloaded"},
	Deadline:    {http.StatusGatewayTimeout, "The deadline has passed"},
	NoTarget:    {http.StatusServiceUnavailable, "No target of the service is available"},
	Connect:     {http.StatusBadGateway, "No target could be connected"},
	Shed:        {http.StatusServiceUnavailable, "The target shed the request"},
	Broken:      {http.StatusBadGateway, "The target failed while it handled the request"},
	NoQuorum:    {http.StatusServiceUnavailable, "The claim for the request could not be committed"},
	Running:     {http.StatusConflict, "An earlier request with the same key is still running"},
	Lost:        {http.StatusConflict, "The outcome of an earlier request with the same key is unknown"},
	Expired:     {http.StatusGone, "The request ran; its stored answer has expired"},
	Draining:    {http.StatusServiceUnavailable, "The instance is shutting down"},
	NotReady:    {http.StatusServiceUnavailable, "The instance has no configuration yet"},
}

// Reasons returns every reason.
func Reasons() []Reason {
	out := make([]Reason, 0, len(table))
	for r := range table {
		out = append(out, r)
	}
	return out
}

// Status returns the HTTP status of the reason.
func (r Reason) Status() int { return table[r].status }

// Title returns a sentence for people.
func (r Reason) Title() string { return table[r].title }
