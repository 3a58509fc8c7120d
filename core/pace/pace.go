// Package pace runs work periodically.
package pace

import (
	"context"
	"time"
)

// Every calls work periodically until ctx is done. The first call is made after
// one interval. Calls do not overlap: one that takes longer than the interval
// delays the next.
func Every(ctx context.Context, interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work()
		}
	}
}
