package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/budget"
)

type connKey struct{}

// withConn stores the connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if accepted := acceptedConn(c); accepted != nil {
		return context.WithValue(ctx, connKey{}, accepted)
	}
	return ctx
}

// overloadRetryAfter is the time after which a caller may resend a request for which there
// was no memory.
const overloadRetryAfter = time.Second

// guard returns a handler that counts what each request holds in memory and closes the
// connections of requests whose body does not go on. The handler below can count more
// by budget.FromContext.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		stage := budget.Serving
		if hasBody {
			stage = budget.Body
		}
		charge := c.holder.Request(stage)
		defer charge.End()
		c.begin(r)
		if !charge.Add(parsedCost(r)) {
			c.holder.SetLingering(hasBody && r.ProtoMajor == 1)
			w.Header().Set("Connection", "close")
			WriteProblem(w, r, &ProblemError{
				Status: http.StatusServiceUnavailable, Reason: "overload", Detail: errNoMemory.Error(), RetryAfter: overloadRetryAfter,
			})
			return
		}
		ctx, cancel := context.WithCancel(budget.WithCharge(r.Context(), charge))
		defer cancel()
		if r.ProtoMajor == 1 {
			c.setCancel(cancel)
			defer c.setCancel(nil)
		}
		r = r.WithContext(ctx)
		if hasBody {
			body := &guardedBody{ReadCloser: r.Body, conn: c, charge: charge, byteCost: s.bodyByteCost}
			c.listener.addBody(c, 1)
			defer body.finish()
			if r.ProtoMajor == 1 {
				defer body.linger()
			}
			if s.limits.StallTimeout > 0 {
				body.interval = s.limits.StallTimeout / stallChecks
				body.stallTimer = time.AfterFunc(body.interval, body.checkStall)
				defer body.stop()
			}
			r.Body = body
		}
		next.ServeHTTP(w, r)
		if !c.isHijacked() && (c.isGivenUp() || c.holder.IsGivenUp()) {
			// net/http would keep the request for another 500 ms, in which the caller of
			// an open connection could read the response.
			panic(http.ErrAbortHandler)
		}
	})
}

// guardedBody is a request body that counts the bytes read.
type guardedBody struct {
	io.ReadCloser
	conn       *conn
	charge     *budget.Charge
	byteCost   int64       // memory of each byte read, 0: the handler counts it
	stallTimer *time.Timer // nil without a limit
	interval   time.Duration

	mu      sync.Mutex
	ended   bool // read to its end, or the request has ended
	reading bool // a read waits for the caller
	checks  int  // that this read has outlasted
}

// stallChecks is the number of checks that a read outlasts in the time limit. After a
// pause of the process there is one check at once, which must not end a read whose bytes
// have arrived.
const stallChecks = 3

func (b *guardedBody) checkStall() {
	b.mu.Lock()
	b.checks++
	stalled := b.reading && b.checks >= stallChecks
	if b.reading && !stalled {
		b.stallTimer.Reset(b.interval)
	}
	b.mu.Unlock()
	if stalled {
		b.conn.listener.giveUp(b.conn, ClosedForStall)
	}
}

// setReading begins or ends the wait of a read.
func (b *guardedBody) setReading(on bool) {
	if b.stallTimer == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading, b.checks = on, 0
	if on {
		b.stallTimer.Reset(b.interval)
	}
}

func (b *guardedBody) stop() {
	b.setReading(false)
	b.stallTimer.Stop()
}

// Read reads from the body.
func (b *guardedBody) Read(p []byte) (int, error) {
	b.setReading(true)
	n, err := b.ReadCloser.Read(p)
	b.setReading(false)
	if n > 0 {
		b.conn.recordProgress()
		b.conn.updateHTTP2(func(s *http2State) { s.read(int64(n)) })
		b.charge.Advance()
		if !b.charge.Add(int64(n) * b.byteCost) {
			b.conn.listener.giveUp(b.conn, ClosedForMemory)
			return 0, errNoMemory
		}
	}
	if err != nil {
		b.finish()
	}
	return n, err
}

// linger records that net/http may keep the connection open for the rest of the body, so
// that the caller receives the response.
func (b *guardedBody) linger() {
	b.mu.Lock()
	ended := b.ended
	b.mu.Unlock()
	if !ended {
		b.conn.holder.SetLingering(true)
	}
}

// finish records that nothing more of the body is awaited.
func (b *guardedBody) finish() {
	b.mu.Lock()
	ended := b.ended
	b.ended = true
	b.mu.Unlock()
	if !ended {
		b.conn.listener.addBody(b.conn, -1)
		b.charge.SetStage(budget.Serving)
	}
}
