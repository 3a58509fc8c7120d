package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/control/admin"
)

const (
	startTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Run starts the demo fleet, submits its service text and prints its URLs to
// out. If once is true it sends a few requests, checks the responses and
// returns; otherwise it runs until ctx ends.
func Run(ctx context.Context, out io.Writer, once bool) error {
	f, err := startFleet(io.Discard)
	if err != nil {
		return err
	}
	err = f.serve(ctx, out, once)
	if shutdownErr := f.shutdown(); err == nil {
		err = shutdownErr
	}
	return err
}

func (f *fleet) serve(ctx context.Context, out io.Writer, once bool) error {
	if err := f.submitText(ctx); err != nil {
		return err
	}
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "traffic    http://%s\n", f.entry.Traffic())
	fmt.Fprintf(out, "control    http://%s\n", f.control.Admin())
	fmt.Fprintf(out, "metrics    http://%s/metrics\n", f.entry.Admin())
	fmt.Fprintf(out, "try        curl -i http://%s/tables/tides/victoria\n", f.entry.Traffic())
	if once {
		return f.runChecks(ctx, out)
	}
	fmt.Fprintln(out, "stop with Ctrl-C")
	<-ctx.Done()
	return nil
}

func (f *fleet) submitText(ctx context.Context) error {
	body, err := json.Marshal(admin.Submission{Base: new(uint64), Change: "demo-1", Text: serviceText})
	if err != nil {
		return eris.Wrap(err, "encode submission")
	}
	return poll(ctx, func() error {
		a, err := send(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/submit", f.control.Admin()), bytes.NewReader(body), nil)
		if err == nil && a.status != http.StatusOK {
			err = eris.Errorf("submit service text: status %d: %s", a.status, a.body)
		}
		return err
	})
}

// waitReady waits until the entry is ready and a request to each service
// succeeds.
func (f *fleet) waitReady(ctx context.Context) error {
	return poll(ctx, func() error {
		if !f.entry.Ready() {
			return eris.New("entry is not ready")
		}
		for _, path := range []string{"/tables/", "/ledger/orders", "/intake/uploads"} {
			method := http.MethodPost
			header := http.Header{"Idempotency-Key": {"ready" + path}}
			if path == "/tables/" {
				method, header = http.MethodGet, nil
			}
			a, err := send(ctx, method, f.url(path), nil, header)
			if err != nil {
				return err
			}
			if a.status != http.StatusOK && a.status != http.StatusCreated {
				return eris.Errorf("request to %s: status %d: %s", path, a.status, a.body)
			}
		}
		return nil
	})
}

func (f *fleet) url(path string) string { return fmt.Sprintf("http://%s%s", f.entry.Traffic(), path) }

// poll repeats a check until it returns nil, for at most startTimeout.
func poll(ctx context.Context, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

type response struct {
	status int
	header http.Header
	body   []byte
}

func send(ctx context.Context, method, url string, body io.Reader, header http.Header) (response, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return response{}, eris.Wrap(err, "create request")
	}
	for name, values := range header {
		r.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}, eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: data}, eris.Wrap(err, "read response body")
}
