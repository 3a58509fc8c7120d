package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Only View and Pick are required; without the other hooks nothing is limited,
// retried or claimed.
func Example() {
	text, err := spec.Parse([]byte("[[service]]\nname = \"tables\"\nfloor = \"80%\"\n[[route]]\nprefix = \"/tables\"\nservice = \"tables\"\nstrip = true\n"))
	if err != nil {
		fmt.Println(err)
		return
	}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "tide table of ", r.URL.Path)
	}))
	defer target.Close()
	view := &proxy.View{Text: text, Revision: 1, Ready: true}
	p := proxy.New(proxy.Hooks{
		View: func() *proxy.View { return view },
		Pick: func(proxy.Request, []netip.AddrPort, time.Time) (proxy.Target, bool) {
			return proxy.Target{Address: netip.MustParseAddrPort(target.Listener.Addr().String())}, true
		},
	})
	defer p.Close()
	server := httptest.NewServer(p)
	defer server.Close()
	for _, path := range []string{"/tables/thorsby", "/other"} {
		response, err := http.Get(server.URL + path)
		if err != nil {
			fmt.Println(err)
			return
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		fmt.Println(response.StatusCode, string(body[:min(len(body), 22)]))
	}
	http.DefaultClient.CloseIdleConnections()
	// Output:
	// 200 tide table of /thorsby
	// 404 {"type":"about:blank#n
}
