// Package pace repeats work at intervals.
package pace

import (
	"context"
	"time"
)

// Every calls work at intervals until ctx ends. The first call comes after one
// interval; a call that takes longer delays the next one.
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
