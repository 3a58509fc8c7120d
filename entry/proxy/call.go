package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/galenalock/galenalock/core/poison"
	"github.com/galenalock/galenalock/core/refuse"
)

// call holds the state of one request in the data path.
type call struct {
	proxy      *Proxy
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	request    Request
	trace      string // traceparent for targets
	path       string // decoded path below the prefix that the route strips
	uri        string // request URI for targets
	key        string // idempotency key of a request that needs a claim, otherwise empty
	access     access // what the key of the request proves
	atMostOnce bool   // the request must not be repeated

	upload       *upload
	bufferedBody []byte // request body, if it was read before dispatch
	streaming    bool   // the body is forwarded while it arrives
	header       http.Header
	beforeSend   func() error // called right before the first byte is sent; an error stops the attempt; may be nil
	onUnsent     func()       // called after an attempt that sent no byte; may be nil
	mayHaveRun   atomic.Bool  // a target may have run the request
	route        string       // name of the route
	attempts     int          // number of attempts
	target       Target       // target of the last attempt
	unsent       int          // number of attempts that reached no target
	noTargetLeft bool         // there was no target for a further attempt
	passedOn     bool         // another entry may have sent the request to a target
	wroteHeader  bool         // the response header was sent to the caller
	status       int

	relayed         bool // another entry passed the request on
	attemptsLeft    int  // of a relayed request, targets that may receive it
	earlierAttempts int  // of a relayed request, attempts of the entry that passed it on
	// chosenService is the service to which the entry that passed the request on assigns
	// it, empty if that entry does not say.
	chosenService string

	printOnce  sync.Once
	printValue poison.Print
}

func newCall(p *Proxy, w http.ResponseWriter, r *http.Request) *call {
	c := &call{proxy: p, w: w, r: r, controller: http.NewResponseController(w)}
	c.trace, c.request.ID = traceparent(r.Header.Get(headerTrace), p.hooks.Random)
	if d := &p.dialect; d.Request != "" {
		if id := r.Header.Get(d.Request); id != "" {
			c.request.ID = id
		}
	}
	c.request.Start = p.hooks.Now()
	c.request.View = p.hooks.View()
	return c
}

func (c *call) serve() error {
	hooks := &c.proxy.hooks
	if !c.request.View.usable() {
		hooks.Await(c.r.Context())
		c.request.View = hooks.View()
		if c.r.Context().Err() != nil {
			return errCallerGone
		}
	}
	if !c.request.View.usable() {
		return &refuse.Error{Reason: refuse.NotReady, Run: refuse.NotRun, RetryAfter: retryStarting}
	}
	if hooks.Stale() {
		return &refuse.Error{Reason: refuse.Stale, Run: refuse.NotRun, RetryAfter: retryElsewhere}
	}
	if err := c.match(); err != nil {
		return err
	}
	c.atMostOnce = c.atMostOnce || c.proxy.rules.AtMostOnce(c.request.Kind)
	if err := c.readKey(); err != nil {
		return err
	}
	c.request.Deadline = c.deadline()
	leave, ok := hooks.Enter(c.request)
	if !ok {
		return &refuse.Error{Reason: refuse.Draining, Run: refuse.NotRun, RetryAfter: retryElsewhere}
	}
	defer leave()
	err := c.serveMatched()
	if err == nil && !c.relayed {
		hooks.Answered(c.request, c.status, hooks.Now().Sub(c.request.Start))
	}
	return err
}

// serveMatched reads the body if needed, waits for admission and serves the
// request within its deadline.
func (c *call) serveMatched() error {
	left := c.request.Deadline.Sub(c.proxy.hooks.Now())
	ctx, cancel := context.WithTimeout(c.r.Context(), left)
	defer cancel()
	detached := ctx
	if c.detaches() {
		var cancelDetached context.CancelFunc
		detached, cancelDetached = context.WithTimeout(context.WithoutCancel(c.r.Context()), left)
		defer cancelDetached()
	}
	if limit := c.request.View.Text.Limits.BodyBytes; limit > 0 && c.r.Body != nil {
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	c.upload = newUpload(c.r, c.controller, c.proxy.rules.UploadError, c.proxy.hooks.Now)
	c.upload.onEnd = c.removeTrailers
	g := &guard{controller: c.controller, now: c.proxy.hooks.Now}
	defer g.end()
	defer context.AfterFunc(detached, func() { g.fire(c.upload) })()

	if err := c.loadBody(ctx); err != nil {
		return err
	}
	defer c.upload.stop()
	c.request.Print = c.print
	// A request with a key may have run earlier, which its claim tells.
	if c.key == "" {
		if err := c.quarantine(); err != nil {
			return c.dispatchRefusal(ctx, err)
		}
	}
	if c.streaming {
		transfer, err := c.proxy.hooks.Forward(ctx, c.request, c.upload.giveUp)
		if err != nil {
			return admissionRefusal(ctx, err)
		}
		c.upload.transfer = transfer
		defer transfer.End()
	}
	admitted, err := c.admit(ctx)
	if err != nil {
		return err
	}
	c.request.Admission = admitted
	answered := false
	defer func() { admitted.release(answered) }()
	err = c.serveAdmitted(ctx, detached)
	answered = err == nil
	return err
}

// admit waits for admission. While the instance shuts down, it waits only as long as
// an attempt may begin.
func (c *call) admit(ctx context.Context) (Admission, error) {
	waiting := ctx
	if left, stopping := c.proxy.hooks.StopsIn(c.proxy.hooks.Now()); stopping {
		var cancel context.CancelFunc
		waiting, cancel = context.WithTimeout(ctx, left-lastAttempt)
		defer cancel()
	}
	admitted, err := c.proxy.hooks.Admit(waiting, c.request)
	switch {
	case err == nil:
		return admitted, nil
	case waiting.Err() != nil && ctx.Err() == nil:
		return admitted, &refuse.Error{Reason: refuse.Draining, Run: refuse.NotRun, RetryAfter: retryElsewhere, Err: err}
	}
	return admitted, admissionRefusal(ctx, err)
}

// detaches reports whether the request continues at its target after its caller has
// left.
func (c *call) detaches() bool {
	return c.proxy.rules.Detach(c.request.Kind) || c.relayed && c.atMostOnce
}

// serveAdmitted dispatches an admitted request, with a claim if it has a key, and
// forwards the response.
func (c *call) serveAdmitted(ctx, detached context.Context) error {
	c.header = c.targetHeader()
	if c.key != "" && !c.relayed && c.proxy.hooks.PathLost() {
		c.request.Path = RelayPath // the other entry makes the claim
	} else if c.key != "" {
		return c.serveKeyed(ctx, detached)
	}
	a, err := c.dispatch(detached)
	if err != nil {
		return c.dispatchRefusal(detached, err)
	}
	return c.reply(a, nil)
}
