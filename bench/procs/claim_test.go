package procs_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/galenalock/galenalock/core/refuse"
)

// Guards against an order that runs twice: an entry is frozen while it holds the
// order's claim, and the order is sent again to another entry, before and after
// the first entry resumes.
func TestFrozenEntryHoldsAClaim(t *testing.T) {
	f := startFleet(t, fleetSize{replicas: 1, entries: 2, targets: 2})
	ledger := f.targets[2:4]
	for _, target := range ledger {
		f.setFault(target, `{"stall":"6s"}`)
	}
	const key = "order-frozen"
	first := make(chan int, 1)
	go func() {
		status, _ := f.send(http.MethodPost, 0, "/ledger/orders", bytes.NewReader([]byte("1")), key)
		first <- status
	}()
	f.waitUntil("the order is at a target", func() bool {
		return f.counts(ledger[0]).Inflight+f.counts(ledger[1]).Inflight == 1
	})
	f.entries[0].Signal(syscall.SIGSTOP)
	status, body := f.send(http.MethodPost, 1, "/ledger/orders", bytes.NewReader([]byte("1")), key)
	var refused refuse.Document
	f.noError(json.Unmarshal(body, &refused))
	if status != http.StatusConflict || refused.Run != refuse.Unknown {
		t.Errorf("resend during the freeze: status %d, %+v", status, refused)
	}
	f.entries[0].Signal(syscall.SIGCONT)
	<-first
	for _, target := range ledger {
		f.setFault(target, `{}`)
	}
	// The resumed owner may still record the answer; until then the outcome is
	// unknown. The order must not run again in either case.
	f.send(http.MethodPost, 1, "/ledger/orders", bytes.NewReader([]byte("1")), key)
	if ran := f.executions()[key]; ran != 1 {
		t.Errorf("order ran %d times", ran)
	}
}

// Guards against orders that run twice, resent orders that get another answer,
// and accepted changes that are lost, while the leader is killed and another
// replica loses its disk.
func TestLeaderKilledAndDiskLost(t *testing.T) {
	f := startFleet(t, fleetSize{replicas: 3, entries: 2, targets: 2})
	const workers, orders = 4, 12
	answers := make([][]byte, workers*orders)
	var wait sync.WaitGroup
	send := func(from, to int) {
		for w := range workers {
			wait.Go(func() {
				for i := from; i < to; i++ {
					n := w*orders + i
					answers[n] = f.sendOrder(n%2, fmt.Sprint("order-", n))
				}
			})
		}
	}
	send(0, orders/2)
	killed := f.leader()
	f.control[killed].Kill()
	wait.Wait()
	f.submit(1, "second", serviceText+"# second\n", 2)

	// Another replica loses its disk right after the first one has restarted.
	f.startControl(killed)
	lost := killed%3 + 1
	f.control[lost].Kill()
	f.noError(os.RemoveAll(filepath.Join(f.Folder, fmt.Sprintf("control-%d", lost))))
	f.startControl(lost)
	send(orders/2, orders)
	wait.Wait()
	f.submit(2, "third", serviceText+"# third\n", 3)
	f.submit(1, "second", serviceText+"# second\n", 2) // a repeated change gets its first answer

	for n, answer := range answers {
		if again := f.sendOrder((n+1)%2, fmt.Sprint("order-", n)); !bytes.Equal(answer, again) {
			t.Errorf("order %d: resend got %s, want %s", n, again, answer)
		}
	}
	ran := f.executions()
	for n := range answers {
		if key := fmt.Sprint("order-", n); ran[key] != 1 {
			t.Errorf("%s ran %d times", key, ran[key])
		}
	}
}
