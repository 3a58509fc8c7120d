package proxy

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/galenalock/galenalock/core/refuse"
)

// call is one request on its way through the data path.
type call struct {
	proxy   *Proxy
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	request Request
	trace   string // traceparent for targets
	path    string // decoded path inside the service
	uri     string // request URI for targets
	key     string // of a request that needs a claim, otherwise empty
	once    bool   // the request must not be repeated

	upload  *upload
	data    []byte // the body when it was read before dispatch
	streams bool   // the body is sent while it arrives
	header  http.Header
	gate    func() error // asked right before the first byte is sent, may be nil
	undo    func()       // told that no byte was sent after all, may be nil
	touched atomic.Bool  // a target may have run the request
	route   string       // name of the route
	made    int          // attempts
	target  Target       // of the last attempt
	unsent  int          // attempts of which no byte was sent
	written bool         // the head of the response went to the caller
	status  int
}

func newCall(p *Proxy, w http.ResponseWriter, r *http.Request) *call {
	c := &call{proxy: p, w: w, r: r, control: http.NewResponseController(w)}
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
			return errGone
		}
	}
	if !c.request.View.usable() {
		return &refuse.Error{Reason: refuse.NotReady, Run: refuse.NotRun, Retry: retryStarting}
	}
	if err := c.match(); err != nil {
		return err
	}
	c.once = c.proxy.rules.Once(c.request.Kind)
	if err := c.readKey(); err != nil {
		return err
	}
	c.request.Deadline = c.deadline()
	leave, ok := hooks.Enter(c.request)
	if !ok {
		return &refuse.Error{Reason: refuse.Draining, Run: refuse.NotRun, Retry: retryElsewhere}
	}
	defer leave()
	err := c.run()
	if err == nil {
		hooks.Answered(c.request, c.status, hooks.Now().Sub(c.request.Start))
	}
	return err
}

// run carries a matched request to its end.
func (c *call) run() error {
	left := c.request.Deadline.Sub(c.proxy.hooks.Now())
	ctx, cancel := context.WithTimeout(c.r.Context(), left)
	defer cancel()
	detached := ctx
	if c.proxy.rules.Detach(c.request.Kind) {
		var end context.CancelFunc
		detached, end = context.WithTimeout(context.WithoutCancel(c.r.Context()), left)
		defer end()
	}
	if limit := c.request.View.Text.Limits.Body; limit > 0 && c.r.Body != nil {
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	c.upload = newUpload(c.r, c.control, c.proxy.rules.Short)
	g := &guard{control: c.control, now: c.proxy.hooks.Now}
	defer g.end()
	defer context.AfterFunc(detached, func() { g.fire(c.upload) })()

	if err := c.load(ctx); err != nil {
		return err
	}
	defer c.upload.stop()
	admitted, err := c.proxy.hooks.Admit(ctx, c.request)
	if err != nil {
		return admission(ctx, err)
	}
	c.request.Admission = admitted
	answered := false
	defer func() { admitted.release(answered) }()
	err = c.carry(ctx, detached)
	answered = err == nil
	return err
}

// carry carries an admitted request to its end.
func (c *call) carry(ctx, detached context.Context) error {
	c.header = c.outgoing()
	if c.key != "" {
		return c.claim(ctx, detached)
	}
	a, err := c.dispatch(detached)
	if err != nil {
		return c.refusal(detached, err)
	}
	return c.reply(a, nil)
}
