package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Default and maximum of the lines per second. The default is as much as anyone
// reads from one process; the limit keeps a wrong setting from filling a disk.
const (
	DefaultLinesPerSecond = 200
	MaxLinesPerSecond     = 100000
)

const (
	// queueCapacity is the number of lines that are buffered for a slow reader.
	queueCapacity = 1024
	// burstSeconds is the burst size, in seconds of the permitted rate.
	burstSeconds = 2
	// reportInterval is the interval between reports of dropped lines.
	reportInterval = time.Second
	// flushTimeout is the maximum time that Close waits for a slow reader.
	flushTimeout = 200 * time.Millisecond
)

// RateLimitedWriter is a writer of log lines that never blocks. It drops lines
// that exceed a rate or that a slow reader does not take in time, and periodically
// logs the number of dropped lines.
type RateLimitedWriter struct {
	out                io.Writer
	limiter            *rate.Limiter
	lines              chan []byte
	droppedSinceReport atomic.Int64
	droppedTotal       atomic.Int64 // since the writer was created
	done               chan struct{}
	closeOnce          sync.Once
	stop               chan struct{}
}

// NewRateLimitedWriter returns a writer that passes on up to the given number of
// lines per second. Close stops its goroutine.
func NewRateLimitedWriter(out io.Writer, lines int) *RateLimitedWriter {
	w := &RateLimitedWriter{
		out: out, limiter: rate.NewLimiter(rate.Limit(lines), burstSeconds*lines),
		lines: make(chan []byte, queueCapacity), done: make(chan struct{}), stop: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues or drops one line. It returns no error.
func (w *RateLimitedWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.countDropped()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.countDropped()
	}
	return len(line), nil
}

func (w *RateLimitedWriter) countDropped() {
	w.droppedSinceReport.Add(1)
	w.droppedTotal.Add(1)
}

// Dropped returns the number of lines that were dropped since the writer was
// created.
func (w *RateLimitedWriter) Dropped() int64 { return w.droppedTotal.Load() }

func (w *RateLimitedWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case now := <-ticker.C:
			w.reportDropped(now)
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// writeLine writes a line to the output. Errors are ignored, because a failed log
// output leaves no place to report them.
func (w *RateLimitedWriter) writeLine(line []byte) { _, _ = w.out.Write(line) }

func (w *RateLimitedWriter) reportDropped(now time.Time) {
	if n := w.droppedSinceReport.Swap(0); n > 0 {
		w.writeLine(fmt.Appendf(nil, "{\"event\":\"lines left out\",\"lines\":%d,\"time\":%q}\n", n, now.Format(time.RFC3339Nano)))
	}
}

func (w *RateLimitedWriter) flush() {
	w.reportDropped(time.Now())
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// Close writes the queued lines and stops the goroutine. It waits for a slow
// reader no longer than flushTimeout.
func (w *RateLimitedWriter) Close() {
	w.closeOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}
