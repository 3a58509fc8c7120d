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
	defaultTimeout     = 10 * time.Second
	defaultMaxInflight = 10000
	maxAnswerBytes     = 1 << 20
)

// runner executes one plan.
type runner struct {
	plan   Plan
	client *http.Client
	result *Result
	body   []byte
	digest string
}

// Run sends the requests of a plan and returns when all of them have ended.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	if err := plan.validate(); err != nil {
		return nil, err
	}
	if plan.Timeout == 0 {
		plan.Timeout = defaultTimeout
	}
	if plan.MaxInflight == 0 {
		plan.MaxInflight = defaultMaxInflight
	}
	transport := &http.Transport{MaxIdleConnsPerHost: plan.MaxInflight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{
		plan:   plan,
		client: &http.Client{Transport: transport},
		result: newResult(),
		body:   bytes.Repeat([]byte{'s'}, plan.UploadBytes),
	}
	sum := sha256.Sum256(r.body)
	r.digest = hex.EncodeToString(sum[:])
	return r.result, r.sendAll(ctx, plan.schedule())
}

// sendAll starts each request at its intended time, whether or not earlier requests
// have ended. It drops requests beyond the limit on those in flight.
func (r *runner) sendAll(ctx context.Context, arrivals []arrival) error {
	var requests sync.WaitGroup
	defer requests.Wait()
	inflight := make(chan struct{}, r.plan.MaxInflight)
	begin := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, a := range arrivals {
		intended := begin.Add(a.offset)
		if wait := time.Until(intended); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "load: interrupted")
			}
		}
		r.result.MaxLag = max(r.result.MaxLag, time.Since(intended))
		select {
		case inflight <- struct{}{}:
		default:
			r.result.update(a.kind, func(c *Count) { c.Dropped++ })
			continue
		}
		requests.Go(func() {
			r.request(ctx, i, a.kind, intended)
			<-inflight
		})
	}
	return nil
}

// request sends one request and records its outcome.
func (r *runner) request(ctx context.Context, number int, kind Kind, intended time.Time) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout)
	defer cancel()
	request, err := r.newRequest(ctx, number, kind)
	if err != nil {
		r.result.update(kind, func(c *Count) { c.Broken++ })
		return
	}
	r.result.update(kind, func(c *Count) { c.Sent++ })
	answered := false
	if r.plan.OnEnd != nil {
		defer func() { r.plan.OnEnd(intended, time.Since(intended), answered) }()
	}
	response, err := r.client.Do(request)
	if err != nil {
		r.result.update(kind, func(c *Count) { c.Broken++ })
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case err != nil:
		r.result.update(kind, func(c *Count) { c.Broken++ })
	case response.StatusCode/100 != 2:
		r.result.update(kind, func(c *Count) { c.Refused++ })
	case !r.isIntact(kind, answer):
		r.result.update(kind, func(c *Count) { c.Corrupted++ })
	default:
		answered = true
		r.result.record(time.Since(intended))
		r.result.update(kind, func(c *Count) { c.Answered++ })
	}
}

func (r *runner) newRequest(ctx context.Context, number int, kind Kind) (*http.Request, error) {
	method, path, body := http.MethodGet, "/lookups", io.Reader(nil)
	switch kind {
	case Order:
		method, path, body = http.MethodPost, "/orders", bytes.NewReader([]byte("{}"))
	case Upload:
		method, path, body = http.MethodPost, "/uploads", bytes.NewReader(r.body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.plan.Address.String()+r.plan.Prefix+path, body)
	if err != nil {
		return nil, eris.Wrap(err, "load: create request")
	}
	if r.plan.Host != "" {
		request.Host = r.plan.Host
	}
	key := fmt.Sprintf("%s-%d-%d", r.plan.Label, r.plan.Seed, number)
	if kind == Order {
		request.Header.Set("Idempotency-Key", key)
		request.GetBody = nil // keeps net/http from resending it, which would hide a lost answer
	}
	request.Header.Set("Galenalock-Request", key)
	return request, nil
}

// isIntact reports whether the target received an upload completely. It is true
// for other kinds.
func (r *runner) isIntact(kind Kind, answer []byte) bool {
	if kind != Upload {
		return true
	}
	var got struct {
		Length int    `json:"length"`
		Digest string `json:"digest"`
	}
	return json.Unmarshal(answer, &got) == nil && got.Length == len(r.body) && got.Digest == r.digest
}
