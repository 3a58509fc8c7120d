package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/stall"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against a body above the buffer that takes room at a target before any of it has
// arrived, against one that is given up and whose target is blamed for it, and against a
// target that is watched while it waits for the caller.
func TestBodyThatStandsStillIsNotTheTargetsFault(t *testing.T) {
	is := is.New(t)
	var table stall.Table
	var now atomic.Int64
	now.Store(time.Now().UnixNano())
	clock := func() time.Time { return time.Unix(0, now.Load()) }
	begun, sent, ended := make(chan proxy.Attempt, 4), make(chan struct{}, 4), make(chan proxy.Outcome, 4)
	reading := make(chan struct{}, 1)
	target := listen(t, func(c net.Conn, in *bufio.Reader) {
		if r, err := http.ReadRequest(in); err == nil {
			_, _ = io.ReadFull(r.Body, make([]byte, 1))
			reading <- struct{}{}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
		}
	})
	e := startEntry(t, false, proxy.Hooks{
		Now:   clock,
		Begin: func(a proxy.Attempt) { begun <- a },
		Sent:  func(proxy.Attempt) { sent <- struct{}{} },
		End:   func(_ proxy.Attempt, o proxy.Outcome) { ended <- o },
		Forward: func(ctx context.Context, _ proxy.Request, giveUp func()) (*stall.Transfer, error) {
			return table.Begin(ctx, 0, giveUp)
		},
	}, proxy.Rules{}, target)
	const size = 200 << 10
	upload := func(first string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", e.addr)
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		_, err = fmt.Fprintf(c, "POST /files/x HTTP/1.1\r\nHost: ledger.example\r\nContent-Length: %d\r\n\r\n%s", size, first)
		is.NoErr(err)
		return c, bufio.NewReader(c)
	}
	upload("")
	whole, in := upload("x")
	is.True((<-begun).Streamed)
	<-reading
	_, err := io.WriteString(whole, strings.Repeat("x", size-1))
	is.NoErr(err)
	<-sent
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(!(<-ended).Stalled)
	is.Equal(len(begun), 0) // the upload without a byte has reached no target

	_, in = upload("x")
	<-begun
	<-reading
	for table.Relieve(clock()) == 0 {
		now.Add(int64(stall.Time))
	}
	resp, err = http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 504)
	is.True((<-ended).Stalled)
	is.Equal(len(sent), 0)
}
