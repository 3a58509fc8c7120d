package logs_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/logs"
)

// sink is a concurrency-safe buffer.
type sink struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *sink) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// Guards against lines above the rate that reach the reader, and against lines
// that are dropped without a report.
func TestRateLimitedWriterDropsExcessLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &sink{}
		b := logs.NewRateLimitedWriter(out, 10)
		for i := range 100 {
			fmt.Fprintf(b, "{\"line\":%d}\n", i)
		}
		time.Sleep(1100 * time.Millisecond) // virtual time
		is.Equal(strings.Count(out.String(), `{"line":`), 20)
		is.True(strings.Contains(out.String(), `{"event":"lines left out","lines":80,`))
		is.Equal(b.Dropped(), int64(80))
		fmt.Fprintln(b, "last")
		b.Close()
		is.True(strings.HasSuffix(out.String(), "last\n"))
	})
}

// Guards against a reader that does not read and blocks the process.
func TestRateLimitedWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, w := io.Pipe()
		b := logs.NewRateLimitedWriter(w, 1_000_000)
		began := time.Now()
		for range 5000 {
			fmt.Fprintln(b, "line")
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.True(b.Dropped() >= 3000)
		b.Close()
		is.True(time.Since(began) < time.Second)
		r.Close()
	})
}
