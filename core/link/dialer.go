package link

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

// Times between attempts to dial. The longest one bounds how late an instance
// links again after a partition ends.
const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
	dialTimeout  = 3 * time.Second
)

// Dialer opens links.
type Dialer struct {
	opts   options
	client *http.Client
	scheme string
}

// NewDialer returns a dialer.
func NewDialer(opts ...Option) *Dialer {
	o := newOptions(opts)
	d := &Dialer{opts: o, scheme: "ws"}
	transport := &http.Transport{TLSClientConfig: o.tls, DisableKeepAlives: true}
	if o.tls != nil {
		d.scheme = "wss"
	}
	d.client = &http.Client{Transport: transport}
	return d
}

// Dial opens a link and carries it in the background until it ends.
func (d *Dialer) Dial(ctx context.Context, to netip.AddrPort) (*Conn, error) {
	c, err := d.open(ctx, to)
	if err != nil {
		return nil, err
	}
	go c.run()
	return c, nil
}

func (d *Dialer) open(ctx context.Context, to netip.AddrPort) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	url := d.scheme + "://" + to.String() + Path
	ws, resp, err := websocket.Dial(ctx, url, &websocket.DialOptions{
		HTTPClient:      d.client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", to)
	}
	c := newConn(ws, d.opts, true)
	if err := c.greet(ctx); err != nil {
		c.Close(err.Error())
		return nil, eris.Wrapf(err, "dial %s", to)
	}
	return c, nil
}

// Keep holds a link to an address until ctx ends, dialling again after a
// pause that grows with each failure and is spread at random. It calls failed,
// if that is not nil, after each failure.
func (d *Dialer) Keep(ctx context.Context, to netip.AddrPort, failed func(error)) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		c, err := d.open(ctx, to)
		if err == nil {
			backoff = firstBackoff
			stop := context.AfterFunc(ctx, func() { c.Close("stopped") })
			c.run()
			stop()
			err = &ClosedError{Reason: c.Reason()}
		}
		if ctx.Err() != nil {
			return
		}
		if failed != nil {
			failed(err)
		}
		pause := backoff/2 + rand.N(backoff)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		backoff = min(2*backoff, lastBackoff)
	}
}
