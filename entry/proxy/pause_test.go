package proxy_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against pauses and notices of leaving that are missed in some kinds of
// answers, and against Retry-After of answers that do not turn a request away.
func TestAnswersTellOfPausesAndLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		pause    time.Duration
		leaving  bool
	}{
		"answered":          {"HTTP/1.1 200 OK\r\nGalenalock-Leaving: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", 0, true},
		"failed":            {"HTTP/1.1 500 Error\r\nGalenalock-Leaving: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", 0, true},
		"busy":              {"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", 3 * time.Second, false},
		"shed":              {"HTTP/1.1 503 Busy\r\nGalenalock-Run: no\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n", 500 * time.Millisecond, false},
		"shed and leaving":  {"HTTP/1.1 503 Busy\r\nGalenalock-Run: no\r\nGalenalock-Leaving: 1\r\nContent-Length: 0\r\n\r\n", 0, true},
		"neither":           {"HTTP/1.1 200 OK\r\nGalenalock-Leaving: 0\r\nContent-Length: 0\r\n\r\n", 0, false},
		"malformed pause":   {"HTTP/1.1 503 Busy\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n", 0, false},
		"malformed leaving": {"HTTP/1.1 200 OK\r\nGalenalock-Leaving: yes\r\nContent-Length: 0\r\n\r\n", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			outcomes := make(chan proxy.Outcome, 4)
			e := startEntry(t, false, proxy.Hooks{End: func(_ proxy.Attempt, o proxy.Outcome) { outcomes <- o }}, proxy.Rules{}, respond(t, c.response, nil))
			_, header, _, err := e.send(http.MethodPost, "/tables/x", strings.NewReader("1"))
			is.NoErr(err)
			is.Equal(header.Get("Galenalock-Leaving"), "")
			o := <-outcomes
			is.Equal(o.Pause, c.pause)
			is.Equal(o.Leaving, c.leaving)
		})
	}
}

// Guards against callers that are told to come back before a target accepts
// requests, when all that were left have just asked for a pause.
func TestRequestIsShedByPausedTargets(t *testing.T) {
	is := is.New(t)
	shed := "HTTP/1.1 503 Busy\r\nGalenalock-Run: no\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n"
	unavailable := func(proxy.Request, time.Time) (refuse.Reason, time.Duration) { return refuse.Paused, 4 * time.Second }
	e := startEntry(t, false, proxy.Hooks{Retry: allowRetry, Unavailable: unavailable},
		proxy.Rules{RetryAfterShed: func(*spec.Kind) bool { return true }}, respond(t, shed, nil), respond(t, shed, nil))
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		status, header, body, err := e.send(method, "/tables/x", strings.NewReader("1"))
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(header.Get("Retry-After"), "4")
		is.True(strings.Contains(body, `"reason":"paused","run":"no"`))
	}
}
