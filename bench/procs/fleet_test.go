package procs_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/galenalock/galenalock/bench/stub"
)

// Guards against requests that are lost, truncated or executed twice while an
// entry shuts down and the control replica restarts, with each of them in a
// process of its own.
func TestFleetOfProcesses(t *testing.T) {
	f := startFleet(t, fleetSize{replicas: 1, entries: 3, targets: 2})
	first := f.sendOrder(0, "order-1")

	// An upload in progress when its entry shuts down is received completely.
	reader, writer := io.Pipe()
	body := bytes.Repeat([]byte("tide reading\n"), 40000)
	type outcome struct {
		status int
		answer []byte
	}
	uploaded := make(chan outcome, 1)
	go func() {
		status, answer := f.send(http.MethodPost, 0, "/uploads/1", reader, "")
		uploaded <- outcome{status, answer}
	}()
	_, err := writer.Write(body[:len(body)/2])
	f.noError(err)
	stopped := make(chan error, 1)
	go func() { stopped <- f.entries[0].Stop() }()
	f.waitUntil("entry takes no new requests", func() bool { return f.lookupStatus(0) != http.StatusOK })
	_, err = writer.Write(body[len(body)/2:])
	if err != nil {
		early := <-uploaded
		t.Fatalf("upload during the stop ended early: status %d: %s", early.status, early.answer)
	}
	f.noError(writer.Close())
	got := <-uploaded
	var received stub.Answer
	f.noError(json.Unmarshal(got.answer, &received))
	sum := sha256.Sum256(body)
	if got.status != http.StatusOK || received.Digest != hex.EncodeToString(sum[:]) {
		t.Fatalf("upload during the stop: status %d, %d of %d bytes", got.status, received.Length, len(body))
	}
	f.noError(<-stopped)

	// A resend through another entry gets the first answer.
	if again := f.sendOrder(1, "order-1"); !bytes.Equal(first, again) {
		t.Fatalf("resend got %s, want %s", again, first)
	}

	// Lookups succeed while control is down; orders succeed after its restart.
	f.noError(f.control[1].Stop())
	for i := range 20 {
		if status := f.lookupStatus(1 + i%2); status != http.StatusOK {
			t.Fatalf("lookup without control: status %d", status)
		}
	}
	f.startControl(1)
	f.submit(1, "second", serviceText+"# changed\n", 2)
	for i := 2; i <= 10; i++ {
		f.sendOrder(1+i%2, fmt.Sprint("order-", i))
	}
	if again := f.sendOrder(2, "order-1"); !bytes.Equal(first, again) {
		t.Fatalf("resend after the restart got %s, want %s", again, first)
	}
	ran := f.executions()
	for i := 1; i <= 10; i++ {
		if key := fmt.Sprint("order-", i); ran[key] != 1 {
			t.Errorf("%s ran %d times", key, ran[key])
		}
	}
	for i := 1; i <= 2; i++ {
		f.waitUntil("revision 2 in force", func() bool {
			var s struct{ Revision uint64 }
			f.readJSON(f.entries[i].Address("admin"), "/v1/status", &s)
			return s.Revision == 2
		})
	}
}
