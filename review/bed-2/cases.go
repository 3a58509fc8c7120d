package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cases are the scripts by name. With trouble false, a script does the same without the
// disruption.
var cases = map[string]func(b *bed, trouble bool) error{
	"foreign": playForeign,
	"memory":  playMemory,
	"heads":   playHeads,
	"crowd":   playCrowd,
	"writer":  playWriter,
}

// playForeign lets two customers place an order with the same body and the same
// Idempotency-Key. Their cookies tell the service who orders.
func playForeign(b *bed, trouble bool) error {
	ledger := &endpoint{id: "i-ledger", service: "ledgerroom"}
	ledger.body = func(r *http.Request) string {
		return "order of " + r.Header.Get("Cookie") + " recorded by request " + r.Header.Get("X-Request-Id")
	}
	order := request{method: http.MethodPost, host: "ledger.example", target: "/orders/new", body: "one crate"}
	config := configuration(7, route{"orders", "ledger.example", "/orders/", "unsafe", "ledgerroom"})
	if err := b.open(config, []*endpoint{ledger}, []request{order}); err != nil {
		return err
	}
	for i, customers := range [][]string{{"anna", "bela"}, {"carl", "dora"}, {"emil", "fred"}} {
		for j, customer := range customers {
			r := order.withID(fmt.Sprintf("%s-%d", customer, i))
			key := fmt.Sprintf("order-%d", i)
			if !trouble {
				key = fmt.Sprintf("order-%d-of-%s", i, customer)
			}
			r.headers = []string{"Cookie: customer=" + customer, "Idempotency-Key: " + key}
			got := b.send(b.entries[j%len(b.entries)], r)
			if got.status != http.StatusOK {
				continue // a refusal breaks no rule here
			}
			if got.header.Get("X-Request-Id") != r.id || !strings.Contains(got.body, customer) {
				b.breaks("MIXED: the client of request %s got the answer to request %s: %q; its own request ran %d times",
					r.id, got.header.Get("X-Request-Id"), got.body, len(ledger.runsOf(r.id)))
			}
		}
	}
	return nil
}

const (
	coreMemory   = 280  // MiB of a core machine on all sheets
	topUpAnswer  = 5000 // bytes, the mean of card-topup in the site files; the largest have 30,000
	topUps       = 16000
	topUpClients = 12
	topUpPause   = 18 * time.Millisecond // of a client after each request: at most 670 a second together
	topUpTime    = 50 * time.Second
	quietTime    = 15 * time.Second // after the last request of a client
	restartDelay = 500 * time.Millisecond
)

// memoryWatch stands in for the platform: it kills a process that uses more memory than
// its machine has, and starts it again.
type memoryWatch struct {
	limit int // MiB

	mu   sync.Mutex
	ends map[string]int
	most map[string]int // MiB
}

// total returns how often processes have ended.
func (w *memoryWatch) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, ends := range w.ends {
		n += ends
	}
	return n
}

func (w *memoryWatch) run(b *bed, p *process, stop <-chan struct{}, stopped *sync.WaitGroup) {
	defer stopped.Done()
	const interval = 10 * time.Millisecond
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		peak := peakMemory(p)
		w.mu.Lock()
		w.most[p.name] = max(w.most[p.name], peak)
		w.mu.Unlock()
		ended := false
		select {
		case <-p.done:
			ended = true
			b.note("%s ended by itself", p.name)
		default:
		}
		if peak <= w.limit && !ended {
			continue
		}
		if !ended {
			b.note("%s has used %d MiB of %d MiB and is killed", p.name, peak, w.limit)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		w.mu.Lock()
		w.ends[p.name]++
		w.mu.Unlock()
		time.Sleep(restartDelay)
		if err := b.start(p); err != nil {
			b.note("%s not started: %v", p.name, err)
			return
		}
	}
}

// peakMemory returns the largest resident memory of a process in MiB.
func peakMemory(p *process) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(value)[0])
			return kib / 1024
		}
	}
	return 0
}

// playMemory lets clients that nobody controls send many small unsafe requests, each with
// an Idempotency-Key of its own.
func playMemory(b *bed, trouble bool) error {
	kiosk := &endpoint{id: "i-kiosk", service: "kiosk-core", quiet: true}
	kiosk.body = func(*http.Request) string { return strings.Repeat("x", topUpAnswer) }
	topUp := request{method: http.MethodPost, host: "kiosk.example", target: "/topup/card", body: "amount=5", quiet: true}
	config := configuration(7, route{"topup", "kiosk.example", "/topup/", "unsafe", "kiosk-core"})
	b.contracts = poolContracts
	if err := b.open(config, []*endpoint{kiosk}, []request{topUp}); err != nil {
		return err
	}
	watch := &memoryWatch{limit: coreMemory, ends: map[string]int{}, most: map[string]int{}}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, p := range b.controls {
		watching.Add(1)
		go watch.run(b, p, stop, &watching)
	}
	var sending sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	until := time.Now().Add(topUpTime)
	for c := range topUpClients {
		sending.Add(1)
		go func() {
			defer sending.Done()
			for i := c; i < topUps && time.Now().Before(until) && watch.total() == 0; i += topUpClients {
				r := topUp.withID(fmt.Sprintf("t-%d", i))
				if trouble {
					r.headers = []string{"Idempotency-Key: topup-" + r.id}
				}
				got := b.send(b.entries[i%len(b.entries)], r)
				mu.Lock()
				statuses[got.status]++
				mu.Unlock()
				time.Sleep(topUpPause)
			}
		}()
	}
	sending.Wait()
	b.note("answers by status (0: none): %v; no client sends any more", statuses)
	reads := map[int]int{}
	for end := time.Now().Add(quietTime); time.Now().Before(end); time.Sleep(time.Second) {
		for _, p := range b.controls {
			status, _ := b.call(p, http.MethodGet, "/config", "")
			reads[status]++
		}
	}
	close(stop)
	watching.Wait()
	b.note("largest memory in MiB: %v; ends: %v; reads of the configuration by status (0: none): %v", watch.most, watch.ends, reads)
	total := watch.total()
	if total >= 3 && 2*len(watch.ends) >= len(b.controls) {
		b.breaks("Fault: %d of %d core processes ended, %d times in all, since they used more than %d MiB (largest: %v)",
			len(watch.ends), len(b.controls), total, coreMemory, watch.most)
		if reads[http.StatusOK] == 0 {
			b.note("the acknowledged configuration could not be read for %v", quietTime)
		}
	}
	return nil
}

const (
	frontMemory  = 184  // MiB of a front machine on the sheets of the grown, large and demanding deployments
	crowd        = 2900 // connections; the settings allow 3,000
	headFields   = 1400 // lines of a head that does not end
	waves        = 3    // a crowd comes again when its connections are gone
	waveTime     = 12 * time.Second
	crowdDialers = 50
)

// unfinishedHead returns the start of a request whose head does not end: with http2 a
// block of fields without the flag that ends it, otherwise lines without an empty one.
func unfinishedHead(http2 bool) []byte {
	if !http2 {
		return []byte("GET /topup/card HTTP/1.1\r\nHost: kiosk.example\r\n" + strings.Repeat("a:b\r\n", headFields))
	}
	const (
		headers      = 1
		settings     = 4
		getMethod    = 0x82
		rootPath     = 0x84
		schemeHTTP   = 0x86
		emptyCookies = 0x80 | 32 // the field cookie of the static table, which has no value
	)
	frame := func(kind byte, stream byte, payload []byte) []byte {
		n := len(payload)
		return append([]byte{byte(n >> 16), byte(n >> 8), byte(n), kind, 0, 0, 0, 0, stream}, payload...)
	}
	block := []byte{getMethod, rootPath, schemeHTTP}
	for range headFields {
		block = append(block, emptyCookies)
	}
	out := append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), frame(settings, 0, nil)...)
	return append(out, frame(headers, 1, block)...)
}

// playHeads lets a crowd of clients open connections to an entry and send heads without
// end on them, in HTTP/2. Without the disruption they do it in HTTP/1.1.
func playHeads(b *bed, trouble bool) error {
	kiosk := &endpoint{id: "i-kiosk", service: "kiosk-core"}
	topUp := request{method: http.MethodPost, host: "kiosk.example", target: "/topup/card", body: "amount=5"}
	config := configuration(7, route{"topup", "kiosk.example", "/topup/", "unsafe", "kiosk-core"})
	b.contracts = poolContracts
	for _, p := range b.entries {
		if err := replaceSetting(p, "memory = 284", fmt.Sprintf("memory = %d", frontMemory)); err != nil {
			return err
		}
	}
	if err := b.open(config, []*endpoint{kiosk}, []request{topUp}); err != nil {
		return err
	}
	watch := &memoryWatch{limit: frontMemory, ends: map[string]int{}, most: map[string]int{}}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, p := range b.entries {
		watching.Add(1)
		go watch.run(b, p, stop, &watching)
	}
	head := unfinishedHead(trouble)
	var err error
	for _, p := range b.entries {
		for wave := 0; wave < waves && err == nil; wave++ {
			err = b.sendCrowd(p, head, watch)
		}
	}
	close(stop)
	watching.Wait()
	if err != nil {
		return err
	}
	b.note("largest memory in MiB: %v; ends: %v", watch.most, watch.ends)
	if total := watch.total(); total >= 3 && len(watch.ends) >= 2 {
		b.breaks("Fault: %d of %d front processes ended, %d times in all, since they used more than %d MiB (largest: %v)",
			len(watch.ends), len(b.entries), total, frontMemory, watch.most)
	}
	return nil
}

// sendCrowd opens the connections of a crowd, sends the same bytes on each, and closes
// them when the process has ended or the time of a wave is over.
func (b *bed) sendCrowd(p *process, head []byte, watch *memoryWatch) error {
	before := watch.total()
	var mu sync.Mutex
	var conns []net.Conn
	var failed error
	var dialing sync.WaitGroup
	for d := range crowdDialers {
		dialing.Add(1)
		go func() {
			defer dialing.Done()
			for i := d; i < crowd && watch.total() == before; i += crowdDialers {
				c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, b.ports.front), time.Second)
				mu.Lock()
				if err == nil {
					conns = append(conns, c)
				} else {
					failed = err
				}
				mu.Unlock()
				if err == nil {
					_ = c.SetWriteDeadline(time.Now().Add(time.Second))
					_, _ = c.Write(head) // the entry may have closed the connection
				}
			}
		}()
	}
	dialing.Wait()
	b.note("%d connections to %s, %d bytes sent on each; last failure: %v", len(conns), p.name, len(head), failed)
	for end := time.Now().Add(waveTime); time.Now().Before(end) && watch.total() == before; {
		time.Sleep(50 * time.Millisecond)
	}
	for _, c := range conns {
		c.Close()
	}
	if watch.total() == before && len(conns) < crowd/2 {
		return fmt.Errorf("only %d connections could be opened: %v", len(conns), failed)
	}
	for end := time.Now().Add(setupTime); !b.isReady(p); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready again", p.name)
		}
	}
	return nil
}

const (
	surveyBytes   = 240000 // of an ordinary upload; max_body_bytes is 64 MiB
	surveyWork    = 540 * time.Millisecond
	surveyClients = 4   // of each entry
	crowdRate     = 200 // connections a second to each entry, 11 Mbit/s
	crowdTime     = 30 * time.Second
	mayBeLost     = 3 // requests of each machine
)

// playCrowd lets ordinary clients upload on kept connections while a crowd sends heads
// without end.
func playCrowd(b *bed, trouble bool) error {
	desk := &endpoint{id: "i-desk", service: "sounding-desk", work: surveyWork}
	upload := request{method: http.MethodPut, host: "survey.example", target: "/survey/tides", body: strings.Repeat("1.25;", surveyBytes/5)}
	small := upload
	small.body = "1.25;"
	config := configuration(7, route{"survey", "survey.example", "/survey/", "upload", "sounding-desk"})
	if err := b.open(config, []*endpoint{desk}, []request{small}); err != nil {
		return err
	}
	stop := time.Now().Add(crowdTime)
	var playing sync.WaitGroup
	var mu sync.Mutex
	lost := map[string]int{}
	for i, p := range b.entries {
		for j := range surveyClients {
			playing.Add(1)
			go func() {
				defer playing.Done()
				for n := 0; time.Now().Before(stop); n++ {
					first := small.withID(fmt.Sprintf("first-%d-%d-%d", i, j, n))
					second := upload.withID(fmt.Sprintf("upload-%d-%d-%d", i, j, n))
					answers := b.sendKept(p, first, second)
					if answers[0].err != nil || answers[1].err == nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					time.Sleep(2 * surveyWork) // until the endpoint has ended
					for _, ran := range desk.runsOf(second.id) {
						mu.Lock()
						lost[p.name]++
						mu.Unlock()
						b.note("LOST: upload %s, on a kept connection to %s, was passed on whole (%d bytes) and run; the connection was closed without an answer: %v",
							second.id, p.name, len(ran.body), answers[1].err)
					}
				}
			}()
		}
		if trouble {
			playing.Add(1)
			go func() {
				defer playing.Done()
				b.sendHeads(p, stop)
			}()
		}
	}
	playing.Wait()
	b.note("requests lost: %v", lost)
	for _, p := range b.entries {
		if lost[p.name] > mayBeLost {
			b.breaks("LOST: %s passed %d uploads of ordinary clients on from kept connections to a sound endpoint, which ran them, and closed those connections without an answer",
				p.name, lost[p.name])
		}
	}
	return nil
}

// sendHeads opens the connections of the crowd one after the other and sends a head without
// end on each. They stay open until the entry closes them.
func (b *bed) sendHeads(p *process, stop time.Time) {
	head := unfinishedHead(false)
	var conns []net.Conn
	for time.Now().Before(stop) {
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, b.ports.front), time.Second)
		if err == nil {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = c.Write(head) // the entry may have closed the connection
			conns = append(conns, c)
		}
		time.Sleep(time.Second / crowdRate)
	}
	b.note("the crowd has opened %d connections to %s and sent %d bytes on each", len(conns), p.name, len(head))
	for _, c := range conns {
		c.Close()
	}
}

const (
	writerRequests = 100
	writerPause    = 200 * time.Millisecond // between two requests
)

// playWriter lets another writer send one heartbeat for the address of each endpoint. It
// names a service that is in no configuration.
func playWriter(b *bed, trouble bool) error {
	tables := []*endpoint{{id: "i-table-1", service: "tablehall"}, {id: "i-table-2", service: "tablehall"}, {id: "i-table-3", service: "tablehall"}}
	lookup := request{method: http.MethodGet, host: "almanac.example", target: "/tables/tides"}
	config := configuration(7, route{"tables", "almanac.example", "/tables/", "safe", "tablehall"})
	if err := b.open(config, tables, nil); err != nil { // no request before the traffic begins
		return err
	}
	if trouble {
		for i, e := range tables {
			other := &endpoint{id: fmt.Sprintf("other-%d", i), service: "not-named-here", address: e.address, born: time.Now().UnixMilli()}
			status, text := b.call(b.controls[i%len(b.controls)], http.MethodPut, "/instances/"+other.id, other.announcement(1))
			b.note("another writer announced %s with service %s at the address of %s: %d %s", other.id, other.service, e.id, status, text)
		}
	}
	time.Sleep(2 * time.Second)
	served := 0
	for i := range writerRequests {
		got := b.send(b.entries[i%len(b.entries)], lookup.withID(fmt.Sprintf("r-%d", i)))
		if got.status == http.StatusOK && got.err == nil {
			served++
		}
		time.Sleep(writerPause)
	}
	for _, e := range tables {
		status, text := b.call(b.controls[0], http.MethodPut, "/instances/"+e.id, e.announcement(1000))
		b.note("a heartbeat of %s, which has run and announced itself all the time, is answered %d %s", e.id, status, text)
	}
	b.note("%d of %d requests served", served, writerRequests)
	if served == 0 {
		b.breaks("Fault: no request of %d was served in %v, while three sound endpoints ran", writerRequests, writerRequests*writerPause)
	}
	return nil
}
