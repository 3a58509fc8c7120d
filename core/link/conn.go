package link

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/wire"
)

// ClosedError reports that a message was not sent, or that the answer to a call
// did not arrive, because the link ended.
type ClosedError struct{ Reason string }

// Error returns the reason why the link ended.
func (e *ClosedError) Error() string { return "link closed: " + e.Reason }

// Conn is one link between two processes. It is safe for concurrent use.
type Conn struct {
	opts   options
	ws     *websocket.Conn
	peer   wire.Hello
	dialed bool

	sendQueue    chan []byte
	urgentQueue  chan []byte     // is sent before sendQueue; nil unless both sides are control replicas
	ctx          context.Context // ends with the link
	cancel       context.CancelFunc
	closeOnce    sync.Once
	reason       atomic.Pointer[string]
	lastReceived atomic.Int64 // steady time of the last message received, in nanoseconds
	lastSent     atomic.Int64 // steady time of the last message written, in nanoseconds
	handling     atomic.Int64 // steady time since which the reader waits for a handler, in nanoseconds, 0 if it does not
	calls        callQueue

	mu       sync.Mutex
	lastCall uint64
	pending  map[uint64]chan wire.Message
}

func newConn(ws *websocket.Conn, o options, dialed bool) *Conn {
	ws.SetReadLimit(maxHello) // until the peer is known
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{
		opts: o, ws: ws, dialed: dialed, ctx: ctx, cancel: cancel,
		sendQueue: make(chan []byte, o.queueSize),
		pending:   map[uint64]chan wire.Message{},
	}
}

// Peer returns the Hello that the other side sent.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Dialed reports whether this side opened the link.
func (c *Conn) Dialed() bool { return c.dialed }

// Done is closed when the link ends.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Context returns a context that ends with the link.
func (c *Conn) Context() context.Context { return c.ctx }

// Ended reports whether the link has ended.
func (c *Conn) Ended() bool {
	return c.ctx.Err() != nil
}

// Reason returns why the link ended, or an empty string while it is open.
func (c *Conn) Reason() string {
	if r := c.reason.Load(); r != nil {
		return *r
	}
	return ""
}

// Silence returns the time since the last message was received.
func (c *Conn) Silence() time.Duration {
	return c.opts.steady() - time.Duration(c.lastReceived.Load())
}

// Load is the work that waits on a link.
type Load struct {
	Calls   int           // calls of the peer that are being handled or wait for it
	Queue   int           // messages to send
	Blocked time.Duration // how long the reader has been waiting for a handler
}

// Load returns the work that waits on the link.
func (c *Conn) Load() Load {
	l := Load{Calls: c.calls.len(), Queue: len(c.sendQueue) + len(c.urgentQueue)}
	if since := c.handling.Load(); since != 0 {
		l.Blocked = c.opts.steady() - time.Duration(since)
	}
	return l
}

func (c *Conn) markReceived() { c.lastReceived.Store(int64(c.opts.steady())) }

// Close ends the link. Only the first call has an effect; its reason is kept.
func (c *Conn) Close(reason string) {
	c.closeOnce.Do(func() {
		c.reason.Store(&reason)
		c.cancel()
		// The peer detects the closed connection. A WebSocket close handshake
		// would wait for a peer that may not respond.
		_ = c.ws.CloseNow()
	})
}

// Send queues a message. A full queue closes the link, because a peer that does
// not read its messages has to reconnect and restart from a known state.
func (c *Conn) Send(kind wire.Kind, body any) error {
	data, err := encodeMessage(kind, 0, false, body)
	if err != nil {
		return err
	}
	return c.enqueue(data)
}

// SendUrgent is like Send. Between control replicas the message is sent before others
// that wait, and keeps its order among urgent messages only.
func (c *Conn) SendUrgent(kind wire.Kind, body any) error {
	data, err := encodeMessage(kind, 0, false, body)
	if err != nil {
		return err
	}
	if c.urgentQueue == nil {
		return c.enqueue(data)
	}
	return c.enqueueTo(c.urgentQueue, data)
}

// Encoded is an encoded message without an answer. It can be sent on many links.
type Encoded []byte

// Encode encodes a message for SendEncoded.
func Encode(kind wire.Kind, body any) (Encoded, error) { return encodeMessage(kind, 0, false, body) }

// SendEncoded is like Send for a message that is already encoded.
func (c *Conn) SendEncoded(m Encoded) error { return c.enqueue(m) }

// Call sends a message, waits for its answer and decodes it into answer, unless
// answer is nil. An error of type *wire.FaultError comes from the other side;
// after any other error the other side may or may not have handled the call.
func (c *Conn) Call(ctx context.Context, kind wire.Kind, body, answer any) error {
	reply := make(chan wire.Message, 1)
	c.mu.Lock()
	c.lastCall++
	id := c.lastCall
	c.pending[id] = reply
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()

	data, err := encodeMessage(kind, id, false, body)
	if err != nil {
		return err
	}
	if err := c.enqueue(data); err != nil {
		return err
	}
	select {
	case m := <-reply:
		return decodeAnswer(m, answer)
	case <-c.ctx.Done():
		return &ClosedError{Reason: c.Reason()}
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "call %s", kind)
	}
}

func decodeAnswer(m wire.Message, answer any) error {
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

func (c *Conn) enqueue(data []byte) error { return c.enqueueTo(c.sendQueue, data) }

func (c *Conn) enqueueTo(queue chan<- []byte, data []byte) error {
	if c.Ended() {
		return &ClosedError{Reason: c.Reason()}
	}
	select {
	case queue <- data:
		return nil
	default:
		c.Close("send queue is full")
		return &ClosedError{Reason: c.Reason()}
	}
}

func encodeMessage(kind wire.Kind, call uint64, answer bool, body any) ([]byte, error) {
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

// run serves the link until it ends.
func (c *Conn) run() {
	c.markReceived()
	c.lastSent.Store(c.lastReceived.Load())
	c.opts.onOpen(c)
	go c.writeLoop()
	go c.keepAlive()
	c.readLoop()
	c.opts.onClose(c)
}

func (c *Conn) writeLoop() {
	for {
		data, ok := c.nextToSend()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		err := c.ws.Write(ctx, websocket.MessageBinary, data)
		cancel()
		if err != nil {
			c.Close("write: " + err.Error())
			return
		}
		c.lastSent.Store(int64(c.opts.steady()))
		c.opts.countBytes("out", len(data))
	}
}

// nextToSend waits for a message to send. It returns false once the link has ended.
func (c *Conn) nextToSend() ([]byte, bool) {
	select {
	case data := <-c.urgentQueue:
		return data, true
	default:
	}
	select {
	case <-c.ctx.Done():
		return nil, false
	case data := <-c.urgentQueue:
		return data, true
	case data := <-c.sendQueue:
		return data, true
	}
}

// keepAlive sends a ping when nothing was sent for the ping interval, and closes the
// link when nothing arrives within the receive timeout.
func (c *Conn) keepAlive() {
	timer := time.NewTimer(c.opts.pingInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-timer.C:
		}
		silence := c.Silence()
		if c.handling.Load() != 0 {
			silence = 0 // the reader waits
		}
		if silence >= c.opts.receiveTimeout {
			c.Close("nothing received for " + c.opts.receiveTimeout.String())
			return
		}
		idle := c.opts.steady() - time.Duration(c.lastSent.Load())
		if idle >= c.opts.pingInterval {
			if c.Send(wire.KindPing, nil) != nil {
				return
			}
			idle = 0
		}
		timer.Reset(min(c.opts.receiveTimeout-silence, c.opts.pingInterval-idle))
	}
}

func (c *Conn) readLoop() {
	for {
		_, data, err := c.ws.Read(context.Background())
		if err != nil {
			c.Close("read: " + err.Error())
			return
		}
		c.markReceived()
		c.opts.countBytes("in", len(data))
		var m wire.Message
		if err := wire.Decode(data, &m); err != nil {
			c.Close(err.Error())
			return
		}
		// While a handler blocks the reader, nothing can arrive from the peer.
		c.handling.Store(max(1, c.lastReceived.Load()))
		more := c.dispatch(m)
		c.markReceived()
		c.handling.Store(0)
		if !more {
			return
		}
	}
}

// handle calls the handler and returns a panic of it as a *PanicError.
func (c *Conn) handle(m wire.Message) (answer any, err error) {
	defer func() {
		if value := recover(); value != nil {
			failed := &PanicError{Kind: m.Kind, Value: value, Stack: debug.Stack()}
			c.opts.onPanic(failed)
			answer, err = nil, failed
		}
	}()
	return c.opts.handler(c, m)
}

// dispatch handles one message and reports whether to read the next one.
func (c *Conn) dispatch(m wire.Message) bool {
	switch {
	case m.Kind == wire.KindPing:
		// A ping needs no answer: the peer expects pings from this side too, and
		// lastReceived is already updated.
		return true
	case m.Answer:
		c.mu.Lock()
		reply := c.pending[m.Call]
		delete(c.pending, m.Call)
		c.mu.Unlock()
		if reply != nil {
			reply <- m
		}
		return true
	case m.Call == 0:
		if _, err := c.handle(m); err != nil {
			c.Close(err.Error())
			return false
		}
		return true
	}
	switch c.calls.add(m) {
	case callStarts:
		go c.handleCalls(m)
	case callRefused:
		c.answer(m, wire.KindFault, &wire.FaultError{Code: "busy", Detail: "too many calls wait on the link"})
	}
	return true
}

// handleCalls handles a call and those that wait behind it.
func (c *Conn) handleCalls(m wire.Message) {
	for ok := true; ok; m, ok = c.calls.next(c.Ended()) {
		c.handleCall(m)
	}
}

func (c *Conn) handleCall(m wire.Message) {
	body, err := c.handle(m)
	kind := m.Kind
	if err != nil {
		var fault *wire.FaultError
		if !errors.As(err, &fault) {
			fault = &wire.FaultError{Code: "failed", Detail: err.Error()}
		}
		kind, body = wire.KindFault, fault
	}
	c.answer(m, kind, body)
}

// answer sends the answer to a call.
func (c *Conn) answer(m wire.Message, kind wire.Kind, body any) {
	data, err := encodeMessage(kind, m.Call, true, body)
	if err != nil {
		c.Close(err.Error())
		return
	}
	// An error means that the link has ended, which fails the call at the peer.
	_ = c.enqueue(data)
}
