package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/quota"
)

func ExampleTarget_Pause() {
	t := &quota.Target{}
	t.Pause(start, 3*time.Second)
	left, closed := t.Closed(start.Add(time.Second))
	fmt.Println(left, closed, t.Available(start.Add(time.Second)), t.Available(start.Add(3*time.Second)))
	// Output: 2s true false true
}

// Guards against a later answer that shortens a pause, a pause that ends the notice
// that a target leaves, and a limit that ends a pause.
func TestPausesAddUp(t *testing.T) {
	is := is.New(t)
	target := &quota.Target{}
	is.True(target.Pause(start, 3*time.Second))
	is.True(!target.Pause(start.Add(time.Second), time.Second))
	is.True(!target.Available(start.Add(2900 * time.Millisecond)))
	target.Observe(start.Add(time.Second), start, quota.Report{Limited: true, Rate: 100})
	target.SetShare(start.Add(time.Second), 10, 10)
	is.True(!target.Available(start.Add(2 * time.Second)))
	wait, ok := target.Wait(start.Add(2 * time.Second))
	is.True(ok)
	is.Equal(wait, time.Second)
	is.True(target.Pause(start.Add(time.Hour), 2*quota.MaxPause))
	is.True(target.Available(start.Add(time.Hour + quota.MaxPause)))

	is.True(target.Leave())
	is.True(!target.Leave())
	is.True(target.Pause(start.Add(10*time.Hour), time.Second))
	is.True(!target.Available(start.Add(100 * time.Hour)))
	_, ok = target.Wait(start.Add(100 * time.Hour))
	is.True(!ok)
}

// Guards against malformed pauses that keep a target unused.
func TestParsePause(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "1e300": quota.MaxPause,
	} {
		got, ok := quota.ParsePause(value)
		is.True(ok)
		is.Equal(got, want)
	}
	for _, value := range []string{"", "0", "-1", "x", "0x10", "1_0", "NaN", "+Inf", "-Inf", "Wed, 21 Oct 2015 07:28:00 GMT"} {
		_, ok := quota.ParsePause(value)
		is.True(!ok)
	}
}
