package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/stub"
)

const uploadSize = 4 << 20 // bytes

// runChecks sends a lookup, an order with an idempotency key twice and an upload,
// and checks the responses against what the targets received and executed.
func (f *fleet) runChecks(ctx context.Context, out io.Writer) error {
	for _, step := range []func(context.Context, io.Writer) error{f.checkLookup, f.checkOrder, f.checkUpload} {
		if err := step(ctx, out); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "all right")
	return nil
}

func (f *fleet) checkLookup(ctx context.Context, out io.Writer) error {
	a, err := send(ctx, http.MethodGet, f.url("/tables/tides/victoria"), nil, nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "lookup     status %d, %d bytes\n", a.status, len(a.body))
	if a.status != http.StatusOK || len(a.body) == 0 {
		return eris.Errorf("lookup: status %d, %d bytes", a.status, len(a.body))
	}
	return nil
}

func (f *fleet) checkOrder(ctx context.Context, out io.Writer) error {
	const key = "crate-17"
	var bodies [][]byte
	for range 2 {
		a, err := send(ctx, http.MethodPost, f.url("/ledger/orders"), bytes.NewReader([]byte(`{"crates":1}`)),
			http.Header{"Idempotency-Key": {key}})
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "order      status %d, replayed %q\n", a.status, a.header.Get("Galenalock-Replayed"))
		if a.status >= http.StatusMultipleChoices {
			return eris.Errorf("order: status %d: %s", a.status, a.body)
		}
		bodies = append(bodies, a.body)
	}
	if !bytes.Equal(bodies[0], bodies[1]) {
		return eris.Errorf("responses to the order and its repetition differ: %s and %s", bodies[0], bodies[1])
	}
	if executions := f.executions(key); executions != 1 {
		return eris.Errorf("order was executed %d times, not once", executions)
	}
	fmt.Fprintln(out, "           ran once")
	return nil
}

func (f *fleet) checkUpload(ctx context.Context, out io.Writer) error {
	body := bytes.Repeat([]byte("tide reading\n"), uploadSize/13)
	sum := sha256.Sum256(body)
	a, err := send(ctx, http.MethodPost, f.url("/intake/uploads"), bytes.NewReader(body),
		http.Header{"Content-Digest": {"sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"}})
	if err != nil {
		return err
	}
	var received stub.Answer
	if err := json.Unmarshal(a.body, &received); err != nil {
		return eris.Wrapf(err, "upload: status %d: %s", a.status, a.body)
	}
	fmt.Fprintf(out, "upload     status %d, %d of %d bytes arrived\n", a.status, received.Length, len(body))
	if received.Length != int64(len(body)) || received.Digest != hex.EncodeToString(sum[:]) {
		return eris.New("upload: length or digest at the target differs from the sent body")
	}
	return nil
}
