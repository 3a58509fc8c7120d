package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Lines a second. Nobody reads more than the default of one process, and the
// bound keeps a mistake in a setting from filling a disk.
const (
	DefaultLines = 200
	MaxLines     = 100000
)

const (
	// queued is how many lines wait for a slow reader of the log.
	queued = 1024
	// burst is how many seconds' worth of lines may come at once.
	burst = 2
	// reportEvery paces the lines about lines that were left out.
	reportEvery = time.Second
	// flushTimeout bounds the wait of Close for a slow reader.
	flushTimeout = 200 * time.Millisecond
)

// Bound is a writer of lines that never blocks. It leaves lines out when more
// come than a rate allows or when their reader is slow, and says how many.
type Bound struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64 // dropped since the start
	ended   chan struct{}
	end     sync.Once
	stop    chan struct{}
}

// NewBound returns a writer that passes on so many lines a second. Close ends
// its goroutine.
func NewBound(out io.Writer, lines int) *Bound {
	b := &Bound{
		out: out, limiter: rate.NewLimiter(rate.Limit(lines), burst*lines),
		lines: make(chan []byte, queued), ended: make(chan struct{}), stop: make(chan struct{}),
	}
	go b.run()
	return b
}

// Write takes one line.
func (b *Bound) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
		b.drop()
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.drop()
	}
	return len(line), nil
}

func (b *Bound) drop() {
	b.dropped.Add(1)
	b.total.Add(1)
}

// Dropped returns the number of lines that were left out since the start.
func (b *Bound) Dropped() int64 { return b.total.Load() }

func (b *Bound) run() {
	defer close(b.ended)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		case now := <-ticker.C:
			b.report(now)
		case <-b.stop:
			b.drain()
			return
		}
	}
}

// write passes a line on. A reader that is gone leaves nobody to tell.
func (b *Bound) write(line []byte) { _, _ = b.out.Write(line) }

func (b *Bound) report(now time.Time) {
	if n := b.dropped.Swap(0); n > 0 {
		b.write(fmt.Appendf(nil, "{\"event\":\"lines left out\",\"lines\":%d,\"time\":%q}\n", n, now.Format(time.RFC3339Nano)))
	}
}

func (b *Bound) drain() {
	b.report(time.Now())
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		default:
			return
		}
	}
}

// Close writes the lines that wait, for a short time.
func (b *Bound) Close() {
	b.end.Do(func() { close(b.stop) })
	select {
	case <-b.ended:
	case <-time.After(flushTimeout):
	}
}
