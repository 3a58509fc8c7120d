package link

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/wire"
)

// ClosedError is a message that was not sent, or a call whose answer did not
// arrive, because the link ended.
type ClosedError struct{ Reason string }

// Error gives the reason of the end.
func (e *ClosedError) Error() string { return "link closed: " + e.Reason }

// Conn is one open link.
type Conn struct {
	opts   options
	ws     *websocket.Conn
	peer   wire.Hello
	dialed bool

	out    chan []byte
	done   chan struct{}
	end    sync.Once
	reason atomic.Pointer[string]
	heard  atomic.Int64 // Unix nanoseconds of the last message received
	sent   atomic.Int64 // Unix nanoseconds of the last message written
	tokens chan struct{}

	mu    sync.Mutex
	next  uint64
	calls map[uint64]chan wire.Message
}

func newConn(ws *websocket.Conn, o options, dialed bool) *Conn {
	ws.SetReadLimit(wire.MaxMessage)
	return &Conn{
		opts: o, ws: ws, dialed: dialed,
		out:    make(chan []byte, o.queue),
		done:   make(chan struct{}),
		tokens: make(chan struct{}, maxCalls),
		calls:  map[uint64]chan wire.Message{},
	}
}

// Peer returns how the other side introduced itself.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Dialed reports whether this side opened the link.
func (c *Conn) Dialed() bool { return c.dialed }

// Done is closed when the link ends.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Ended reports whether the link has ended.
func (c *Conn) Ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// Reason tells why the link ended.
func (c *Conn) Reason() string {
	if r := c.reason.Load(); r != nil {
		return *r
	}
	return ""
}

// Close ends the link.
func (c *Conn) Close(reason string) {
	c.end.Do(func() {
		c.reason.Store(&reason)
		close(c.done)
		// The peer learns of the end from the connection; a closing handshake
		// would wait for a peer that may be silent.
		_ = c.ws.CloseNow()
	})
}

// Send queues a message. A full queue ends the link, because a peer that does
// not take its messages has to start again from a known state.
func (c *Conn) Send(kind wire.Kind, body any) error {
	data, err := frame(kind, 0, false, body)
	if err != nil {
		return err
	}
	return c.queue(data)
}

// Call sends a message and waits for the answer. An error of type
// *wire.FaultError comes from the other side; after any other error the other
// side may or may not have handled the call.
func (c *Conn) Call(ctx context.Context, kind wire.Kind, body, answer any) error {
	wait := make(chan wire.Message, 1)
	c.mu.Lock()
	c.next++
	number := c.next
	c.calls[number] = wait
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.calls, number)
		c.mu.Unlock()
	}()

	data, err := frame(kind, number, false, body)
	if err != nil {
		return err
	}
	if err := c.queue(data); err != nil {
		return err
	}
	select {
	case m := <-wait:
		return readAnswer(m, answer)
	case <-c.done:
		return &ClosedError{Reason: c.Reason()}
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "call %s", kind)
	}
}

func readAnswer(m wire.Message, answer any) error {
	if m.Kind == wire.KindFault {
		fault := &wire.FaultError{}
		if err := wire.Decode(m.Body, fault); err != nil {
			return err
		}
		return fault
	}
	if answer == nil {
		return nil
	}
	return wire.Decode(m.Body, answer)
}

func (c *Conn) queue(data []byte) error {
	if c.Ended() {
		return &ClosedError{Reason: c.Reason()}
	}
	select {
	case c.out <- data:
		return nil
	default:
		c.Close("send queue is full")
		return &ClosedError{Reason: c.Reason()}
	}
}

func frame(kind wire.Kind, call uint64, answer bool, body any) ([]byte, error) {
	m := wire.Message{Kind: kind, Call: call, Answer: answer}
	if body != nil {
		data, err := wire.Encode(body)
		if err != nil {
			return nil, err
		}
		m.Body = data
	}
	return wire.Encode(m)
}

// run carries the link until it ends.
func (c *Conn) run() {
	c.heard.Store(time.Now().UnixNano())
	c.opts.opened(c)
	go c.write()
	go c.watch()
	c.read()
	c.opts.closed(c)
}

func (c *Conn) write() {
	for {
		select {
		case <-c.done:
			return
		case data := <-c.out:
			ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
			err := c.ws.Write(ctx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				c.Close("write: " + err.Error())
				return
			}
			c.sent.Store(time.Now().UnixNano())
			c.opts.count("out", len(data))
		}
	}
}

// watch pings the peer and ends a link on which nothing arrives.
func (c *Conn) watch() {
	ticker := time.NewTicker(c.opts.ping)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			if now.UnixNano()-c.heard.Load() > int64(c.opts.silence) {
				c.Close("nothing received for " + c.opts.silence.String())
				return
			}
			if now.UnixNano()-c.sent.Load() < int64(c.opts.ping) {
				continue // another message told the peer that the path works
			}
			if c.Send(wire.KindPing, nil) != nil {
				return
			}
		}
	}
}

func (c *Conn) read() {
	for {
		_, data, err := c.ws.Read(context.Background())
		if err != nil {
			c.Close("read: " + err.Error())
			return
		}
		c.heard.Store(time.Now().UnixNano())
		c.opts.count("in", len(data))
		var m wire.Message
		if err := wire.Decode(data, &m); err != nil {
			c.Close(err.Error())
			return
		}
		if !c.dispatch(m) {
			return
		}
	}
}

// dispatch handles one message and reports whether the link goes on.
func (c *Conn) dispatch(m wire.Message) bool {
	switch {
	case m.Kind == wire.KindPing:
		// The peer pings by itself; hearing it is all that is needed.
		return true
	case m.Answer:
		c.mu.Lock()
		wait := c.calls[m.Call]
		delete(c.calls, m.Call)
		c.mu.Unlock()
		if wait != nil {
			wait <- m
		}
		return true
	case m.Call == 0:
		if _, err := c.opts.handler(c, m); err != nil {
			c.Close(err.Error())
			return false
		}
		return true
	}
	select {
	case c.tokens <- struct{}{}:
		go func() {
			defer func() { <-c.tokens }()
			c.answer(m)
		}()
		return true
	case <-c.done:
		return false
	}
}

func (c *Conn) answer(m wire.Message) {
	body, err := c.opts.handler(c, m)
	kind := m.Kind
	if err != nil {
		var fault *wire.FaultError
		if !errors.As(err, &fault) {
			fault = &wire.FaultError{Code: "failed", Detail: err.Error()}
		}
		kind, body = wire.KindFault, fault
	}
	data, err := frame(kind, m.Call, true, body)
	if err != nil {
		c.Close(err.Error())
		return
	}
	// An error means that the link has ended; the caller is told by that.
	_ = c.queue(data)
}
