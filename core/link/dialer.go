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

// Delays between dial attempts before jitter, and the timeout of one attempt.
// maxBackoff determines how late an instance reconnects after a partition ends;
// with jitter, the longest delay is 1.5 times as long.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	dialTimeout    = 3 * time.Second
)

// Dialer opens links to servers.
type Dialer struct {
	opts   options
	client *http.Client
	scheme string
}

// NewDialer returns a dialer.
func NewDialer(opts ...Option) *Dialer {
	o := newOptions(opts)
	d := &Dialer{opts: o, scheme: "ws"}
	transport := &http.Transport{TLSClientConfig: o.tls, DisableKeepAlives: true, DialContext: o.dial}
	if o.tls != nil {
		d.scheme = "wss"
	}
	d.client = &http.Client{Transport: transport}
	return d
}

// Dial opens a link and serves it in the background until it ends.
func (d *Dialer) Dial(ctx context.Context, to netip.AddrPort) (*Conn, error) {
	c, err := d.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	go c.run()
	return c, nil
}

func (d *Dialer) connect(ctx context.Context, to netip.AddrPort) (*Conn, error) {
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
	if err := c.exchangeHello(ctx); err != nil {
		c.Close(err.Error())
		return nil, eris.Wrapf(err, "dial %s", to)
	}
	return c, nil
}

// KeepConnected maintains a link to an address until ctx ends. After each
// failure it calls onError, if that is not nil, and dials again after an
// exponential backoff with jitter.
func (d *Dialer) KeepConnected(ctx context.Context, to netip.AddrPort, onError func(error)) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		c, err := d.connect(ctx, to)
		if err == nil {
			backoff = initialBackoff
			stop := context.AfterFunc(ctx, func() { c.Close("stopped") })
			c.run()
			stop()
			err = &ClosedError{Reason: c.Reason()}
		}
		if ctx.Err() != nil {
			return
		}
		if onError != nil {
			onError(err)
		}
		delay := backoff/2 + rand.N(backoff)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
