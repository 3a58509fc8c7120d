package agent_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/boot"
	"github.com/galenalock/galenalock/core/bucket"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

const tokenDepth = 4 // of the bucket of workspace "a"

// startWithWorkspace runs an agent whose text has a workspace with a limit. Its bucket
// hardly fills up during the test.
func startWithWorkspace(t *testing.T, grant func(m wire.Message) (wire.TokenAnswer, error)) *agent.Agent {
	near := startFakeRegistry(t, "near", "salish")
	near.workspaces = "[[workspace]]\nname = \"a\"\nservices = [\"s0\"]\nrate = 0.01\nburst = 4.0\n"
	near.grant = grant
	near.announce(1, 1, enrol.Ready, false)
	a := startRegistryAgent(t, near.addr)
	waitUntil(t, "ready", func() bool { return a.View().Ready && len(picksByName(a)) == 1 })
	return a
}

func admit(t *testing.T, a *agent.Agent, relayedFrom string) (proxy.Request, error) {
	r := orderRequest(a)
	r.Workspace, r.RelayedFrom = "a", relayedFrom
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var err error
	r.Admission, err = a.Admit(ctx, r)
	return r, err
}

// Guards against an entry that runs more requests than it has tokens, keeps the token
// of a request that reached no target, or returns that of one that did.
func TestTokensOfRequests(t *testing.T) {
	is := is.New(t)
	allocator := bucket.NewAllocator(boot.Now()-24*time.Hour, 1)
	directory := bucket.NewDirectory([]bucket.Workspace{{Name: "a", Limit: bucket.Limit{Rate: 0.01, Burst: tokenDepth}}})
	a := startWithWorkspace(t, func(m wire.Message) (wire.TokenAnswer, error) {
		var q wire.TokenRequest
		err := wire.Decode(m.Body, &q)
		return allocator.Serve(boot.Now(), wire.TokenBatch{List: []wire.TokenRequest{q}}, directory).List[0], err
	})
	send := func(class proxy.Class) {
		r, err := admit(t, a, "")
		is.NoErr(err)
		target, ok := a.Pick(r, nil, time.Now())
		is.True(ok)
		at := proxy.Attempt{Request: r, Target: target, Start: time.Now()}
		a.Begin(at)
		if class != proxy.Dial {
			is.NoErr(r.Admission.Send())
		}
		a.End(at, proxy.Outcome{Class: class, End: time.Now()})
		r.Admission.Release(class == proxy.Answered)
	}
	for range 2 * tokenDepth {
		send(proxy.Dial)
		send(proxy.Refused)
	}
	for range tokenDepth {
		send(proxy.Answered)
	}
	_, err := admit(t, a, "")
	var refusal *refuse.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, refuse.Rate)
	is.True(refusal.RetryAfter > time.Second)
	_, err = admit(t, a, "entry-2") // that entry has taken a token
	is.NoErr(err)
}

// Guards against an entry that serves no workspace with a limit because its replicas
// are of an earlier version.
func TestEqualSharesWithEarlierControl(t *testing.T) {
	is := is.New(t)
	a := startWithWorkspace(t, func(wire.Message) (wire.TokenAnswer, error) {
		return wire.TokenAnswer{}, &wire.FaultError{Code: "unsupported"}
	})
	_, err := admit(t, a, "")
	is.NoErr(err)
	_, err = admit(t, a, "")
	var refusal *refuse.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, refuse.Rate)
}

// Guards against a request without a limit check when control does not answer, and
// against one that waits for long.
func TestNoTokensWithoutControl(t *testing.T) {
	is := is.New(t)
	a := startWithWorkspace(t, func(wire.Message) (wire.TokenAnswer, error) {
		return wire.TokenAnswer{}, &wire.FaultError{Code: "noquorum"}
	})
	begin := time.Now()
	_, err := admit(t, a, "")
	var refusal *refuse.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, refuse.Unmetered)
	is.True(time.Since(begin) < 5*time.Second) // 0.3 s on an idle machine
}
