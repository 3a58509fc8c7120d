package wire

// maxTokenDemands limits the workspaces in one TokenRequest.
const maxTokenDemands = 4096

// maxTokens limits the numbers in a TokenDemand. An entry serves far fewer requests in the
// lifetime of a token.
const maxTokens = 1_000_000

// maxSilence limits TokenRequest.Silence. It is a day, in milliseconds.
const maxSilence = 24 * 3600 * 1000

// TokenRequest asks for tokens of workspaces with a rate limit. An entry sends one
// without demands to show that it is in touch with control.
type TokenRequest struct {
	_     struct{} `cbor:",toarray"`
	Entry uint64   // identifies the incarnation of the entry; set by the replica that forwards the request
	// Silence is the number of milliseconds since the entry sent the last request that
	// was answered, 0 before the first answer.
	Silence int64
	List    []TokenDemand
}

// TokenDemand asks for tokens of one workspace.
type TokenDemand struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint64   // number, see bucket.Directory
	Want      int
	Return    int // tokens granted recently that the entry does not need
	// Release is the rate, in thousandths of a request a second, that former leaders had
	// promised and that the entry no longer uses.
	Release int
}

// Check returns a *FaultError if a number is out of range.
func (r TokenRequest) Check() error {
	if r.Silence < 0 || r.Silence > maxSilence || len(r.List) > maxTokenDemands {
		return &FaultError{Code: "malformed", Detail: "request for tokens"}
	}
	for _, d := range r.List {
		if d.Want < 0 || d.Return < 0 || d.Release < 0 || d.Want > maxTokens || d.Return > maxTokens {
			return &FaultError{Code: "malformed", Detail: "number of tokens"}
		}
	}
	return nil
}

// TokenAnswer answers a TokenRequest.
type TokenAnswer struct {
	_       struct{}     `cbor:",toarray"`
	Office  uint64       // term of the leader that answers
	Pending bool         // the leader may not grant tokens yet; List is empty
	Standby bool         // a replica answers, since the leader does not; Rate is 0
	List    []TokenGrant // in the order of the demands
}

// TokenGrant grants tokens of one workspace.
type TokenGrant struct {
	_      struct{} `cbor:",toarray"`
	Tokens int
	Wait   int // milliseconds until there are more; 0 if Tokens is the number asked for
	Rate   int // thousandths of a request a second at which the entry continues without an answer
}

// TokenBatch carries the requests of the entries of a replica to the leader.
type TokenBatch struct {
	_       struct{}     `cbor:",toarray"`
	Replica TokenRequest // of the replica itself, without wants
	Office  uint64       // term of the leader that granted tokens last; the replica uses no earlier promises
	List    []TokenRequest
}

// Check returns a *FaultError if a number is out of range.
func (b TokenBatch) Check() error {
	for _, r := range append([]TokenRequest{b.Replica}, b.List...) {
		if err := r.Check(); err != nil {
			return err
		}
	}
	return nil
}

// TokenBatchAnswer answers a TokenBatch.
type TokenBatchAnswer struct {
	_        struct{}       `cbor:",toarray"`
	Office   uint64         // as in TokenAnswer
	Pending  bool           // as in TokenAnswer; both lists are empty
	List     []TokenAnswer  // in the order of the requests
	Promises []TokenPromise // to the replica, of the workspaces in the batch
}

// TokenPromise is the rate at which a replica continues for a workspace without the
// leader.
type TokenPromise struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint64
	Rate      int // thousandths of a request a second
}
