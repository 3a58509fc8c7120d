package procs_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/galenalock/galenalock/bench/procs"
)

// Guards against an entry that cannot join over TLS, an entry that serves callers
// without TLS although it has a certificate for them, and a peer address that
// accepts a client without a certificate.
func TestEntryOverTLS(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes, which the race detector does not see")
	}
	f := &fleet{T: t, place: procs.Place{Region: "salish", DataCentre: "salish-1"}}
	keys, err := procs.GenerateTLSFiles(t.TempDir())
	f.noError(err)
	f.Fleet = procs.Fleet{Name: "test", Folder: t.TempDir(), Programs: programs, TLS: keys}
	free, err := procs.FreeAddresses(2)
	f.noError(err)
	f.replicas, f.admins = map[int]netip.AddrPort{1: free[0]}, map[int]netip.AddrPort{1: free[1]}
	f.control = map[int]*procs.Process{}
	f.startControl(1)
	entry := f.addEntry("entry-1", f.replicas[1])

	pem, err := os.ReadFile(keys.Authority)
	f.noError(err)
	authority := x509.NewCertPool()
	authority.AppendCertsFromPEM(pem)
	caller := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authority}}}
	traffic := f.entries[entry].Address("traffic")
	status := func(client *http.Client, scheme string, to netip.AddrPort) int {
		resp, err := client.Get(fmt.Sprintf("%s://%s/none", scheme, to))
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	f.waitUntil("entry answers over TLS", func() bool { return status(caller, "https", traffic) != 0 })
	if got := status(http.DefaultClient, "http", traffic); got != http.StatusBadRequest {
		t.Errorf("request without TLS: status %d", got)
	}
	peer := f.entries[entry].Address("peer")
	if got := status(caller, "https", peer); got != 0 {
		t.Errorf("peer address answers a client without a certificate: status %d", got)
	}
	// At the address for announcements a target without a certificate can
	// announce itself, and do nothing else.
	announce := f.entries[entry].Address("announce")
	resp, err := caller.Post(fmt.Sprintf("https://%s/v1/announce", announce), "application/json", strings.NewReader("{}"))
	f.noError(err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		t.Errorf("empty announcement: status %d", resp.StatusCode)
	}
	if got := status(caller, "https", announce); got != http.StatusNotFound {
		t.Errorf("other path at the address for announcements: status %d", got)
	}
	f.waitUntil("entry has a neighbour", func() bool {
		var s struct{ Neighbours int }
		f.readJSON(f.entries[entry].Address("admin"), "/v1/status", &s)
		return s.Neighbours > 0
	})
}
