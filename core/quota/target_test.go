package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/quota"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleParseRate() {
	fmt.Println(quota.ParseRate("2.5"))
	fmt.Println(quota.ParseRate("-1"))
	// Output:
	// 2.5 true
	// 0 false
}

// Guards against malformed limits that stop all requests to a target.
func TestParseRate(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{"", " ", "x", "1,5", "-0.5", "NaN", "Inf", "+Inf", "1e999", "0x10", "1_0", "3 4"} {
		_, ok := quota.ParseRate(value)
		is.True(!ok) // value is not a rate
	}
	for value, expected := range map[string]float64{"0": 0, "12": 12, " 0.25 ": 0.25, "1e1": 10} {
		rate, ok := quota.ParseRate(value)
		is.True(ok)
		is.Equal(rate, expected)
	}
}

// Guards against a limit that is lifted by a response which the target sent before
// it named the limit.
func TestLateResponseDoesNotLiftLimit(t *testing.T) {
	is := is.New(t)
	target := &quota.Target{}
	is.Equal(event(target.Observe(start, start.Add(-time.Second), quota.Report{})), quota.Unchanged)
	is.Equal(event(target.Observe(start, start.Add(-time.Second), quota.Report{Limited: true, Rate: 2})), quota.Named)
	is.Equal(event(target.Observe(start.Add(time.Second), start.Add(-time.Second), quota.Report{})), quota.Unchanged)
	is.True(target.Report().Limited)
	is.Equal(event(target.Observe(start.Add(time.Second), start, quota.Report{Limited: true, Rate: 3})), quota.Changed)
	is.Equal(event(target.Observe(start.Add(3*time.Second), start.Add(2*time.Second), quota.Report{})), quota.Lifted)
	is.True(!target.Report().Limited)
}

func event(e quota.Event, _ bool) quota.Event { return e }
