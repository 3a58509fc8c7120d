package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultTimeout = 10 * time.Second
	defaultBound   = 10000
	maxAnswer      = 1 << 20
)

// runner carries out one plan.
type runner struct {
	plan   Plan
	client *http.Client
	result *Result
	body   []byte
	digest string
}

// Run sends the requests of a plan and returns when all have ended.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	if err := plan.check(); err != nil {
		return nil, err
	}
	if plan.Timeout == 0 {
		plan.Timeout = defaultTimeout
	}
	if plan.Bound == 0 {
		plan.Bound = defaultBound
	}
	transport := &http.Transport{MaxIdleConnsPerHost: plan.Bound, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{
		plan:   plan,
		client: &http.Client{Transport: transport},
		result: newResult(),
		body:   bytes.Repeat([]byte{'s'}, plan.Size),
	}
	sum := sha256.Sum256(r.body)
	r.digest = hex.EncodeToString(sum[:])
	return r.result, r.shoot(ctx, plan.schedule())
}

// shoot starts each request at its time, whatever became of the ones before.
func (r *runner) shoot(ctx context.Context, shots []shot) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	room := make(chan struct{}, r.plan.Bound)
	begin := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, s := range shots {
		intended := begin.Add(s.after)
		if early := time.Until(intended); early > 0 {
			timer.Reset(early)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "load")
			}
		}
		r.result.Lag = max(r.result.Lag, time.Since(intended))
		select {
		case room <- struct{}{}:
		default:
			r.result.change(s.kind, func(c *Count) { c.Dropped++ })
			continue
		}
		wait.Go(func() {
			r.request(ctx, i, s.kind, intended)
			<-room
		})
	}
	return nil
}

// request sends one request and records how it ended.
func (r *runner) request(ctx context.Context, number int, kind Kind, intended time.Time) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout)
	defer cancel()
	request, err := r.build(ctx, number, kind)
	if err != nil {
		r.result.change(kind, func(c *Count) { c.Broken++ })
		return
	}
	r.result.change(kind, func(c *Count) { c.Sent++ })
	answered := false
	if r.plan.Ended != nil {
		defer func() { r.plan.Ended(intended, time.Since(intended), answered) }()
	}
	response, err := r.client.Do(request)
	if err != nil {
		r.result.change(kind, func(c *Count) { c.Broken++ })
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	switch {
	case err != nil:
		r.result.change(kind, func(c *Count) { c.Broken++ })
	case response.StatusCode/100 != 2:
		r.result.change(kind, func(c *Count) { c.Refused++ })
	case !r.matches(kind, answer):
		r.result.change(kind, func(c *Count) { c.Corrupted++ })
	default:
		answered = true
		r.result.record(time.Since(intended))
		r.result.change(kind, func(c *Count) { c.Answered++ })
	}
}

func (r *runner) build(ctx context.Context, number int, kind Kind) (*http.Request, error) {
	method, path, body := http.MethodGet, "/lookups", io.Reader(nil)
	switch kind {
	case Order:
		method, path, body = http.MethodPost, "/orders", bytes.NewReader([]byte("{}"))
	case Upload:
		method, path, body = http.MethodPost, "/uploads", bytes.NewReader(r.body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.plan.Address.String()+r.plan.Prefix+path, body)
	if err != nil {
		return nil, eris.Wrap(err, "load")
	}
	if r.plan.Host != "" {
		request.Host = r.plan.Host
	}
	key := fmt.Sprintf("%s-%d-%d", r.plan.Label, r.plan.Seed, number)
	if kind == Order {
		request.Header.Set("Idempotency-Key", key)
		request.GetBody = nil // a resend by net/http would hide a lost answer
	}
	request.Header.Set("Galenalock-Request", key)
	return request, nil
}

// matches checks that an upload arrived complete.
func (r *runner) matches(kind Kind, answer []byte) bool {
	if kind != Upload {
		return true
	}
	var got struct {
		Length int    `json:"length"`
		Digest string `json:"digest"`
	}
	return json.Unmarshal(answer, &got) == nil && got.Length == len(r.body) && got.Digest == r.digest
}
