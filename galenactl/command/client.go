package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/galenalock/galenalock/control/admin"
)

// retryInterval is the pause between two rounds of attempts over all replicas;
// an election takes a second or more.
const retryInterval = 200 * time.Millisecond

// Client sends requests to the control replicas. All requests of the
// administration interface are safe to repeat, so a request that one replica
// doesn't answer is sent to the next.
type Client struct {
	Addresses []netip.AddrPort
	Token     string
	Timeout   time.Duration // of one request, including its retries
	TLS       *tls.Config   // nil selects plain HTTP
	client    *http.Client
}

func (c *Client) http() *http.Client {
	if c.client == nil {
		c.client = &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS, DisableKeepAlives: true}}
	}
	return c.client
}

// Do sends a request and decodes the JSON response into result; a *[]byte
// receives the raw body. It retries until the timeout. A failed request returns
// a *ProblemError, *UnknownError or *UnreachableError, also when ctx ended.
func (c *Client) Do(ctx context.Context, method, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	mayHaveRun := false // whether an attempt may have been executed
	for {
		var lastErr error
		for _, addr := range c.Addresses {
			err := c.attempt(ctx, addr, method, path, data, result)
			if !retryable(err) {
				return err
			}
			mayHaveRun = mayHaveRun || method != http.MethodGet && mayHaveExecuted(err)
			lastErr = err
		}
		select {
		case <-time.After(retryInterval):
			continue
		case <-ctx.Done():
		}
		return finalError(lastErr, mayHaveRun)
	}
}

// finalError returns the error of a request whose retries are used up.
func finalError(lastErr error, mayHaveRun bool) error {
	if mayHaveRun {
		return &UnknownError{Reason: lastErr.Error()}
	}
	var problem *ProblemError
	if errors.As(lastErr, &problem) {
		return problem
	}
	return &UnreachableError{Reason: lastErr.Error()}
}

// retryable reports whether the request may succeed at another replica, or at
// the same one later.
func retryable(err error) bool {
	var problem *ProblemError
	if !errors.As(err, &problem) {
		return err != nil
	}
	switch problem.Reason {
	case "unknown", "noquorum", "notleader", "draining":
		return true
	}
	return false
}

// mayHaveExecuted reports whether a replica may have executed a failed attempt.
// Only a failed dial or a replica's response can rule that out.
func mayHaveExecuted(err error) bool {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Run != "no" && problem.Reason != "draining"
	}
	var opErr *net.OpError
	return !errors.As(err, &opErr) || opErr.Op != "dial"
}

func (c *Client) attempt(ctx context.Context, addr netip.AddrPort, method, path string, body []byte, result any) error {
	scheme := "http"
	if c.TLS != nil {
		scheme = "https"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline)-time.Until(deadline)/4) // leaves time for the response
		req.Header.Set(admin.DeadlineHeader, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	resp, err := c.http().Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return readProblem(resp)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if rawResult, ok := result.(*[]byte); ok {
		*rawResult = raw
		return nil
	}
	return json.Unmarshal(raw, result)
}

func readProblem(resp *http.Response) error {
	p := &ProblemError{}
	if err := json.NewDecoder(resp.Body).Decode(p); err != nil || p.Reason == "" {
		p.Title = resp.Status
	}
	p.Status = resp.StatusCode
	return p
}

// parseAddresses parses a list such as "10.0.0.1:7002,10.0.0.2:7002".
func parseAddresses(list string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, s := range strings.Split(list, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(s))
		if err != nil {
			return nil, &InvalidError{Reason: "--admin: " + strconv.Quote(s) + " is no IP address with a port"}
		}
		out = append(out, a)
	}
	return out, nil
}
