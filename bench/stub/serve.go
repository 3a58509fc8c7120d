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

// Names of the headers that the target reads or writes.
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
	Length int64  `json:"length"` // bytes of the request's body
	Digest string `json:"digest"` // sha-256 of the request's body, in hexadecimal
}

func (s *Stub) handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/stub/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	router.Get("/stub/fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Fault()) })
	router.Put("/stub/fault", s.putFault)
	router.Post("/stub/fault", s.putFault)
	router.Get("/livez", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderLoad, s.load()) })
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

// serve runs one request. The body is read before the slot is taken, so that a
// slow upload does not hold a slot; a request counts as run once it has a slot.
func (s *Stub) serve(w http.ResponseWriter, r *http.Request) {
	s.count.arrived(time.Now())
	answer, err := s.read(r)
	if err != nil {
		s.count.change(func(n *Counts) { n.Incomplete++ })
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := deadline(r)
	defer cancel()
	if !s.slots.take(ctx) {
		s.shed(w)
		return
	}
	defer s.slots.give()
	s.count.ran(answer.Kind, answer.Key)
	fault := s.Fault()
	if !s.work(ctx, answer.Kind, fault.latency(s.latency())) {
		s.count.change(func(n *Counts) { n.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, fault, answer)
}

func (s *Stub) shed(w http.ResponseWriter) {
	s.count.change(func(n *Counts) { n.Shed++ })
	w.Header().Set(HeaderRun, "no")
	w.Header().Set(HeaderLoad, s.load())
	http.Error(w, "all slots and the queue are full", http.StatusServiceUnavailable)
}

// read takes in the whole body.
func (s *Stub) read(r *http.Request) (Answer, error) {
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	return Answer{
		Kind:   kindOf(r),
		Key:    keyOf(r),
		Target: s.Address().String(),
		Length: n,
		Digest: hex.EncodeToString(sum.Sum(nil)),
	}, err
}

// deadline bounds the wait for a slot by the deadline that the fleet passes on.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.Atoi(r.Header.Get(HeaderDeadline))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}

// work holds the slot. Only lookups stop when the caller goes away.
func (s *Stub) work(ctx context.Context, kind Kind, latency time.Duration) bool {
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
		body, _ = json.Marshal(answer) // a struct of strings and numbers always encodes
	}
	if fault.Cut != CutNone && (fault.Share == 0 || s.chance(fault.Share)) {
		s.count.change(func(n *Counts) { n.Cut++ })
		cut(w, fault.Cut, s.load(), body)
		return
	}
	w.Header().Set(HeaderLoad, s.load())
	if s.chance(fault.Errors) {
		s.count.change(func(n *Counts) { n.Failed++ })
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
		_, _ = w.Write(body) // a caller that is gone gets no answer
	}
}

// load is the value of the load header.
func (s *Stub) load() string {
	inflight := s.slots.inflight()
	if s.Fault().Idle {
		inflight = 0
	}
	return fmt.Sprintf("inflight=%d limit=%d", inflight, s.slots.limit())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a reader that is gone needs no answer
}

func filler(size int) []byte { return bytes.Repeat([]byte("tide "), size/5+1)[:size] }
