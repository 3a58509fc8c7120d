package stub

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
)

// Headers that the target reads or writes.
const (
	HeaderLoad     = "Galenalock-Load"
	HeaderRun      = "Galenalock-Run"
	HeaderRequest  = "Galenalock-Request"
	HeaderDeadline = "Galenalock-Deadline"
	HeaderKey      = "Idempotency-Key"
)

// Answer is the body of the answer to an order or an upload.
type Answer struct {
	Kind   Kind   `json:"kind"`
	Key    string `json:"key,omitempty"`
	Target string `json:"target"`
	Length int64  `json:"length"` // bytes in the body of the request
	Digest string `json:"digest"` // SHA-256 of the body of the request, hexadecimal
	Filler string `json:"filler,omitempty"`
}

func (s *Stub) handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/stub/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	router.Get("/stub/fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Fault()) })
	router.Put("/stub/fault", s.putFault)
	router.Post("/stub/fault", s.putFault)
	router.Get("/livez", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderLoad, s.loadHeader()) })
	router.HandleFunc("/*", s.serve)
	return router
}

func (s *Stub) putFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&fault)
	if err == nil {
		err = s.SetFault(fault)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, fault)
}

func kindOf(r *http.Request) Kind {
	switch {
	case r.Method == http.MethodGet || r.Method == http.MethodHead:
		return Lookup
	case strings.HasPrefix(r.URL.Path, "/uploads"):
		return Upload
	}
	return Order
}

func keyOf(r *http.Request) string {
	if key := r.Header.Get(HeaderKey); key != "" {
		return key
	}
	return r.Header.Get(HeaderRequest)
}

// serve executes one request. It reads the body before it acquires a slot, so that
// a slow upload does not occupy one. A request counts as executed once it has a
// slot.
func (s *Stub) serve(w http.ResponseWriter, r *http.Request) {
	s.counters.recordArrival(time.Now())
	answer, err := s.readRequest(r)
	if err != nil {
		s.counters.update(func(n *Counts) { n.Incomplete++ })
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !s.slots.acquire(ctx) {
		s.shed(w)
		return
	}
	defer s.slots.release()
	s.counters.recordRun(answer.Kind, answer.Key)
	fault := s.Fault()
	if !s.occupySlot(ctx, answer.Kind, fault.slowed(s.drawLatency())) {
		s.counters.update(func(n *Counts) { n.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, fault, answer)
}

func (s *Stub) shed(w http.ResponseWriter) {
	s.counters.update(func(n *Counts) { n.Shed++ })
	w.Header().Set(HeaderRun, "no")
	w.Header().Set(HeaderLoad, s.loadHeader())
	http.Error(w, "all slots and the queue are full", http.StatusServiceUnavailable)
}

// readRequest reads the whole body and returns the answer to the request.
func (s *Stub) readRequest(r *http.Request) (Answer, error) {
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	return Answer{
		Kind:   kindOf(r),
		Key:    keyOf(r),
		Target: s.Address().String(),
		Length: n,
		Digest: hex.EncodeToString(sum.Sum(nil)),
		Filler: string(fillerText(s.settings.Filler)),
	}, err
}

// withDeadline returns the context of a request, with the remaining milliseconds
// of the deadline header as its timeout if there is one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	remaining, err := strconv.Atoi(r.Header.Get(HeaderDeadline))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(remaining)*time.Millisecond)
}

// occupySlot waits for the latency and reports false if ctx ends first, which
// cancels lookups only.
func (s *Stub) occupySlot(ctx context.Context, kind Kind, latency time.Duration) bool {
	if kind != Lookup {
		ctx = context.WithoutCancel(ctx)
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Stub) respond(w http.ResponseWriter, r *http.Request, fault Fault, answer Answer) {
	body := s.body
	if answer.Kind != Lookup {
		body, _ = json.Marshal(answer) // never fails for a struct of strings and numbers
	}
	if fault.Cut != CutNone && (fault.Share == 0 || s.chance(fault.Share)) {
		s.counters.update(func(n *Counts) { n.Cut++ })
		writeCut(w, fault.Cut, s.loadHeader(), body)
		return
	}
	w.Header().Set(HeaderLoad, s.loadHeader())
	if s.chance(fault.Errors) {
		s.counters.update(func(n *Counts) { n.Failed++ })
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if answer.Kind == Lookup {
		w.Header().Set("Content-Type", "text/plain")
	} else {
		w.Header().Set("Content-Type", "application/json")
	}
	if r.Method != http.MethodHead {
		_, _ = w.Write(body) // fails only if the caller is gone
	}
}

// loadHeader returns the value of the load header.
func (s *Stub) loadHeader() string {
	inflight := s.slots.inflight()
	if s.Fault().Idle {
		inflight = 0
	}
	return fmt.Sprintf("inflight=%d limit=%d", inflight, s.slots.limit())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client is gone
}

func fillerText(size int) []byte { return bytes.Repeat([]byte("tide "), size/5+1)[:size] }
