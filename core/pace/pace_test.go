package pace_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/pace"
)

// Guards against work that goes on after its context has ended, and against a
// first call without a pause.
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
