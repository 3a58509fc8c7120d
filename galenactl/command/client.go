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

// roundPause lies between rounds through the replicas; an election takes a
// second or more.
const roundPause = 200 * time.Millisecond

// Client asks the control replicas. Every request of the interface may be
// repeated, so that it goes to the next replica when one does not answer.
type Client struct {
	Addresses []netip.AddrPort
	Token     string
	Timeout   time.Duration // of one request with all its repetitions
	TLS       *tls.Config   // nil: no TLS
	client    *http.Client
}

func (c *Client) http() *http.Client {
	if c.client == nil {
		c.client = &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS, DisableKeepAlives: true}}
	}
	return c.client
}

// Do sends a request and decodes the answer into out, which may be a
// *[]byte for the raw body. The errors are *ProblemError, *UnknownError,
// *UnreachableError and that of the context.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	maybe := false // an attempt may have been carried out
	for {
		var last error
		for _, addr := range c.Addresses {
			err := c.attempt(ctx, addr, method, path, data, out)
			if !again(err) {
				return err
			}
			maybe = maybe || method != http.MethodGet && carriedOut(err)
			last = err
		}
		select {
		case <-time.After(roundPause):
			continue
		case <-ctx.Done():
		}
		return ended(last, maybe)
	}
}

// ended chooses the error of a request that no replica has answered.
func ended(last error, maybe bool) error {
	if maybe {
		return &UnknownError{Reason: last.Error()}
	}
	var problem *ProblemError
	if errors.As(last, &problem) {
		return problem
	}
	return &UnreachableError{Reason: last.Error()}
}

// again reports whether another replica, or the same one later, may answer.
func again(err error) bool {
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

// carriedOut reports whether a failed attempt may have had an effect.
func carriedOut(err error) bool {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Run != "no" && problem.Reason != "draining"
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

func (c *Client) attempt(ctx context.Context, addr netip.AddrPort, method, path string, body []byte, out any) error {
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
	if end, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(end)-time.Until(end)/4) // leaves time for the answer
		req.Header.Set(admin.DeadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	}
	resp, err := c.http().Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return problemOf(resp)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if into, ok := out.(*[]byte); ok {
		*into = raw
		return nil
	}
	return json.Unmarshal(raw, out)
}

func problemOf(resp *http.Response) error {
	p := &ProblemError{}
	if err := json.NewDecoder(resp.Body).Decode(p); err != nil || p.Reason == "" {
		p.Title = resp.Status
	}
	p.Status = resp.StatusCode
	return p
}

// parseAddresses reads a list such as "10.0.0.1:7002,10.0.0.2:7002".
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
