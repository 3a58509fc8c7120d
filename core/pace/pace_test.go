package pace_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/pace"
)

// Guards against calls after the context is done, and against a first call
// without a delay.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start := time.Now()
		var calls []time.Duration
		pace.Every(ctx, time.Second, func() { calls = append(calls, time.Since(start)) })
		is.New(t).Equal(calls, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second})
	})
}
