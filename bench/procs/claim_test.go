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

// Guards against an order that runs again at another entry while the entry that
// holds its claim is frozen, and against a second dispatch when that entry
// goes on.
func TestFrozenEntryHoldsAClaim(t *testing.T) {
	f := start(t, layout{replicas: 1, entries: 2, targets: 2})
	ledger := f.targets[2:4]
	for _, target := range ledger {
		f.fault(target, `{"stall":"6s"}`)
	}
	const key = "order-frozen"
	first := make(chan int, 1)
	go func() {
		status, _ := f.send(http.MethodPost, 0, "/ledger/orders", bytes.NewReader([]byte("1")), key)
		first <- status
	}()
	f.until("the order is at a target", func() bool {
		return f.counts(ledger[0]).Inflight+f.counts(ledger[1]).Inflight == 1
	})
	f.entries[0].Signal(syscall.SIGSTOP)
	status, body := f.send(http.MethodPost, 1, "/ledger/orders", bytes.NewReader([]byte("1")), key)
	var refused refuse.Document
	f.check(json.Unmarshal(body, &refused))
	if status != http.StatusConflict || refused.Run != refuse.Unknown {
		t.Errorf("resend during the freeze: status %d, %+v", status, refused)
	}
	f.entries[0].Signal(syscall.SIGCONT)
	<-first
	for _, target := range ledger {
		f.fault(target, `{}`)
	}
	// The owner may still record the answer; until it has, the outcome stays
	// unknown. In no case does the order run again.
	f.send(http.MethodPost, 1, "/ledger/orders", bytes.NewReader([]byte("1")), key)
	if ran := f.ran()[key]; ran != 1 {
		t.Errorf("order ran %d times", ran)
	}
}

// Guards against orders that run twice, answers that change and changes that
// are lost while the leading replica is killed and another one loses its disk.
func TestLeaderKilledAndDiskLost(t *testing.T) {
	f := start(t, layout{replicas: 3, entries: 2, targets: 2})
	const workers, orders = 4, 12
	answers := make([][]byte, workers*orders)
	var wait sync.WaitGroup
	send := func(from, to int) {
		for w := range workers {
			wait.Go(func() {
				for i := from; i < to; i++ {
					n := w*orders + i
					answers[n] = f.order(n%2, fmt.Sprint("order-", n))
				}
			})
		}
	}
	send(0, orders/2)
	killed := f.leader()
	f.control[killed].Kill()
	wait.Wait()
	f.submit(1, "second", serviceText+"# second\n", 2)

	// Another replica loses its disk right after the first one is repaired.
	f.startControl(killed)
	lost := killed%3 + 1
	f.control[lost].Kill()
	f.check(os.RemoveAll(filepath.Join(f.Folder, fmt.Sprintf("control-%d", lost))))
	f.startControl(lost)
	send(orders/2, orders)
	wait.Wait()
	f.submit(2, "third", serviceText+"# third\n", 3)
	f.submit(1, "second", serviceText+"# second\n", 2) // the first answer again

	for n, answer := range answers {
		if again := f.order((n+1)%2, fmt.Sprint("order-", n)); !bytes.Equal(answer, again) {
			t.Errorf("order %d: resend got %s, want %s", n, again, answer)
		}
	}
	ran := f.ran()
	for n := range answers {
		if key := fmt.Sprint("order-", n); ran[key] != 1 {
			t.Errorf("%s ran %d times", key, ran[key])
		}
	}
}
